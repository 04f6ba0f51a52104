/*
    Every frame that processes of a fleet send each other.

    [SECTION] Control
    [SECTION] Agreement
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

// What a quorum holds, to everybody who is connected. Agents need no queues: they are told of the
// cordons alone, with an empty catalog, so that a change of queues is no message to each of them.
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

// A control host that does not lead hands an operator's call on to the one that does.
struct ForwardCall
{
    std::uint64_t call = 0;

    // A frame of operators::OperatorRequest
    std::string request;
};
template<class Fields>
void describe(Fields &fields, ForwardCall &forward)
{
    fields("call", forward.call);
    fields("request", forward.request);
}

struct ForwardAnswer
{
    std::uint64_t call = 0;
    OperatorOutcome outcome = OperatorOutcome::Unconfirmed;
    std::string reason;

    // One, if a read was accepted
    std::vector<catalog::DeclaredCatalog> declared;
};
template<class Fields>
void describe(Fields &fields, ForwardAnswer &answer)
{
    fields("call", answer.call);
    fields("outcome", answer.outcome);
    fields("reason", answer.reason);
    fields("declared", answer.declared);
}

// [SECTION] Agreement

// A message of the agreement group, for exactly this member: a host with a new disk at an old
// address must not take what was for the old one.
struct GroupFrame
{
    std::string to;

    // A frame of quorum::QuorumMessage
    std::string bytes;
};
template<class Fields>
void describe(Fields &fields, GroupFrame &frame)
{
    fields("to", frame.to);
    fields("bytes", frame.bytes);
}

// [SECTION] Frames

// An entry opens a session with an agent.
struct OpenSession
{
    std::string entry;

    // One, if the entry knows the cordons: an agent that starts while control is away learns them
    // from those who send it work.
    std::vector<catalog::Cordons> cordons;
};
template<class Fields>
void describe(Fields &fields, OpenSession &open)
{
    fields("entry", open.entry);
    fields("cordons", open.cordons);
}

// The order is the format: new ones go to the end.
using Frame = std::variant<directory::Announce, directory::NodeHeartbeat,
                           directory::DirectoryUpdate, AgreedPush, ForwardCall, ForwardAnswer,
                           GroupFrame, OpenSession, jobs::SessionAccepted, jobs::AgentUpdate,
                           jobs::StartTasks, jobs::StopRuns, jobs::SessionHeartbeat>;

} // namespace foxwing::fleet
