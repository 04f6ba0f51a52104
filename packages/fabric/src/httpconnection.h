/*
    One connection of an HTTP server, and the state that all connections of a server share.

    A connection goes through phases: idle, reading a request, handling it, writing the answer, and
    idle again. Each has its deadline, except handling. A refused request is read to its end and
    discarded, see drain().

    [SECTION] State
    [SECTION] Connection
*/
#pragma once

#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <set>

#include <foxwing/fabric/httpserver.h>

namespace foxwing::fabric {

// [SECTION] State

struct HttpServer::State
{
    State(asio::io_context &io, asio::ip::tcp::acceptor listeningSocket,
          const HttpLimits &initialLimits, Handler requestHandler,
          std::shared_ptr<MemoryBudget> memoryBudget)
        : acceptor(std::move(listeningSocket))
        , retryTimer(io)
        , limits(initialLimits)
        , handler(std::move(requestHandler))
        , memory(std::move(memoryBudget))
    { }

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    HttpLimits limits;
    Handler handler;
    std::shared_ptr<MemoryBudget> memory;
    std::shared_ptr<asio::ssl::context> secure;
    RefusalWriter refusalWriter = writeTextRefusal;
    HttpCounters counters;
    std::set<std::shared_ptr<HttpConnection>> connections;
    std::size_t pendingRequests = 0;
    bool closeAfterAnswers = false;
    bool stopped = false;
};

// [SECTION] Connection

// When a caller should retry that was refused for lack of memory or connections. The
// requests that take them complete or time out within a few seconds.
constexpr const char *RetryAfterSeconds = "1";

// In the order in which connections are closed to make room for new ones
enum class Phase {
    // Reads and discards the rest of a refused request
    Draining,
    Idle,
    // Has received a part of a request
    Reading,
    Writing,
    // A complete request waits for its answer.
    Handling,
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection>, private MemoryHolder
{
public:
    HttpConnection(Socket socket, std::shared_ptr<HttpServer::State> server);

    // Begins with the TLS handshake, if the server serves HTTPS.
    void start();
    void send(Response response);
    void closeIfIdle();
    void close();
    Phase phase() const { return m_phase; }
    Time phaseSince() const { return m_phaseSince; }

    // For the exchange of this connection
    bool isCallerConnected();
    Milliseconds sinceReceived();
    void releaseBody(std::size_t bytesKept);
    bool closed() const { return m_closed; }

private:
    using TlsStream = asio::ssl::stream<Socket &>;

    // Deadlines and memory
    void enterPhase(Phase phase);

    // One timer per connection. A later deadline doesn't re-arm a running timer, which checks the
    // deadline when it expires: so a busy connection rarely sets it.
    void setDeadline(Milliseconds timeout);
    void armTimer();
    void handleTimeout();

    // Reports what this connection holds, besides its buffer. Returns false if it was closed, or
    // its request was refused.
    bool hold(std::size_t bytes);

    // Reading
    void readNext();
    void beginRequest();
    void readMore();
    void handleRead(boost::system::error_code error, std::size_t count);
    void parse();

    // Checks the number of fields and counts their memory: after the header, and at the end of the
    // request, when there may be trailers.
    bool acceptFields();
    void handleRequest();

    // Refusing
    void refuseMalformed(boost::system::error_code error);
    void refuseOversized(unsigned status);

    // The rest of the request is not parsed, so the connection closes after the refusal.
    void refuse(unsigned status, const std::string &reason);

    // From MemoryHolder
    bool isEvictable() const override { return !m_closed && m_phase != Phase::Handling; }
    void evict() override;

    // Reads the rest of a refused request, so that the caller sees the refusal.
    void drain();
    void discard();

    // Answering
    void handleWritten(boost::system::error_code error);

    // While a request is pending, the socket becomes readable when the caller closes the
    // connection, or sends its next request early.
    void watchForDisconnect();
    void handleDisconnect();
    void countRequest();
    void finishRequest();

    // Ends the connection after its last answer, which the caller can still read.
    void shutDown();

    Socket m_socket;

    // Set if the server serves HTTPS
    std::unique_ptr<TlsStream> m_tls;
    asio::steady_timer m_timer;
    Time m_deadline;
    Time m_timerExpiry;
    std::shared_ptr<HttpServer::State> m_server;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<Response> m_response;
    ExchangePtr m_exchange;
    Phase m_phase = Phase::Idle;
    Time m_phaseSince;

    // Estimated memory of the fields of the request that is being read or answered
    std::size_t m_headerMemory = 0;

    // Whether this connection's request is counted in the server's pendingRequests
    bool m_counted = false;
    bool m_keepAlive = true;

    // Whether the rest of a refused request is discarded before the connection closes
    bool m_drains = false;

    // Whether the request that is being read has its own deadline
    bool m_hasDeadline = false;
    bool m_timerRunning = false;
    bool m_closed = false;
};

} // namespace foxwing::fabric
