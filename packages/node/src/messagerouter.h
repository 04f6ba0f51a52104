/*
    Routes messages to nodes by name.

    Addresses are learned from the settings, from views and node lists of control, and from received
    envelopes. A message to this node itself is posted to the loop without a call.

    [SECTION] Router
*/
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include <foxwing/node/eventloop.h>
#include <foxwing/node/message.h>
#include <foxwing/wire/senderpool.h>

namespace foxwing::node {

// [SECTION] Router

struct RouterCounters
{
    std::uint64_t sent = 0;
    std::uint64_t local = 0;
    std::uint64_t received = 0;
    std::uint64_t noAddress = 0;
    std::uint64_t unreadable = 0;
};

class MessageRouter
{
public:
    // Both are called on the loop's thread.
    using Receiver = std::function<void(Message &&)>;
    using FailureHandler = std::function<void(Message &&)>;

    MessageRouter(const wire::SenderSettings &settings, EventLoop &loop, Receiver onMessage,
                  FailureHandler onFailure);

    // The following may be called only on the loop's thread.
    void send(const std::string &to, Message message);
    void learnAddress(const std::string &id, const std::string &address);
    void flush(Milliseconds timeout) { m_sender.flush(timeout); }

    const RouterCounters &counters() const { return m_counters; }
    wire::SenderCounters senderCounters() const { return m_sender.counters(); }

    // Accepts what another process delivered; may be called from any thread.
    void receive(wire::Envelope &&envelope);

private:
    void handleFailedSends(std::vector<Json::Value> &&failed);

    std::string m_self;
    EventLoop &m_loop;
    Receiver m_onMessage;
    FailureHandler m_onFailure;
    std::unordered_map<std::string, std::string> m_addresses;
    RouterCounters m_counters;
    wire::SenderPool m_sender;
};

} // namespace foxwing::node
