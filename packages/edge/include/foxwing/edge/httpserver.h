/*
    HTTP server on cpprestsdk, for callers, operators and the platform.

    This header does not include cpprestsdk's headers, which take seconds to compile.

        HttpServer server(settings, [](const HttpRequest &request, const Responder &responder) {
            responder.reply(200, "application/json", "{}");
        });

    The handler runs on cpprestsdk's threads and must not block; it may keep the responder and reply
    later from any thread. Requests whose body has no Content-Length or exceeds the limit never
    reach it.

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

// Replies to one request. Copies reply to the same request; only the first reply is sent.
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

    // PEM files for TLS; plain HTTP without them.
    std::string certificateFile;
    std::string keyFile;

    std::size_t maxBodyBytes = 32U << 20U;

    // Limit on requests whose bodies are incomplete; further ones are refused.
    std::size_t maxPendingBodies = 2000;

    // Time within which a body must arrive.
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

    // Refuses requests whose bodies take too long. They no longer count as pending; the caller gets
    // the reply once the rest of the body arrives. Call it regularly.
    // FIXME: cpprestsdk can neither reply before a body is complete nor close the connection, so
    // connections of callers that stop sending stay open, up to the limit on descriptors.
    void expirePendingBodies();

    // Number of requests whose bodies are incomplete
    std::size_t pendingBodies() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Sets the size of cpprestsdk's thread pool. Call it before anything else of the package; later
// calls have no effect.
void setHttpThreads(unsigned int threads);

} // namespace foxwing::edge
