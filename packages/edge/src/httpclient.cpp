/*
    The HTTP client's calls to cpprestsdk.

    [SECTION] Client
*/
#include <foxwing/edge/httpclient.h>

#include <cpprest/http_client.h>
#include <future>

namespace foxwing::edge {

namespace http = web::http;

namespace {

// cpprestsdk reports a failed connection only in its message text.
bool failedToConnect(const std::string &reason)
{
    return reason.find("Failed to connect") != std::string::npos
            || reason.find("Error resolving") != std::string::npos;
}

} // namespace

// [SECTION] Client

class HttpClient::Impl
{
public:
    Impl(const std::string &url, const HttpClientSettings &settings)
        : m_settings(settings)
        , m_client(web::uri(url), makeConfig(settings))
    { }

    void call(const std::string &method, const std::string &path, const std::string &body,
              const std::map<std::string, std::string> &headers, Receiver receiver)
    {
        http::http_request request(method);
        try {
            request.set_request_uri(web::uri(path));
        } catch (const std::exception &exception) {
            HttpReply reply;
            reply.neverSent = true;
            reply.reason = exception.what();
            return receiver(std::move(reply));
        }
        for (const auto &header : headers)
            request.headers().add(header.first, header.second);
        if (!body.empty())
            request.set_body(body, "application/json");
        const std::size_t limit = m_settings.maxBodyBytes;
        m_client.request(request)
                .then([limit](http::http_response response) {
                    if (response.headers().content_length() > limit)
                        throw std::length_error("the response is too long");
                    return response.extract_vector().then(
                            [status = response.status_code()](
                                    const std::vector<unsigned char> &content) {
                                HttpReply reply;
                                reply.status = status;
                                reply.body.assign(content.begin(), content.end());
                                return reply;
                            });
                })
                .then([receiver = std::move(receiver)](const pplx::task<HttpReply> &done) {
                    receiver(toReply(done));
                });
    }

private:
    static http::client::http_client_config makeConfig(const HttpClientSettings &settings)
    {
        http::client::http_client_config config;
        config.set_timeout(settings.timeout);
        config.set_validate_certificates(!settings.insecure);
        return config;
    }

    static HttpReply toReply(const pplx::task<HttpReply> &done)
    {
        try {
            return done.get();
        } catch (const std::exception &exception) {
            HttpReply reply;
            reply.reason = exception.what();
            reply.neverSent = failedToConnect(reply.reason);
            return reply;
        }
    }

    HttpClientSettings m_settings;
    http::client::http_client m_client;
};

HttpClient::HttpClient(const std::string &url, const HttpClientSettings &settings)
    : m_impl(std::make_unique<Impl>(url, settings))
{ }

HttpClient::~HttpClient() = default;

void HttpClient::call(const std::string &method, const std::string &path, const std::string &body,
                      const std::map<std::string, std::string> &headers, Receiver receiver)
{
    m_impl->call(method, path, body, headers, std::move(receiver));
}

HttpReply HttpClient::callAndWait(const std::string &method, const std::string &path,
                                  const std::string &body,
                                  const std::map<std::string, std::string> &headers)
{
    auto promise = std::make_shared<std::promise<HttpReply>>();
    std::future<HttpReply> future = promise->get_future();
    call(method, path, body, headers,
         [promise](HttpReply &&reply) { promise->set_value(std::move(reply)); });
    return future.get();
}

} // namespace foxwing::edge
