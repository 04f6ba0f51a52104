/*
    The epoll connector and the "deliver" procedure.

    [SECTION] Connector
    [SECTION] Procedures
    [SECTION] Server
*/
#include <foxwing/wire/rpcserver.h>

#include <arpa/inet.h>
#include <atomic>
#include <jsonrpccpp/server.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <foxwing/base/clock.h>
#include <foxwing/base/codec.h>

namespace foxwing::wire {

namespace {

// [SECTION] Connector

// Bodies above this size count as large.
constexpr std::size_t SmallBodyBytes = 256U << 10U;

// What all incomplete bodies hold, and how many requests were refused; the daemon has several
// threads.
struct BodyTotals
{
    std::atomic<std::size_t> held { 0 };
    std::atomic<std::uint64_t> oversized { 0 };
    std::atomic<std::uint64_t> outOfMemory { 0 };
};

// The part of a request body that has been received.
struct Body
{
    explicit Body(BodyTotals &bodyTotals)
        : totals(bodyTotals)
    { }
    ~Body() { totals.held -= held; }

    Body(const Body &) = delete;
    Body &operator=(const Body &) = delete;

    void report()
    {
        totals.held += text.capacity();
        totals.held -= held;
        held = text.capacity();
    }

    void refuse(unsigned int status)
    {
        refusal = status;
        std::string().swap(text);
        report();
    }

    BodyTotals &totals;
    std::string text;
    std::size_t held = 0;
    Time startedAt = steadyNow();

    // Status with which the request is refused once its body has ended; zero: it is not
    unsigned int refusal = 0;
};

class EpollConnector : public jsonrpc::AbstractServerConnector
{
public:
    explicit EpollConnector(const RpcServerSettings &settings)
        : m_settings(settings)
    { }
    ~EpollConnector() override { stopDaemon(); }

    bool StartListening() override
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(m_settings.port));
        if (inet_pton(AF_INET, m_settings.host.c_str(), &address.sin_addr) != 1)
            return false;
        const unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_TURBO;
        m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &EpollConnector::onRequest, this,
                                    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE,
                                    m_settings.threads, MHD_OPTION_CONNECTION_LIMIT,
                                    m_settings.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
                                    m_settings.idleTimeoutSeconds, MHD_OPTION_NOTIFY_COMPLETED,
                                    &EpollConnector::onCompleted, nullptr,
                                    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
        return m_daemon != nullptr;
    }

    bool StopListening() override
    {
        stopDaemon();
        return true;
    }

    // Not used: onRequest() queues the response itself.
    bool SendResponse(const std::string &, void *) override { return false; }

    const BodyTotals &totals() const { return m_totals; }

    int port() const
    {
        const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
        return info ? info->port : 0;
    }

private:
    void stopDaemon()
    {
        if (m_daemon)
            MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }

    static MHD_Result respond(MHD_Connection *connection, unsigned int status,
                              const std::string &text)
    {
        MHD_Response *response = MHD_create_response_from_buffer(text.size(),
                                                                 const_cast<char *>(text.data()),
                                                                 MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", "application/json");
        const MHD_Result result = MHD_queue_response(connection, status, response);
        MHD_destroy_response(response);
        return result;
    }

    MHD_Result receive(MHD_Connection *connection, Body &body, const char *data,
                       std::size_t *size) const
    {
        if (*size > 0) {
            if (steadyNow() > body.startedAt + Seconds(m_settings.idleTimeoutSeconds))
                return MHD_NO;
            if (body.refusal == 0)
                append(body, data, *size);
            *size = 0;
            return MHD_YES;
        }
        if (body.refusal == 0 && hasMoreValues(body.text, m_settings.maxValues)) {
            ++m_totals.oversized;
            body.refuse(MHD_HTTP_CONTENT_TOO_LARGE);
        }
        if (body.refusal != 0)
            return respond(connection, body.refusal, {});
        return call(connection, body.text);
    }

    void append(Body &body, const char *data, std::size_t size) const
    {
        const std::size_t total = body.text.size() + size;
        const std::size_t limit = total > SmallBodyBytes ? m_settings.maxHeldBytes / 2
                                                         : m_settings.maxHeldBytes;
        if (total > m_settings.maxBodyBytes) {
            ++m_totals.oversized;
            body.refuse(MHD_HTTP_CONTENT_TOO_LARGE);
        } else if (m_totals.held - body.held + total > limit) {
            ++m_totals.outOfMemory;
            body.refuse(MHD_HTTP_SERVICE_UNAVAILABLE);
        } else {
            body.text.append(data, size);
            body.report();
        }
    }

    MHD_Result call(MHD_Connection *connection, const std::string &request) const
    {
        std::string response;
        jsonrpc::IClientConnectionHandler *procedures = const_cast<EpollConnector *>(this)
                                                                ->GetHandler();
        try {
            procedures->HandleRequest(request, response);
        } catch (const std::exception &) {
            return respond(connection, MHD_HTTP_BAD_REQUEST, {});
        }
        return respond(connection, MHD_HTTP_OK, response);
    }

    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *,
                                const char *method, const char *, const char *data,
                                std::size_t *size, void **context)
    {
        const auto *connector = static_cast<const EpollConnector *>(self);
        if (!*context) {
            *context = new Body(connector->m_totals);
            return MHD_YES;
        }
        if (std::string(method) != "POST")
            return respond(connection, MHD_HTTP_METHOD_NOT_ALLOWED, {});
        return connector->receive(connection, *static_cast<Body *>(*context), data, size);
    }

