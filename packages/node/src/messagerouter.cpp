/*
    Encoding, sending and receiving of messages between nodes.

    [SECTION] Sending
    [SECTION] Receiving
*/
#include "messagerouter.h"

#include <foxwing/node/log.h>

namespace foxwing::node {

// [SECTION] Sending

MessageRouter::MessageRouter(const wire::SenderSettings &settings, EventLoop &loop,
                             Receiver onMessage, FailureHandler onFailure)
    : m_self(settings.from)
    , m_loop(loop)
    , m_onMessage(std::move(onMessage))
    , m_onFailure(std::move(onFailure))
    , m_sender(settings, [this](const std::string &, std::vector<Json::Value> &&failed) {
        handleFailedSends(std::move(failed));
    })
{ }

void MessageRouter::learnAddress(const std::string &id, const std::string &address)
{
    if (!address.empty())
        m_addresses[id] = address;
}

void MessageRouter::send(const std::string &to, Message message)
{
    if (to == m_self) {
        ++m_counters.local;
        m_loop.post([this, message = std::move(message)]() mutable {
            m_onMessage(std::move(message));
        });
        return;
    }
    const auto found = m_addresses.find(to);
    if (found == m_addresses.end()) {
        ++m_counters.noAddress;
        m_loop.post([this, message = std::move(message)]() mutable {
            m_onFailure(std::move(message));
        });
        return;
    }
    ++m_counters.sent;
    m_sender.send(found->second, encodeMessage(message));
}

void MessageRouter::handleFailedSends(std::vector<Json::Value> &&failed)
{
    m_loop.post([this, failed = std::move(failed)] {
        Error ignored;
        for (const Json::Value &json : failed) {
            if (auto message = decodeMessage<Message>(json, &ignored))
                m_onFailure(std::move(*message));
        }
    });
}

// [SECTION] Receiving

void MessageRouter::receive(wire::Envelope &&envelope)
{
    std::vector<Message> messages;
    std::uint64_t unreadable = 0;
    Error reason;
    for (const Json::Value &json : envelope.messages) {
        if (auto message = decodeMessage<Message>(json, &reason))
            messages.push_back(std::move(*message));
        else
            ++unreadable;
    }
    m_loop.post([this, from = envelope.from, address = envelope.address, unreadable,
                 messages = std::move(messages)]() mutable {
        learnAddress(from, address);
        m_counters.received += messages.size();
        m_counters.unreadable += unreadable;
        for (Message &message : messages)
            m_onMessage(std::move(message));
    });
}

} // namespace foxwing::node
