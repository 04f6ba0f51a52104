/*
    HTTP client for one address with a pool of persistent connections, on the event loop's thread.

        HttpClient client(io, "10.0.0.4:8080", HttpClientSettings());
        client.call(std::move(request), Milliseconds(100), [](CallResult result) { ... });

    Every call ends in exactly one of: a response, Refused (the request was certainly not sent,
    since nothing listens at the address), or NoAnswer (it may have been executed, or may be later).
    The client never retries: only the caller knows whether that is safe.

    [SECTION] Settings
    [SECTION] Client
*/
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include <foxwing/fabric/httpserver.h>

namespace foxwing::fabric {

// [SECTION] Settings

struct HttpClientSettings
{
    // Calls beyond this number wait for a free connection.
    std::size_t maxConnections = 8;

    std::uint64_t maxBodyBytes = 4U << 20U;
};

// [SECTION] Client

enum class CallFailure {
    None,
    Refused,
    NoAnswer,
};

struct CallResult
{
    CallFailure failure = CallFailure::None;

    // Set if the call did not fail
    std::optional<Response> response;
};

class HttpClient
{
public:
    using Done = std::function<void(CallResult)>;

    HttpClient(asio::io_context &io, const std::string &address, HttpClientSettings settings);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // The timeout includes the wait for a free connection.
    void call(Request request, Milliseconds timeout, Done done);

    // Number of connections opened so far
    std::uint64_t opened() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxwing::fabric
