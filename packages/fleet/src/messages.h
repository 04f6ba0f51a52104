/*
    The frames that processes of a fleet send each other.

    [SECTION] Control
    [SECTION] Consensus group
    [SECTION] Frames
*/
#pragma once

#include <foxwing/base/binary.h>
#include <foxwing/catalog/agreedstate.h>
#include <foxwing/directory/directory.h>
#include <foxwing/fleet/dialect.h>
#include <foxwing/jobs/messages.h>

namespace foxwing::fleet {

// [SECTION] Control

// The committed catalog and cordons, sent to all connected entries and agents. Agents get an empty
// catalog, so that a change of queues needs no message to them.
struct AgreedPush
{
    catalog::Catalog catalog;
    catalog::Cordons cordons;
};
template<class Fields>
void describe(Fields &fields, AgreedPush &push)
{
    fields("catalog", push.catalog);
    fields("cordons", push.cordons);
}

// A follower forwards an operator's call to the leader.
struct ForwardedCall
{
    std::uint64_t call = 0;

    // An encoded operators::OperatorRequest
    std::string request;
};
template<class Fields>
void describe(Fields &fields, ForwardedCall &forwarded)
{
    fields("call", forwarded.call);
    fields("request", forwarded.request);
}

struct ForwardedAnswer
{
    std::uint64_t call = 0;
    OperatorOutcome outcome = OperatorOutcome::Unconfirmed;
    std::string reason;

    // One element if a read was accepted, otherwise empty
    std::vector<catalog::DeclaredCatalog> declared;
};
template<class Fields>
void describe(Fields &fields, ForwardedAnswer &answer)
{
    fields("call", answer.call);
    fields("outcome", answer.outcome);
    fields("reason", answer.reason);
    fields("declared", answer.declared);
}

// [SECTION] Consensus group

// A message of the consensus group to the member with this id. A host with a new disk at the same
// address is another member and must ignore it.
struct GroupFrame
{
    std::string to;

    // An encoded quorum::QuorumMessage
    std::string bytes;
};
template<class Fields>
void describe(Fields &fields, GroupFrame &frame)
{
    fields("to", frame.to);
    fields("bytes", frame.bytes);
}

// [SECTION] Frames

// Sent by an entry to open a session with an agent.
struct OpenSession
{
    std::string entry;

    // One element if the entry knows the cordons, otherwise empty: an agent that starts while
    // control is down learns them from its entries.
    std::vector<catalog::Cordons> cordons;
};
template<class Fields>
void describe(Fields &fields, OpenSession &open)
{
    fields("entry", open.entry);
    fields("cordons", open.cordons);
}

// The order defines the encoding: append new types at the end.
using Frame = std::variant<directory::Announce, directory::NodeHeartbeat,
                           directory::DirectoryUpdate, AgreedPush, ForwardedCall, ForwardedAnswer,
                           GroupFrame, OpenSession, jobs::SessionAccepted, jobs::AgentUpdate,
                           jobs::StartTasks, jobs::StopRuns, jobs::SessionHeartbeat>;

} // namespace foxwing::fleet
