/*
    The HTTP listener towards callers, operators and the platform, over cpprestsdk.

    cpprestsdk's headers stay out of this one: they take seconds to compile.

        HttpServer server(settings, [](const HttpRequest &request, const Responder &responder) {
            responder.reply(200, "application/json", "{}");
        });

    The handler runs on cpprestsdk's threads and must not block; it may keep the responder and reply
    later from any thread. Bodies without a length, or longer than the limit, never reach it.

    [SECTION] Request
    [SECTION] Responder
    [SECTION] Server
*/
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::edge {

// [SECTION] Request

struct HttpRequest
{
    // Upper case
    std::string method;

    // Decoded parts of the path: "/v1/jobs/7" is "v1", "jobs", "7".
    std::vector<std::string> path;

    // Decoded parameters after the question mark
    std::map<std::string, std::string> query;

    // Value of the Authorization header without "Bearer ", or empty
    std::string token;
    std::string body;
};

// [SECTION] Responder

// Answers one request. Copies answer the same request; only the first reply counts.
class Responder
{
public:
    class Impl;

    explicit Responder(std::shared_ptr<Impl> impl)
        : m_impl(std::move(impl))
    { }

    void reply(int status, const std::string &contentType, const std::string &body,
               Milliseconds retryAfter = Milliseconds { 0 }) const;

private:
    std::shared_ptr<Impl> m_impl;
};

// [SECTION] Server

struct HttpServerSettings
{
    std::string host = "127.0.0.1";
    int port = 0;

    // PEM files; without them the listener speaks plain HTTP.
    std::string certificateFile;
    std::string keyFile;

    std::size_t maxBodyBytes = 32U << 20U;

    // Requests whose bodies are still arriving; more are turned away.
    std::size_t maxPendingBodies = 2000;

    // A body that has not arrived by then is given up.
    Milliseconds bodyTimeout { 10000 };
};

class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &, const Responder &)>;

    HttpServer(const HttpServerSettings &settings, Handler handler);
    ~HttpServer();

    bool start(Error *reason);
    void stop();

    // Gives up requests whose bodies take too long: they count no more, and are refused if the rest
    // of the body comes after all. To be called now and then.
    // FIXME: cpprestsdk can neither answer before a body is there nor close the connection, so the
    // connection of a caller that falls silent stays; only the limit on descriptors bounds those.
    void expirePendingBodies();

    // Requests whose bodies are still coming
    std::size_t pendingBodies() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Sets how many threads cpprestsdk has in this process. Call it before anything else of the
// package; later calls have no effect.
void setHttpThreads(unsigned int threads);

} // namespace foxwing::edge
