/*
    Sends batches of messages to other processes.

    Messages to one peer keep their order. A few threads serve all peers; each takes a peer that has
    something waiting, and sends all of it in one call. A peer that does not answer holds up one
    thread for one time-out, and is then left alone for a while, during which messages to it fail at
    once.

        SenderPool lanes(settings, [](const std::string &address, std::vector<Json::Value> &&lost) {
   }); lanes.send("10.0.0.7:7100", encodeMessage(message));

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

    // A call that is not answered by then has failed; whether it was taken is unknown.
    Milliseconds timeout { 1000 };

    // A peer is left alone this long after a failure, doubled up to the longest.
    Milliseconds minBackoff { 50 };
    Milliseconds maxBackoff { 1000 };

    // Messages in one call, and waiting for one peer.
    std::size_t maxBatchSize = 512;
    std::size_t maxQueued = 50000;

    // Goes with every envelope.
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
    // Called on a lane's thread with messages that may not have arrived.
    using FailureHandler =
            std::function<void(const std::string &address, std::vector<Json::Value> &&messages)>;

    SenderPool(const SenderSettings &settings, FailureHandler onFailure);
    ~SenderPool();

    // Queues a message for the process that listens at "host:port". Never blocks.
    void send(const std::string &address, Json::Value &&message);

    // Waits until everything queued was sent or has failed, at most this long.
    void flush(Milliseconds longest);

    SenderCounters counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxwing::wire
