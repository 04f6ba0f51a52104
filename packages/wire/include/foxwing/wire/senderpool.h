/*
    Sends batches of messages to other processes.

    Messages to one peer keep their order. A few threads serve all peers: each takes a peer with
    queued messages and sends them in one call. A peer that does not answer blocks one thread for
    one timeout. During the backoff that follows, messages to it fail at once.

        SenderPool sender(settings, onFailure);
        sender.send("10.0.0.7:7100", encodeMessage(message));

    [SECTION] Settings
    [SECTION] Pool
*/
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <foxwing/base/time.h>
#include <foxwing/wire/envelope.h>

namespace foxwing::wire {

// [SECTION] Settings

struct SenderSettings
{
    unsigned int threads = 4;

    // Limit for one call. A call that timed out may have been delivered.
    Milliseconds timeout { 1000 };

    // A peer is not called for this long after a failure. The backoff doubles with each further
    // failure, up to the maximum.
    Milliseconds minBackoff { 50 };
    Milliseconds maxBackoff { 1000 };

    // Limits on the messages in one call, and on those queued for one peer.
    std::size_t maxBatchSize = 512;
    std::size_t maxQueued = 50000;

    // Copied into every envelope.
    std::string from;
    std::string address;
    std::string secret;
};

struct SenderCounters
{
    std::uint64_t calls = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t failedCalls = 0;
    std::uint64_t failedMessages = 0;
};

// [SECTION] Pool

class SenderPool
{
public:
    // Called with messages that may not have been delivered: on a thread of the pool, or within
    // send() if the message was not queued.
    using FailureHandler =
            std::function<void(const std::string &address, std::vector<Json::Value> &&messages)>;

    SenderPool(const SenderSettings &settings, FailureHandler onFailure);
    ~SenderPool();

    // Queues a message for the process that listens at "host:port". Never blocks.
    void send(const std::string &address, Json::Value &&message);

    // Waits until all queued messages were sent or have failed.
    void flush(Milliseconds timeout);

    SenderCounters counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxwing::wire
