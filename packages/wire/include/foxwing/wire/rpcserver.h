/*
    Receives batches of messages from other processes: a libjsonrpccpp server on a connector of our
    own over libmicrohttpd with epoll, since the library's own connector uses select() and can not
    have a thousand connections.

        RpcServer server(settings, [](Envelope &&envelope) { ... });
        Error reason;
        if (!server.start(&reason))
            ...

    The receiver is called on the server's threads and must return at once: the caller on the other
    side waits only for "taken".

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
    // IP number and port; port 0 takes any free one.
    std::string host = "127.0.0.1";
    int port = 0;

    unsigned int threads = 2;
    unsigned int maxConnections = 8000;

    // A connection on which nothing comes for this long is closed.
    unsigned int idleTimeoutSeconds = 60;

    std::size_t maxBodyBytes = 64U << 20U;
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

    // The port that start() took.
    int port() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxwing::wire
