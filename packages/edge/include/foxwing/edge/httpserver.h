/*
    HTTP server for callers, operators and the platform.

    This header includes no headers of Boost or cpprestsdk, which take seconds to compile.

        HttpServer server(settings, [](const HttpRequest &request, const Responder &responder) {
            responder.reply(200, "application/json", "{}");
        });

    The handler runs on the server's own thread and must not block; it may keep the responder and
   reply later from any thread. Requests whose body has no Content-Length or exceeds the limit never
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

    // JSON values in a body; each takes many times its text in memory.
    std::size_t maxValues = 200000;

    // All requests and answers together. Above it, the largest one that is incomplete is refused.
    std::size_t maxHeldBytes = 64U << 20U;

    // When one more is accepted, the oldest one without a complete request is closed.
    std::size_t maxConnections = 3000;

    // Time within which a request must arrive, from its first byte.
    Milliseconds bodyTimeout { 10000 };

    // A connection without a request is closed after this time, and so is one that has not taken
    // an answer by then.
    Milliseconds idleTimeout { 60000 };
};

struct HttpServerStatus
{
    std::size_t connections = 0;

    // Requests that are incomplete
    std::size_t incomplete = 0;

    // Since the start: requests refused because of their size, requests refused and answers cut off
    // for lack of memory, connections closed or refused at the limit, and requests or answers that
    // took too long
    std::uint64_t oversized = 0;
    std::uint64_t outOfMemory = 0;
    std::uint64_t displaced = 0;
    std::uint64_t timedOut = 0;
};

class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &, const Responder &)>;

    HttpServer(const HttpServerSettings &settings, Handler handler);
    ~HttpServer();

    bool start(Error *reason);
    void stop();

    // Waits for the server's thread.
    HttpServerStatus status() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Sets the size of cpprestsdk's thread pool. Call it before anything else of the package; later
// calls have no effect.
void setHttpThreads(unsigned int threads);

} // namespace foxwing::edge
