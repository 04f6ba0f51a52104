/*
    An HTTP/1.1 listener on the loop's own thread, over Boost.Beast.

        HttpServer server(io, std::move(*acceptor), HttpLimits(), [](ExchangePtr exchange) {
            exchange->answer(makeResponse(200, "text/plain", "hello"));
        });

    An exchange may be answered at once or later. onDisconnect() tells when the caller closed its
    connection before it was answered.

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

namespace foxwing::fabric {

// [SECTION] Limits

namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// Can be changed while the server runs; in force for the next request of each connection.
struct HttpLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 1U << 20U;

    // From the first byte of a request to the last of its header, and as long again for the body.
    Milliseconds headerTimeout { 3000 };

    // A connection that carries nothing for this long is closed.
    Milliseconds idleTimeout { 15000 };

    std::size_t maxConnections = 3000;
};

// [SECTION] Exchange

class HttpConnection;

// One request and the way to answer it, once.
class Exchange
{
public:
    Exchange(Request request, std::weak_ptr<HttpConnection> connection);

    const Request &request() const { return m_request; }
    void answer(Response response);
    bool answered() const { return m_answered; }

    // False if the caller has closed its connection already, which onDisconnect() tells a moment
    // later.
    bool isCallerConnected() const;

    // How long ago the last bytes of the connection came to this host, whether or not anybody read
    // them, in whole milliseconds; zero if the system can't tell. Asked when the request has just
    // been read, it is what the request waited unread.
    Milliseconds sinceReceived() const;

    // Called if the caller goes before the answer.
    void onDisconnect(std::function<void()> handler) { m_gone = std::move(handler); }

private:
    friend class HttpConnection;
    Request m_request;
    std::weak_ptr<HttpConnection> m_connection;
    std::function<void()> m_gone;
    bool m_answered = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

Response makeResponse(unsigned status, const std::string &contentType, std::string body);

// [SECTION] Server

class HttpServer
{
public:
    using Handler = std::function<void(ExchangePtr)>;

    HttpServer(asio::io_context &io, asio::ip::tcp::acceptor acceptor, const HttpLimits &limits,
               Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void setLimits(const HttpLimits &limits);

    // While set, each answer asks the caller to use another connection next time.
    void setCloseAfterAnswers(bool close);

    // Accepts no more, and closes connections that carry no request.
    void stopAccepting();

    // Requests read in full and not answered yet, or whose answer is still being written.
    std::size_t pendingRequests() const;
    std::size_t connections() const;

private:
    friend class HttpConnection;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxwing::fabric
