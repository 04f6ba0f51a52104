/*
    The HTTP server's thread and its requests.

    [SECTION] Responder
    [SECTION] Requests
    [SECTION] Server
*/
#include <foxwing/edge/httpserver.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl.hpp>
#include <cpprest/base_uri.h>
#include <future>
#include <optional>
#include <pplx/threadpool.h>
#include <thread>

#include <foxwing/base/codec.h>
#include <foxwing/fabric/httpserver.h>

namespace foxwing::edge {

namespace asio = boost::asio;

namespace {

// What the kernel keeps of a request that is not read yet
constexpr int ReceiveBytes = 65536;

} // namespace

// [SECTION] Responder

// Replies from any thread; the connection belongs to the server's thread.
class Responder::Impl
{
public:
    Impl(std::shared_ptr<asio::io_context> io, fabric::ExchangePtr exchange)
        : m_io(std::move(io))
        , m_exchange(std::move(exchange))
    { }

    void reply(int status, const std::string &contentType, const std::string &body,
               Milliseconds retryAfter)
    {
        if (m_replied.exchange(true))
            return;
        fabric::Response response = fabric::makeResponse(static_cast<unsigned>(status), contentType,
                                                         body);
        if (retryAfter.count() > 0)
            response.set(fabric::http::field::retry_after,
                         std::to_string((retryAfter.count() + 999) / 1000));
        asio::post(*m_io, [exchange = m_exchange, response = std::move(response)]() mutable {
            exchange->answer(std::move(response));
        });
    }

private:
    std::shared_ptr<asio::io_context> m_io;
    fabric::ExchangePtr m_exchange;
    std::atomic<bool> m_replied { false };
};

void Responder::reply(int status, const std::string &contentType, const std::string &body,
                      Milliseconds retryAfter) const
{
    m_impl->reply(status, contentType, body, retryAfter);
}

// [SECTION] Requests

namespace {

std::string decode(const std::string &text)
{
    try {
        return web::uri::decode(text);
    } catch (const std::exception &) {
        return text;
    }
}

// Returns nothing if the target is no valid path and query.
std::optional<HttpRequest> readHead(const fabric::Request &message)
{
    static const std::string bearer = "Bearer ";
    HttpRequest request;
    request.method = std::string(message.method_string());
    try {
        const web::uri uri { std::string(message.target()) };
        for (const std::string &part : web::uri::split_path(uri.path()))
            request.path.push_back(decode(part));
        for (const auto &parameter : web::uri::split_query(uri.query()))
            request.query[decode(parameter.first)] = decode(parameter.second);
    } catch (const std::exception &) {
        return std::nullopt;
    }
    const std::string authorization(message[fabric::http::field::authorization]);
    if (authorization.compare(0, bearer.size(), bearer) == 0)
        request.token = authorization.substr(bearer.size());
    return request;
}

fabric::Response writeRefusal(unsigned status, const std::string &reason)
{
    const ErrorKind kind = status == 413 ? ErrorKind::TooLarge
            : status == 503              ? ErrorKind::Unavailable
                                         : ErrorKind::BadRequest;
    Json::Value json(Json::objectValue);
    json["outcome"] = toString(Outcome::NotRun);
    json["error"]["kind"] = toString(kind);
    json["error"]["message"] = reason;
    return fabric::makeResponse(status == 408 ? 400 : status, "application/json", writeJson(json));
}

std::shared_ptr<asio::ssl::context> makeSecure(const HttpServerSettings &settings)
{
    if (settings.certificateFile.empty())
        return nullptr;
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1
                         | asio::ssl::context::no_tlsv1_1 | SSL_OP_NO_RENEGOTIATION);
    context->use_certificate_chain_file(settings.certificateFile);
    context->use_private_key_file(settings.keyFile, asio::ssl::context::pem);
    return context;
}

} // namespace

// [SECTION] Server

class HttpServer::Impl
{
public:
    Impl(const HttpServerSettings &settings, Handler handler)
        : m_settings(settings)
        , m_handler(std::move(handler))
        , m_io(std::make_shared<asio::io_context>(1))
    { }

