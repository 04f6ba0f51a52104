/*
    The variant of all messages between processes.

    [SECTION] Variant
*/
#pragma once

#include <variant>

#include <foxwing/agent/messages.h>
#include <foxwing/claims/messages.h>
#include <foxwing/control/messages.h>
#include <foxwing/entry/messages.h>
#include <foxwing/quorum/messages.h>

namespace foxwing::node {

// [SECTION] Variant

using Message = std::variant<
        agent::Start, agent::Void, agent::Cancel, agent::Settle, agent::Fence, agent::LeaseAccepted,
        agent::TransferLease, agent::LeaseOffer, agent::Finished, agent::NotStarted, agent::Started,
        agent::KeepAlive, agent::Fenced, claims::ClaimRequest, claims::ClaimResponse,
        claims::Release, claims::Released, claims::Replicate, claims::ReplicateAck,
        claims::ShardPart, claims::ShardPartAck, claims::ShardsReady, entry::Join,
        entry::JoinAnswer, entry::Handoff, entry::LoadReport, control::Heartbeat, control::Update,
        quorum::VoteRequest, quorum::VoteReply, quorum::Append, quorum::AppendReply,
        quorum::InstallSnapshot>;

// Whether a narrower variant can hold a message of this type.
template<class Narrow, class Held>
constexpr bool canHold()
{
    return std::is_constructible_v<Narrow, Held>;
}

// Converts to a narrower variant; nothing if that can't hold the message.
template<class Narrow>
std::optional<Narrow> narrow(const Message &message)
{
    return std::visit(
            [](const auto &held) -> std::optional<Narrow> {
                if constexpr (canHold<Narrow, std::decay_t<decltype(held)>>())
                    return Narrow(held);
                else
                    return std::nullopt;
            },
            message);
}

// Converts a message of a narrower variant.
template<class Narrow>
Message widen(Narrow message)
{
    return std::visit([](auto &held) { return Message(std::move(held)); }, message);
}

} // namespace foxwing::node
