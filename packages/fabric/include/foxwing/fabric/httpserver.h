/*
    HTTP/1.1 server over Boost.Beast, on the event loop's thread.

        HttpServer server(io, std::move(*acceptor), HttpLimits(), [](ExchangePtr exchange) {
            exchange->answer(makeResponse(200, "text/plain", "hello"));
        });

    An exchange may be answered at once or later. The handler set with onDisconnect() is called if
    the caller closes its connection before that.

    [SECTION] Limits
    [SECTION] Exchange
    [SECTION] Server
*/
#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>

#include <foxwing/fabric/address.h>
#include <foxwing/fabric/memorybudget.h>

namespace boost::asio::ssl {
class context;
}

namespace foxwing::fabric {

// [SECTION] Limits

namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// Can be changed while the server runs; applies from the next request of each connection.
struct HttpLimits
{
    std::uint32_t headerBytes = 16384;

    // Header and trailer fields of a request together. A short field takes many times its size.
    std::size_t headerFields = 100;
    std::uint64_t bodyBytes = 1U << 20U;

    // Time for reading one whole request, from its first byte.
    Milliseconds headerTimeout { 3000 };

    // Whether a request that takes longer is refused with status 408 before the connection closes.
    bool answersLateRequests = false;

    // A connection without a request is closed after this time, and so is one that doesn't
    // acknowledge an answer for this long, or has not taken all of it by then.
    Milliseconds idleTimeout { 15000 };

    // When a connection more is accepted, the oldest one without a complete request is closed. If
    // all have one, the new one is refused.
    std::size_t maxConnections = 3000;
};

// Numbers since the server was created
struct HttpCounters
{
    // Requests refused because their header, trailers or body exceed a limit
    std::uint64_t oversized = 0;

    // Requests refused, and answers cut off, because the connections held too much memory together
    std::uint64_t outOfMemory = 0;

    // Connections closed to make room for new ones
    std::uint64_t displaced = 0;

    // Connections refused because all others had a complete request
    std::uint64_t refused = 0;

    // Connections closed because a request or the reading of an answer took too long
    std::uint64_t timedOut = 0;
};

// [SECTION] Exchange

class HttpConnection;

// One request, which is answered at most once.
class Exchange
{
public:
    Exchange(Request request, std::weak_ptr<HttpConnection> connection);

    const Request &request() const { return m_request; }
    void answer(Response response);
    bool answered() const { return m_answered; }

    // Checks the socket, so it is false as soon as the caller has closed its connection, even
    // before the onDisconnect() handler is called.
    bool isCallerConnected() const;

    // Time since the kernel received the connection's last bytes, read or unread, in whole
    // milliseconds; zero if it is unknown. Right after a request was read, this is how long it
    // waited in the socket buffer.
    Milliseconds sinceReceived() const;

    // Frees the body after it was parsed. What was read from it counts as held until the answer.
    void releaseBody(std::size_t bytesKept);

    // Sets a handler that is called if the caller closes its connection before the answer.
    void onDisconnect(std::function<void()> handler) { m_onDisconnect = std::move(handler); }

private:
    friend class HttpConnection;
    Request m_request;
    std::weak_ptr<HttpConnection> m_connection;
    std::function<void()> m_onDisconnect;
    bool m_answered = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

Response makeResponse(unsigned status, const std::string &contentType, std::string body);

// Writes the answer to a request that never reaches the handler.
using RefusalWriter = std::function<Response(unsigned status, const std::string &reason)>;
Response writeTextRefusal(unsigned status, const std::string &reason);

// [SECTION] Server

class HttpServer
{
public:
    static constexpr std::size_t DefaultMemory = 32U << 20U;

    using Handler = std::function<void(ExchangePtr)>;

    // Without a budget, the server has one of its own of DefaultMemory. With an SSL context it
    // serves HTTPS.
    HttpServer(asio::io_context &io, asio::ip::tcp::acceptor acceptor, const HttpLimits &limits,
               Handler handler, std::shared_ptr<MemoryBudget> memory = nullptr,
               std::shared_ptr<asio::ssl::context> secure = nullptr);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void setRefusalWriter(RefusalWriter writer);
    void setLimits(const HttpLimits &limits);
    const HttpLimits &limits() const;

    // While set, answers are sent with "Connection: close".
    void setCloseAfterAnswers(bool close);

    // Stops accepting connections and closes idle ones.
    void stopAccepting();

    // Number of requests that are read completely and whose answer is not written completely yet
    std::size_t pendingRequests() const;
    std::size_t connections() const;

    // Requests of which a part has been received
    std::size_t incompleteRequests() const;
    const HttpCounters &counters() const;

private:
    friend class HttpConnection;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxwing::fabric
