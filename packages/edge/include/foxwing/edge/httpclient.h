/*
    HTTP client on cpprestsdk, for agents that call their endpoint and for the command line.

        HttpClient client("http://10.0.0.9:9000", settings);
        client.call("POST", "/tasks/1", body, headers, [](HttpReply &&reply) { ... });

    [SECTION] Types
    [SECTION] Client
*/
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::edge {

// [SECTION] Types

struct HttpReply
{
    // HTTP status, or 0 without a response.
    int status = 0;
    std::string body;

    // Without a response: whether the request can't have reached the server.
    bool neverSent = false;
    std::string reason;
};

struct HttpClientSettings
{
    // Limit for one call.
    Milliseconds timeout { 60000 };

    // Accepts any certificate; only for tests on one host.
    bool insecure = false;

    // Longer responses are errors.
    std::size_t maxBodyBytes = 16U << 20U;
};

// [SECTION] Client

class HttpClient
{
public:
    using Receiver = std::function<void(HttpReply &&)>;

    HttpClient(const std::string &url, const HttpClientSettings &settings);
    ~HttpClient();

    // Returns at once; the receiver is called on one of cpprestsdk's threads.
    void call(const std::string &method, const std::string &path, const std::string &body,
              const std::map<std::string, std::string> &headers, Receiver receiver);

    // Blocks until there is a response or an error.
    HttpReply callAndWait(const std::string &method, const std::string &path,
                          const std::string &body,
                          const std::map<std::string, std::string> &headers);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxwing::edge
