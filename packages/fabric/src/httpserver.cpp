/*
    The server's exchanges and accept loop.

    [SECTION] Exchange
    [SECTION] Server
*/
#include "httpconnection.h"

#include <algorithm>
#include <sys/socket.h>

#include <foxwing/base/clock.h>

namespace foxwing::fabric {

// [SECTION] Exchange

Exchange::Exchange(Request request, std::weak_ptr<HttpConnection> connection)
    : m_request(std::move(request))
    , m_connection(std::move(connection))
{ }

bool Exchange::isCallerConnected() const
{
    const auto connection = m_connection.lock();
    return connection && !connection->closed() && connection->isCallerConnected();
}

Milliseconds Exchange::sinceReceived() const
{
    const auto connection = m_connection.lock();
    const bool open = connection && !connection->closed();
    return open ? connection->sinceReceived() : Milliseconds(0);
}

void Exchange::releaseBody(std::size_t bytesKept)
{
    std::string().swap(m_request.body());
    const auto connection = m_connection.lock();
    if (connection && !connection->closed() && !m_answered)
        connection->releaseBody(bytesKept);
}

void Exchange::answer(Response response)
{
    if (m_answered)
        return;
    m_answered = true;
    m_onDisconnect = nullptr;
    const auto connection = m_connection.lock();
    if (connection && !connection->closed())
        connection->send(std::move(response));
}

Response makeResponse(unsigned status, const std::string &contentType, std::string body)
{
    Response response;
    response.result(status);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    return response;
}

Response writeTextRefusal(unsigned status, const std::string &reason)
{
    return makeResponse(status, "text/plain", reason + "\n");
}

// [SECTION] Server

namespace {

// Delay after a failed accept, so that a lack of file descriptors doesn't cause a busy loop.
constexpr Milliseconds AcceptRetryDelay { 100 };

// An answer takes at most this long to be read by a caller in touch.
constexpr Milliseconds WriteGrace { 1000 };

// Closes the connection that has been longest in the first phase that has any. Returns false if
// all have a complete request or an answer that was sent just now.
template<class State>
bool displaceOldest(State &state)
{
    std::shared_ptr<HttpConnection> oldest;
    for (const auto &connection : state.connections) {
        const auto rank = [](const HttpConnection &item) {
            return std::make_pair(item.phase(), item.phaseSince());
        };
        if (!oldest || rank(*connection) < rank(*oldest))
            oldest = connection;
    }
    const bool answering = oldest && oldest->phase() == Phase::Writing
            && steadyNow() < oldest->phaseSince() + WriteGrace;
    if (!oldest || oldest->phase() == Phase::Handling || answering)
        return false;
    ++state.counters.displaced;
    oldest->close();
    return true;
}

void refuseConnection(Socket &socket)
{
    static const std::string refusal = std::string("HTTP/1.1 503 Service Unavailable\r\n")
            + "Retry-After: " + RetryAfterSeconds
            + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    // Without a connection to spare, the refusal is only sent if it can be sent at once.
    (void)::send(socket.native_handle(), refusal.data(), refusal.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
}

template<class State>
void acceptNext(const std::shared_ptr<State> &state)
{
    state->acceptor.async_accept([state](boost::system::error_code error, Socket socket) {
        if (state->stopped)
            return;
        if (!error) {
            if (state->connections.size() < state->limits.maxConnections
                || displaceOldest(*state)) {
                auto connection = std::make_shared<HttpConnection>(std::move(socket), state);
                state->connections.insert(connection);
                connection->start();
            } else {
                ++state->counters.refused;
                if (!state->secure)
                    refuseConnection(socket);
            }
            return acceptNext(state);
        }
        state->retryTimer.expires_after(AcceptRetryDelay);
        state->retryTimer.async_wait([state](boost::system::error_code waitError) {
            if (!waitError)
                acceptNext(state);
        });
    });
}

} // namespace

HttpServer::HttpServer(asio::io_context &io, asio::ip::tcp::acceptor acceptor,
                       const HttpLimits &limits, Handler handler,
                       std::shared_ptr<MemoryBudget> memory,
                       std::shared_ptr<asio::ssl::context> secure)
    : m_state(std::make_shared<State>(io, std::move(acceptor), limits, std::move(handler),
                                      memory ? std::move(memory)
                                             : std::make_shared<MemoryBudget>(DefaultMemory)))
{
    m_state->secure = std::move(secure);
    acceptNext(m_state);
}

HttpServer::~HttpServer()
{
    stopAccepting();
    m_state->handler = [](const ExchangePtr &) {};
    const auto connections = m_state->connections;
    for (const auto &connection : connections)
        connection->close();
}

void HttpServer::setRefusalWriter(RefusalWriter writer)
{
    m_state->refusalWriter = std::move(writer);
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_state->limits = limits;
}

const HttpLimits &HttpServer::limits() const
{
    return m_state->limits;
}

void HttpServer::setCloseAfterAnswers(bool close)
{
    m_state->closeAfterAnswers = close;
}

void HttpServer::stopAccepting()
{
    m_state->stopped = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    m_state->retryTimer.cancel();
    const auto connections = m_state->connections;
    for (const auto &connection : connections)
        connection->closeIfIdle();
}

std::size_t HttpServer::pendingRequests() const
{
    return m_state->pendingRequests;
}

std::size_t HttpServer::connections() const
{
    return m_state->connections.size();
}

std::size_t HttpServer::incompleteRequests() const
{
    return static_cast<std::size_t>(std::count_if(m_state->connections.begin(),
                                                  m_state->connections.end(),
                                                  [](const auto &connection) {
                                                      return connection->phase() == Phase::Reading;
                                                  }));
}

const HttpCounters &HttpServer::counters() const
{
    return m_state->counters;
}

} // namespace foxwing::fabric
