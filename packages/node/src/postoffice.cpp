/*
    Encoding, sending and receiving of messages between nodes.

    [SECTION] Sending
    [SECTION] Receiving
*/
#include "postoffice.h"

#include <foxwing/node/log.h>

namespace foxwing::node {

// [SECTION] Sending

PostOffice::PostOffice(const wire::SenderSettings &settings, Loop &loop, Receiver onMessage,
                       FailureHandler onFailure)
    : m_self(settings.from)
    , m_loop(loop)
    , m_onMessage(std::move(onMessage))
    , m_onFailure(std::move(onFailure))
    , m_lanes(settings, [this](const std::string &, std::vector<Json::Value> &&lost) {
        takeLost(std::move(lost));
    })
{ }

void PostOffice::learnAddress(const std::string &id, const std::string &address)
{
    if (!address.empty())
        m_addresses[id] = address;
}

void PostOffice::send(const std::string &to, Message message)
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
    m_lanes.send(found->second, encodeMessage(message));
}

void PostOffice::takeLost(std::vector<Json::Value> &&lost)
{
    m_loop.post([this, lost = std::move(lost)] {
        Error ignored;
        for (const Json::Value &json : lost) {
            if (auto message = decodeMessage<Message>(json, &ignored))
                m_onFailure(std::move(*message));
        }
    });
}

// [SECTION] Receiving

void PostOffice::receive(wire::Envelope &&envelope)
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
