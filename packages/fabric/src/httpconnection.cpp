/*
    Reading requests, refusing them, and writing answers on one connection.

    [SECTION] Life
    [SECTION] Reading
    [SECTION] Refusing
    [SECTION] Answering
*/
#include "httpconnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <foxwing/base/clock.h>

namespace foxwing::fabric {

// [SECTION] Life

namespace {

// Bytes per read. Most requests fit into one.
constexpr std::size_t ReadBytes = 4096;

// Memory of a header field besides its text
constexpr std::size_t FieldOverhead = 96;

// Memory of a TLS session
constexpr std::size_t TlsMemory = 48U << 10U;

// After a refusal, time for which the rest of the request is read and discarded: closing a
// connection with unread bytes resets it, and the caller might not see the refusal.
constexpr Milliseconds DrainTimeout { 500 };

} // namespace

HttpConnection::HttpConnection(Socket socket, std::shared_ptr<HttpServer::State> server)
    : MemoryHolder(server->memory)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_server(std::move(server))
{
    setSocketOptions(m_socket, m_server->limits.idleTimeout);
    if (m_server->secure)
        m_tls = std::make_unique<TlsStream>(m_socket, *m_server->secure);
}

void HttpConnection::start()
{
    if (!m_tls)
        return readNext();
    enterPhase(Phase::Reading);
    setDeadline(m_server->limits.headerTimeout);
    if (!hold(0))
        return;
    m_tls->async_handshake(TlsStream::server,
                           [self = shared_from_this()](boost::system::error_code error) {
                               if (error || self->m_closed)
                                   return self->close();
                               self->readNext();
                           });
}

void HttpConnection::readNext()
{
    m_parser.reset();
    if (m_buffer.size() > 0)
        return beginRequest();
    enterPhase(Phase::Idle);
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    setDeadline(m_server->limits.idleTimeout);
    if (!hold(0))
        return;
    // A TLS session may have received the beginning of a request already.
    if (m_tls)
        return beginRequest();
    m_socket.async_wait(Socket::wait_read,
                        [self = shared_from_this()](boost::system::error_code error) {
                            if (error || self->m_closed)
                                return self->close();
                            self->beginRequest();
                        });
}

void HttpConnection::send(Response response)
{
    enterPhase(Phase::Writing);
    m_response.emplace(std::move(response));
    m_response->version(11);
    m_response->keep_alive(m_keepAlive && !m_server->closeAfterAnswers);
    m_response->prepare_payload();
    // The request is no longer needed.
    m_exchange.reset();
    m_parser.reset();
    if (!hold(m_response->body().capacity()))
        return;
    setDeadline(m_server->limits.idleTimeout);
    auto handler = [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        self->handleWritten(error);
    };
    if (m_tls)
        http::async_write(*m_tls, *m_response, std::move(handler));
    else
        http::async_write(m_socket, *m_response, std::move(handler));
}

void HttpConnection::closeIfIdle()
{
    if (m_phase == Phase::Idle)
        close();
}

void HttpConnection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    handleDisconnect();
    setHeld(0);
    m_server->connections.erase(shared_from_this());
}

void HttpConnection::enterPhase(Phase phase)
{
    m_phase = phase;
    m_phaseSince = steadyNow();
}

void HttpConnection::setDeadline(Milliseconds timeout)
{
    m_deadline = steadyNow() + timeout;
    if (!m_timerRunning || m_deadline < m_timerExpiry)
        armTimer();
}

void HttpConnection::armTimer()
{
    m_timerRunning = true;
    m_timerExpiry = m_deadline;
    m_timer.expires_after(m_deadline - steadyNow());
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code waitError) {
        if (waitError || self->m_closed)
            return;
        self->m_timerRunning = false;
        if (self->m_phase == Phase::Handling)
            return;
        if (steadyNow() < self->m_deadline)
            return self->armTimer();
        self->handleTimeout();
    });
}

void HttpConnection::handleTimeout()
{
    const bool isIdle = m_phase == Phase::Idle || m_phase == Phase::Draining;
    m_server->counters.timedOut += isIdle ? 0 : 1;
    if (m_phase == Phase::Reading && m_parser && m_server->limits.answersLateRequests)
        refuse(408, "the request did not arrive in time; send it without pauses");
    else
        close();
}

bool HttpConnection::hold(std::size_t bytes)
{
    return setHeld(m_buffer.capacity() + bytes + (m_tls ? TlsMemory : 0));
}

// [SECTION] Reading

void HttpConnection::beginRequest()
{
    const HttpLimits &limits = m_server->limits;
    m_parser.emplace();
    m_parser->header_limit(limits.headerBytes);
    m_parser->body_limit(limits.bodyBytes);
    m_parser->eager(true);
    // A header, the trailers or the header of a chunk must fit; bodies are taken out at once.
    m_buffer.max_size(limits.headerBytes + ReadBytes);
    m_headerMemory = 0;
    m_hasDeadline = false;
    if (m_buffer.size() == 0)
        return readMore();
    enterPhase(Phase::Reading);
    parse();
}

void HttpConnection::readMore()
{
    const std::size_t free = m_buffer.max_size() - std::min(m_buffer.max_size(), m_buffer.size());
    if (free == 0)
        return refuseOversized(431);
    const auto target = m_buffer.prepare(std::min(ReadBytes, free));
    auto handler = [self = shared_from_this()](boost::system::error_code error, std::size_t count) {
        self->handleRead(error, count);
    };
    if (m_tls)
        m_tls->async_read_some(target, std::move(handler));
    else
        m_socket.async_read_some(target, std::move(handler));
}

