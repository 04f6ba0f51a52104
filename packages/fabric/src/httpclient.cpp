/*
    Pool of persistent connections to one HTTP server.

    [SECTION] State
    [SECTION] Connection
    [SECTION] Client
*/
#include <foxwing/fabric/httpclient.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <foxwing/base/clock.h>

namespace foxwing::fabric {

// [SECTION] State

namespace {

struct PendingCall
{
    Request request;
    Time deadline;
    HttpClient::Done done;
};

class ClientConnection;

} // namespace

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State>
{
    State(asio::io_context &context, std::string targetAddress, HttpClientSettings initialSettings)
        : io(context)
        , address(std::move(targetAddress))
        , settings(initialSettings)
    { }

    asio::io_context &io;
    std::string address;
    HttpClientSettings settings;
    std::deque<PendingCall> pendingCalls;
    std::vector<std::shared_ptr<ClientConnection>> idle;
    std::set<std::shared_ptr<ClientConnection>> busy;
    std::uint64_t opened = 0;
    bool stopped = false;

    void dispatch();
    void start(PendingCall call);
};

// [SECTION] Connection

namespace {

class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using State = std::shared_ptr<void>;
    using Released = std::function<void(const std::shared_ptr<ClientConnection> &, bool reusable)>;

    ClientConnection(asio::io_context &io, std::uint64_t maxBodyBytes, Released released)
        : m_socket(io)
        , m_timer(io)
        , m_maxBodyBytes(maxBodyBytes)
        , m_released(std::move(released))
    { }

    void connect(const Endpoint &endpoint, PendingCall call)
    {
        beginCall(std::move(call));
        m_socket.async_connect(endpoint,
                               [self = shared_from_this()](boost::system::error_code error) {
                                   if (!self->m_call)
                                       return;
                                   if (error)
                                       return self->finish(error == asio::error::connection_refused
                                                                   ? CallFailure::Refused
                                                                   : CallFailure::NoAnswer);
                                   setSocketOptions(self->m_socket, AckTimeout);
                                   self->write();
                               });
    }

    void reuse(PendingCall call)
    {
        beginCall(std::move(call));
        write();
    }

    // A call must not be sent on an idle connection that the server has closed.
    bool isOpen()
    {
        char byte = 0;
        const auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void abandon()
    {
        m_call.reset();
        m_timer.cancel();
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

private:
    static constexpr Milliseconds AckTimeout { 3000 };

    void beginCall(PendingCall call)
    {
        m_call.emplace(std::move(call));
        m_timer.expires_after(m_call->deadline - steadyNow());
        m_timer.async_wait([self = shared_from_this(),
                            callNumber = ++m_callNumber](boost::system::error_code waitError) {
            if (!waitError && callNumber == self->m_callNumber && self->m_call)
                self->finish(CallFailure::NoAnswer);
        });
    }

    void write()
    {
        // The write owns the request: a call that times out ends before its write does.
        const auto request = std::make_shared<Request>(std::move(m_call->request));
        http::async_write(m_socket, *request,
                          [self = shared_from_this(), request](boost::system::error_code error,
                                                               std::size_t) {
                              if (!self->m_call)
                                  return;
                              if (error)
                                  return self->finish(CallFailure::NoAnswer);
                              self->read();
                          });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(m_maxBodyBytes);
        http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                             if (!self->m_call)
                                 return;
                             self->finish(error ? CallFailure::NoAnswer : CallFailure::None);
                         });
    }

    void finish(CallFailure failure)
    {
        const PendingCall call = std::move(*m_call);
        m_call.reset();
        m_timer.cancel();
        CallResult result;
        result.failure = failure;
        if (failure == CallFailure::None)
            result.response = m_parser->release();
        const bool reusable = result.response && result.response->keep_alive();
        if (!reusable) {
            boost::system::error_code ignored;
            m_socket.close(ignored);
        }
        m_released(shared_from_this(), reusable);
        call.done(std::move(result));
    }

    Socket m_socket;
    asio::steady_timer m_timer;
    std::uint64_t m_maxBodyBytes;
    std::uint64_t m_callNumber = 0;
    Released m_released;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    std::optional<PendingCall> m_call;
};

} // namespace

// [SECTION] Client

void HttpClient::State::start(PendingCall call)
{
    while (!idle.empty()) {
        const auto connection = idle.back();
        idle.pop_back();
        if (!connection->isOpen())
            continue;
        busy.insert(connection);
        return connection->reuse(std::move(call));
    }
    Error reason;
    const auto endpoint = parseEndpoint(address, &reason);
    if (!endpoint) {
        CallResult result;
        result.failure = CallFailure::Refused;
        return call.done(std::move(result));
    }
    const auto connection = std::make_shared<ClientConnection>(
            io, settings.maxBodyBytes,
            [weak = weak_from_this()](const std::shared_ptr<ClientConnection> &released,
                                      bool reusable) {
                const auto self = weak.lock();
                if (!self || self->stopped)
                    return;
                self->busy.erase(released);
                if (reusable)
                    self->idle.push_back(released);
                asio::post(self->io, [self] { self->dispatch(); });
            });
    ++opened;
    busy.insert(connection);
    connection->connect(*endpoint, std::move(call));
}

void HttpClient::State::dispatch()
{
    const Time now = steadyNow();
    while (!stopped && !pendingCalls.empty()) {
        const bool timedOut = pendingCalls.front().deadline <= now;
        if (!timedOut && busy.size() >= settings.maxConnections)
            return;
        PendingCall call = std::move(pendingCalls.front());
        pendingCalls.pop_front();
        if (!timedOut) {
            start(std::move(call));
            continue;
        }
        // The request was not sent, but reporting a timeout as NoAnswer is safe for the caller.
        CallResult result;
        result.failure = CallFailure::NoAnswer;
        call.done(std::move(result));
    }
}

HttpClient::HttpClient(asio::io_context &io, const std::string &address,
                       HttpClientSettings settings)
    : m_state(std::make_shared<State>(io, address, settings))
{ }

HttpClient::~HttpClient()
{
    m_state->stopped = true;
    for (const auto &connection : m_state->busy)
        connection->abandon();
    m_state->busy.clear();
    m_state->idle.clear();
}

void HttpClient::call(Request request, Milliseconds timeout, Done done)
{
    request.version(11);
    request.prepare_payload();
    m_state->pendingCalls.push_back({ std::move(request), steadyNow() + timeout, std::move(done) });
    m_state->dispatch();
}

std::uint64_t HttpClient::opened() const
{
    return m_state->opened;
}

} // namespace foxwing::fabric