    static void onCompleted(void *, MHD_Connection *, void **context, MHD_RequestTerminationCode)
    {
        delete static_cast<Body *>(*context);
        *context = nullptr;
    }

    RpcServerSettings m_settings;
    mutable BodyTotals m_totals;
    MHD_Daemon *m_daemon = nullptr;
};

// [SECTION] Procedures

class DeliveryServer : public jsonrpc::AbstractServer<DeliveryServer>
{
public:
    DeliveryServer(EpollConnector &connector, std::string secret, RpcServer::Receiver receiver)
        : jsonrpc::AbstractServer<DeliveryServer>(connector, jsonrpc::JSONRPC_SERVER_V2)
        , m_secret(std::move(secret))
        , m_receiver(std::move(receiver))
    {
        bindAndAddMethod(jsonrpc::Procedure("deliver", jsonrpc::PARAMS_BY_NAME,
                                            jsonrpc::JSON_BOOLEAN, "from", jsonrpc::JSON_STRING,
                                            "address", jsonrpc::JSON_STRING, "secret",
                                            jsonrpc::JSON_STRING, "messages", jsonrpc::JSON_ARRAY,
                                            nullptr),
                         &DeliveryServer::deliver);
    }

    void deliver(const Json::Value &params, Json::Value &result)
    {
        result = params["secret"].asString() == m_secret;
        if (!result.asBool())
            return;
        Envelope envelope;
        envelope.from = params["from"].asString();
        envelope.address = params["address"].asString();
        for (const Json::Value &message : params["messages"])
            envelope.messages.push_back(message);
        m_receiver(std::move(envelope));
    }

private:
    std::string m_secret;
    RpcServer::Receiver m_receiver;
};

} // namespace

// [SECTION] Server

class RpcServer::Impl
{
public:
    Impl(const RpcServerSettings &settings, Receiver receiver)
        : connector(settings)
        , server(connector, settings.secret, std::move(receiver))
        , listenAddress(settings.host + ":" + std::to_string(settings.port))
    { }

    EpollConnector connector;
    DeliveryServer server;
    std::string listenAddress;
};

RpcServer::RpcServer(const RpcServerSettings &settings, Receiver receiver)
    : m_impl(std::make_unique<Impl>(settings, std::move(receiver)))
{ }

RpcServer::~RpcServer() = default;

bool RpcServer::start(Error *reason)
{
    if (m_impl->server.StartListening())
        return true;
    fail(reason, ErrorKind::Unavailable,
         "can't listen on " + m_impl->listenAddress
                 + "; use an IPv4 address of this host and a free port");
    return false;
}

void RpcServer::stop()
{
    m_impl->server.StopListening();
}

std::uint64_t RpcServer::oversized() const
{
    return m_impl->connector.totals().oversized;
}

std::uint64_t RpcServer::outOfMemory() const
{
    return m_impl->connector.totals().outOfMemory;
}

int RpcServer::port() const
{
    return m_impl->connector.port();
}

} // namespace foxwing::wire