void HttpConnection::handleRead(boost::system::error_code error, std::size_t count)
{
    // Refused while it was waiting for more
    if (m_closed || (m_phase != Phase::Reading && m_phase != Phase::Idle))
        return;
    if (error)
        return close();
    if (m_phase == Phase::Idle)
        enterPhase(Phase::Reading);
    m_buffer.commit(count);
    parse();
}

void HttpConnection::parse()
{
    boost::system::error_code error;
    while (!error && !m_parser->is_done() && m_buffer.size() > 0)
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error && error != http::error::need_more)
        return refuseMalformed(error);
    if (m_parser->is_header_done() && !acceptFields())
        return refuseOversized(431);
    if (!hold(m_parser->get().body().capacity() + m_headerMemory))
        return;
    if (m_parser->is_done())
        return handleRequest();
    if (!m_hasDeadline)
        setDeadline(m_server->limits.headerTimeout);
    m_hasDeadline = true;
    readMore();
}

bool HttpConnection::acceptFields()
{
    if (m_headerMemory != 0 && !m_parser->is_done())
        return true;
    std::size_t fields = 0;
    m_headerMemory = 0;
    for (const auto &field : m_parser->get().base()) {
        ++fields;
        m_headerMemory += field.name_string().size() + field.value().size() + FieldOverhead;
    }
    m_headerMemory += m_parser->get().target().size();
    return fields <= m_server->limits.headerFields;
}

void HttpConnection::handleRequest()
{
    enterPhase(Phase::Handling);
    m_keepAlive = m_parser->get().keep_alive();
    m_exchange = std::make_shared<Exchange>(m_parser->release(), weak_from_this());
    countRequest();
    const ExchangePtr exchange = m_exchange;
    m_server->handler(exchange);
    if (!exchange->answered() && !m_closed)
        watchForDisconnect();
}

// [SECTION] Refusing

void HttpConnection::refuseMalformed(boost::system::error_code error)
{
    if (error == http::error::header_limit)
        return refuseOversized(431);
    if (error == http::error::body_limit)
        return refuseOversized(413);
    refuse(400, "malformed request; send HTTP/1.1");
}

void HttpConnection::refuseOversized(unsigned status)
{
    const HttpLimits &limits = m_server->limits;
    ++m_server->counters.oversized;
    if (status == 413)
        return refuse(status,
                      "a request body may have at most " + std::to_string(limits.bodyBytes)
                              + " bytes; send less");
    refuse(status,
           "the header and the trailers of a request may have at most "
                   + std::to_string(limits.headerBytes) + " bytes each, and "
                   + std::to_string(limits.headerFields) + " fields together; send less");
}

void HttpConnection::refuse(unsigned status, const std::string &reason)
{
    Response response = m_server->refusalWriter(status, reason);
    if (status == 503)
        response.set(http::field::retry_after, RetryAfterSeconds);
    // A read may be in progress, if the request is refused while it waits for more.
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
    m_keepAlive = false;
    m_drains = true;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    countRequest();
    send(std::move(response));
}

void HttpConnection::evict()
{
    const auto self = shared_from_this();
    if (m_phase == Phase::Reading || m_phase == Phase::Writing)
        ++m_server->counters.outOfMemory;
    if (m_phase != Phase::Reading)
        return close();
    if (!m_parser)
        return close();
    refuse(503, "too many large requests at once; retry later");
}

void HttpConnection::drain()
{
    enterPhase(Phase::Draining);
    boost::system::error_code ignored;
    m_socket.shutdown(Socket::shutdown_send, ignored);
    setDeadline(DrainTimeout);
    discard();
}

void HttpConnection::discard()
{
    // Shared by all connections: nobody reads what is discarded.
    static std::array<char, ReadBytes> discarded;
    m_socket.async_read_some(asio::buffer(discarded),
                             [self = shared_from_this()](boost::system::error_code error,
                                                         std::size_t) {
                                 if (error)
                                     return self->close();
                                 self->discard();
                             });
}

// [SECTION] Answering

void HttpConnection::handleWritten(boost::system::error_code error)
{
    const bool keepAlive = m_response->keep_alive();
    m_response.reset();
    finishRequest();
    if (m_closed)
        return;
    if (!error && m_drains)
        return drain();
    if (error || !keepAlive)
        return shutDown();
    readNext();
}

void HttpConnection::watchForDisconnect()
{
    m_socket.async_wait(Socket::wait_read,
                        [self = shared_from_this()](boost::system::error_code error) {
                            if (error || self->m_closed || self->m_phase != Phase::Handling)
                                return;
                            if (!self->isCallerConnected())
                                self->close();
                        });
}

bool HttpConnection::isCallerConnected()
{
    char byte = 0;
    const auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

Milliseconds HttpConnection::sinceReceived()
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return Milliseconds(0);
    return Milliseconds(info.tcpi_last_data_recv);
}

void HttpConnection::releaseBody(std::size_t bytesKept)
{
    hold(m_headerMemory + bytesKept);
}

void HttpConnection::handleDisconnect()
{
    const ExchangePtr exchange = m_exchange;
    finishRequest();
    if (exchange && !exchange->answered() && exchange->m_onDisconnect)
        exchange->m_onDisconnect();
}

void HttpConnection::countRequest()
{
    m_counted = true;
    ++m_server->pendingRequests;
}

void HttpConnection::finishRequest()
{
    m_exchange.reset();
    if (m_counted)
        --m_server->pendingRequests;
    m_counted = false;
}

void HttpConnection::shutDown()
{
    boost::system::error_code ignored;
    m_socket.shutdown(Socket::shutdown_send, ignored);
    close();
}

} // namespace foxwing::fabric
