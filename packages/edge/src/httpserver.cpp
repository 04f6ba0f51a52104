/*
    The HTTP server's listener and its requests.

    [SECTION] Responder
    [SECTION] Server
*/
#include <foxwing/edge/httpserver.h>

#include <atomic>
#include <boost/asio/ssl/context.hpp>
#include <cpprest/http_listener.h>
#include <map>
#include <mutex>
#include <pplx/threadpool.h>

#include <foxwing/base/clock.h>
#include <foxwing/base/codec.h>

namespace foxwing::edge {

namespace http = web::http;

// [SECTION] Responder

class Responder::Impl
{
public:
    explicit Impl(const http::http_request &request)
        : m_request(request)
    { }

    void reply(int status, const std::string &contentType, const std::string &body,
               Milliseconds retryAfter)
    {
        if (m_replied.exchange(true))
            return;
        http::http_response response(static_cast<http::status_code>(status));
        response.set_body(body, contentType);
        if (retryAfter.count() > 0)
            response.headers().add("Retry-After",
                                   std::to_string((retryAfter.count() + 999) / 1000));
        // A caller that has disconnected is not an error.
        m_request.reply(response).then([](const pplx::task<void> &done) {
            try {
                done.get();
            } catch (const std::exception &) {
                return;
            }
        });
    }

private:
    http::http_request m_request;
    std::atomic<bool> m_replied { false };
};

void Responder::reply(int status, const std::string &contentType, const std::string &body,
                      Milliseconds retryAfter) const
{
    m_impl->reply(status, contentType, body, retryAfter);
}

// [SECTION] Server

namespace {

std::string decode(const std::string &text)
{
    try {
        return web::uri::decode(text);
    } catch (const std::exception &) {
        return text;
    }
}

HttpRequest readHead(const http::http_request &message)
{
    static const std::string bearer = "Bearer ";
    HttpRequest request;
    request.method = message.method();
    const web::uri &uri = message.request_uri();
    for (const std::string &part : web::uri::split_path(uri.path()))
        request.path.push_back(decode(part));
    for (const auto &parameter : web::uri::split_query(uri.query()))
        request.query[decode(parameter.first)] = decode(parameter.second);
    const auto token = message.headers().find("Authorization");
    if (token != message.headers().end() && token->second.compare(0, bearer.size(), bearer) == 0)
        request.token = token->second.substr(bearer.size());
    return request;
}

void refuse(const Responder &responder, ErrorKind kind, const std::string &message)
{
    Json::Value json(Json::objectValue);
    json["outcome"] = toString(Outcome::NotRun);
    json["error"]["kind"] = toString(kind);
    json["error"]["message"] = message;
    responder.reply(httpStatus(kind), "application/json", writeJson(json));
}

} // namespace

class HttpServer::Impl
{
public:
    Impl(const HttpServerSettings &settings, Handler handler)
        : m_settings(settings)
        , m_handler(std::move(handler))
    { }

    bool start(Error *reason)
    {
        const bool secure = !m_settings.certificateFile.empty();
        const std::string url = (secure ? "https://" : "http://") + m_settings.host + ":"
                + std::to_string(m_settings.port);
        http::experimental::listener::http_listener_config config;
        config.set_timeout(std::chrono::duration_cast<utility::seconds>(m_settings.bodyTimeout));
        if (secure)
            config.set_ssl_context_callback([this](boost::asio::ssl::context &context) {
                context.set_options(boost::asio::ssl::context::default_workarounds
                                    | boost::asio::ssl::context::no_tlsv1
                                    | boost::asio::ssl::context::no_tlsv1_1);
                context.use_certificate_chain_file(m_settings.certificateFile);
                context.use_private_key_file(m_settings.keyFile, boost::asio::ssl::context::pem);
            });
        try {
            m_listener = http::experimental::listener::http_listener(web::uri(url), config);
            m_listener.support([this](const http::http_request &message) { receive(message); });
            m_listener.open().wait();
            m_open = true;
            return true;
        } catch (const std::exception &exception) {
            fail(reason, ErrorKind::Unavailable,
                 "can't listen on " + url + " (" + exception.what()
                         + "); use an IPv4 address of this host and a free port");
            return false;
        }
    }

    void stop()
    {
        if (!m_open)
            return;
        m_open = false;
        try {
            m_listener.close().wait();
        } catch (const std::exception &) {
            return; // the process is about to exit
        }
    }

    std::size_t pendingBodies() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_pendingBodies.size();
    }

    // Ids increase with time, so the search ends at the first request that is not overdue.
    void expirePendingBodies()
    {
        std::vector<Responder> overdue;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const Time now = steadyNow();
            while (!m_pendingBodies.empty() && m_pendingBodies.begin()->second.deadline <= now) {
                overdue.push_back(m_pendingBodies.begin()->second.responder);
                m_pendingBodies.erase(m_pendingBodies.begin());
            }
        }
        for (const Responder &responder : overdue)
            refuse(responder, ErrorKind::BadRequest,
                   "the request body did not arrive in time; send it without pauses");
    }

private:
    void receive(const http::http_request &message)
    {
        const Responder responder(std::make_shared<Responder::Impl>(message));
        HttpRequest request = readHead(message);
        const bool hasBody = request.method == "POST" || request.method == "PUT";
        if (!hasBody)
            return m_handler(request, responder);
        if (!message.headers().has("Content-Length"))
            return refuse(responder, ErrorKind::BadRequest,
                          "send the body with a Content-Length header instead of in chunks");
        if (message.headers().content_length() > m_settings.maxBodyBytes)
            return refuse(responder, ErrorKind::TooLarge,
                          "a request body may have at most "
                                  + std::to_string(m_settings.maxBodyBytes)
                                  + " bytes; split the job");
        if (pendingBodies() >= m_settings.maxPendingBodies)
            return refuse(responder, ErrorKind::Unavailable,
                          "too many incomplete requests at this node; retry in a second");
        readBody(message, std::move(request), responder);
    }

    // A request whose body is incomplete.
    struct PendingBody
    {
        Responder responder;
        Time deadline;
    };

    void readBody(const http::http_request &message, HttpRequest request,
                  const Responder &responder)
    {
        const std::uint64_t id = addPendingBody(responder);
        // Copies of an http_request share its state.
        http::http_request(message).extract_vector().then(
                [this, id, request = std::move(request),
                 responder](const pplx::task<std::vector<unsigned char>> &arrived) mutable {
                    const bool inTime = removePendingBody(id);
                    try {
                        const std::vector<unsigned char> body = arrived.get();
                        request.body.assign(body.begin(), body.end());
                    } catch (const std::exception &) {
                        return; // the caller disconnected before the body was complete
                    }
                    if (inTime)
                        m_handler(request, responder);
                });
    }

    std::uint64_t addPendingBody(const Responder &responder)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_pendingBodies.emplace(++m_lastBodyId,
                                PendingBody { responder, steadyNow() + m_settings.bodyTimeout });
        return m_lastBodyId;
    }

    // False if it was refused already.
    bool removePendingBody(std::uint64_t id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_pendingBodies.erase(id) == 1;
    }

    HttpServerSettings m_settings;
    Handler m_handler;
    http::experimental::listener::http_listener m_listener;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, PendingBody> m_pendingBodies;
    std::uint64_t m_lastBodyId = 0;
    bool m_open = false;
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

std::size_t HttpServer::pendingBodies() const
{
    return m_impl->pendingBodies();
}

void HttpServer::expirePendingBodies()
{
    m_impl->expirePendingBodies();
}

void HttpServer::stop()
{
    m_impl->stop();
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