    bool start(Error *reason)
    {
        auto acceptor = fabric::listenAt(*m_io,
                                         m_settings.host + ":" + std::to_string(m_settings.port),
                                         reason, ReceiveBytes);
        if (!acceptor)
            return false;
        std::shared_ptr<asio::ssl::context> secure;
        try {
            secure = makeSecure(m_settings);
        } catch (const std::exception &exception) {
            fail(reason, ErrorKind::Unavailable,
                 std::string("can't read the certificate or its key (") + exception.what()
                         + "); use PEM files that belong together");
            return false;
        }
        m_server = std::make_unique<fabric::HttpServer>(
                *m_io, std::move(*acceptor), limits(),
                [this](const fabric::ExchangePtr &exchange) { receive(exchange); },
                std::make_shared<fabric::MemoryBudget>(m_settings.maxHeldBytes), secure);
        m_server->setRefusalWriter(writeRefusal);
        m_thread = std::thread([io = m_io] { io->run(); });
        return true;
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        asio::post(*m_io, [this] {
            m_server.reset();
            m_io->stop();
        });
        m_thread.join();
    }

    HttpServerStatus status() const
    {
        if (!m_thread.joinable())
            return {};
        std::promise<HttpServerStatus> promise;
        asio::post(*m_io, [this, &promise] {
            const fabric::HttpCounters &counters = m_server->counters();
            promise.set_value({ m_server->connections(), m_server->incompleteRequests(),
                                counters.oversized, counters.outOfMemory,
                                counters.displaced + counters.refused, counters.timedOut });
        });
        return promise.get_future().get();
    }

private:
    fabric::HttpLimits limits() const
    {
        fabric::HttpLimits limits;
        limits.bodyBytes = m_settings.maxBodyBytes;
        limits.headerTimeout = m_settings.bodyTimeout;
        limits.idleTimeout = m_settings.idleTimeout;
        limits.answersLateRequests = true;
        limits.maxConnections = m_settings.maxConnections;
        return limits;
    }

    void receive(const fabric::ExchangePtr &exchange)
    {
        const fabric::Request &message = exchange->request();
        std::optional<HttpRequest> request = readHead(message);
        if (!request)
            return exchange->answer(writeRefusal(400, "the path is not valid; encode it"));
        const bool hasBody = request->method == "POST" || request->method == "PUT";
        if (hasBody && message.find(fabric::http::field::content_length) == message.end())
            return exchange->answer(
                    writeRefusal(400,
                                 "send the body with a Content-Length header instead of in "
                                 "chunks"));
        if (hasMoreValues(message.body(), m_settings.maxValues))
            return exchange->answer(
                    writeRefusal(413,
                                 "a request body may have at most "
                                         + std::to_string(m_settings.maxValues)
                                         + " JSON values; split the job, or send payloads as "
                                           "strings"));
        const Responder responder(std::make_shared<Responder::Impl>(m_io, exchange));
        request->body = message.body();
        exchange->releaseBody(request->body.size());
        m_handler(*request, responder);
    }

    HttpServerSettings m_settings;
    Handler m_handler;
    std::shared_ptr<asio::io_context> m_io;
    std::unique_ptr<fabric::HttpServer> m_server;
    std::thread m_thread;
};

HttpServer::HttpServer(const HttpServerSettings &settings, Handler handler)
    : m_impl(std::make_unique<Impl>(settings, std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    m_impl->stop();
}

bool HttpServer::start(Error *reason)
{
    return m_impl->start(reason);
}

void HttpServer::stop()
{
    m_impl->stop();
}

HttpServerStatus HttpServer::status() const
{
    return m_impl->status();
}

void setHttpThreads(unsigned int threads)
{
    try {
        crossplat::threadpool::initialize_with_threads(threads);
    } catch (const std::exception &) {
        return; // the pool already runs
    }
}

} // namespace foxwing::edge
