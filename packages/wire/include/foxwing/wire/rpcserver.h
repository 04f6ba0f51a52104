/*
    Receives batches of messages from other processes: a libjsonrpccpp server with a custom
    connector, which uses libmicrohttpd with epoll. The library's own connector uses select(), which
    can't handle more than 1,024 descriptors.

        RpcServer server(settings, [](Envelope &&envelope) { ... });
        Error reason;
        if (!server.start(&reason))
            ...

    The receiver is called on the server's threads and must not block: the sender waits for its
    return.

    [SECTION] Settings
    [SECTION] Server
*/
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <foxwing/base/error.h>
#include <foxwing/wire/envelope.h>

namespace foxwing::wire {

// [SECTION] Settings

struct RpcServerSettings
{
    // IPv4 address and port; port 0 selects a free one.
    std::string host = "127.0.0.1";
    int port = 0;

    unsigned int threads = 2;
    unsigned int maxConnections = 8000;

    // Idle connections are closed after this time, and bodies that take longer are refused.
    unsigned int idleTimeoutSeconds = 10;

    std::size_t maxBodyBytes = 64U << 20U;

    // All incomplete bodies together. Large bodies may take half of it, the rest is for small ones.
    std::size_t maxHeldBytes = 96U << 20U;

    // JSON values in a body; each takes many times its text in memory.
    std::size_t maxValues = 1000000;
    std::string secret;
};

// [SECTION] Server

class RpcServer
{
public:
    using Receiver = std::function<void(Envelope &&)>;

    RpcServer(const RpcServerSettings &settings, Receiver receiver);
    ~RpcServer();

    bool start(Error *reason);
    void stop();

    // The port that start() bound.
    int port() const;

    // Requests refused because of their size, and because all together held too much memory
    std::uint64_t oversized() const;
    std::uint64_t outOfMemory() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxwing::wire
