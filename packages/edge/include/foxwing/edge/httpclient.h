/*
    An HTTP client over cpprestsdk, for agents towards their endpoint and for the command line.

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
    // HTTP status, or 0 if no answer came.
    int status = 0;
    std::string body;

    // Without an answer: whether the request can not have reached the server.
    bool neverSent = false;
    std::string reason;
};

struct HttpClientSettings
{
    // A call without an answer by then has failed.
    Milliseconds timeout { 60000 };

    // Accept any certificate. For trials on one machine only.
    bool insecure = false;

    // Answers longer than this are errors.
    std::size_t maxBodyBytes = 16U << 20U;
};

// [SECTION] Client

class HttpClient
{
public:
    using Receiver = std::function<void(HttpReply &&)>;

    HttpClient(const std::string &url, const HttpClientSettings &settings);
    ~HttpClient();

    // Calls without blocking; the receiver runs on one of cpprestsdk's threads.
    void call(const std::string &method, const std::string &path, const std::string &body,
              const std::map<std::string, std::string> &headers, Receiver receiver);

    // Calls and waits.
    HttpReply callAndWait(const std::string &method, const std::string &path,
                          const std::string &body,
                          const std::map<std::string, std::string> &headers);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxwing::edge
