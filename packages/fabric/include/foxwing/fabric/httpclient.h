/*
    HTTP calls to one address over a few kept connections, on the loop's own thread.

        HttpClient client(io, "10.0.0.4:8080", HttpClientSettings());
        client.call(std::move(request), Milliseconds(100), [](CallResult result) { ... });

    Every call ends in exactly one of: an answer, "refused" (the request certainly did not leave,
    since nobody listens at the address), or "no answer" (it may have been carried out, or may be
    later). Nothing is sent again here: whether that is safe is for the caller to know.

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
    // Calls beyond this many wait for a connection.
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

    // Set if there was no failure.
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

    // The timeout runs from now, waiting for a connection included.
    void call(Request request, Milliseconds timeout, Done done);

    // Connections opened so far.
    std::uint64_t opened() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxwing::fabric
