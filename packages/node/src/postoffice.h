/*
    Routes messages to nodes by name.

    Addresses are learned from the settings, from views and node lists of control, and from received
    envelopes. A message to this node itself is posted to the loop without a call.

    [SECTION] Post office
*/
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include <foxwing/node/loop.h>
#include <foxwing/node/message.h>
#include <foxwing/wire/senderpool.h>

namespace foxwing::node {

// [SECTION] Post office

struct PostCounters
{
    std::uint64_t sent = 0;
    std::uint64_t local = 0;
    std::uint64_t received = 0;
    std::uint64_t noAddress = 0;
    std::uint64_t unreadable = 0;
};

class PostOffice
{
public:
    // Both are called on the loop's thread.
    using Receiver = std::function<void(Message &&)>;
    using FailureHandler = std::function<void(Message &&)>;

    PostOffice(const wire::SenderSettings &settings, Loop &loop, Receiver onMessage,
               FailureHandler onFailure);

    // The following may be called only on the loop's thread.
    void send(const std::string &to, Message message);
    void learnAddress(const std::string &id, const std::string &address);
    void flush(Milliseconds longest) { m_lanes.flush(longest); }

    const PostCounters &counters() const { return m_counters; }
    wire::SenderCounters laneCounters() const { return m_lanes.counters(); }

    // Accepts what another process delivered; may be called from any thread.
    void receive(wire::Envelope &&envelope);

private:
    void takeLost(std::vector<Json::Value> &&lost);

    std::string m_self;
    Loop &m_loop;
    Receiver m_onMessage;
    FailureHandler m_onFailure;
    std::unordered_map<std::string, std::string> m_addresses;
    PostCounters m_counters;
    wire::SenderPool m_lanes;
};

} // namespace foxwing::node
