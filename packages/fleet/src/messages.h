/*
    Every frame that processes of a fleet send each other.

    [SECTION] Control
    [SECTION] Agreement
    [SECTION] Frames
*/
#pragma once

#include <foxwing/base/binary.h>
#include <foxwing/catalog/catalog.h>
#include <foxwing/directory/directory.h>
#include <foxwing/fleet/dialect.h>
#include <foxwing/jobs/messages.h>

namespace foxwing::fleet {

// [SECTION] Control

// A catalog that a quorum holds, to everybody who is connected.
struct CatalogPush
{
    catalog::Catalog catalog;
};
template<class Fields>
void describe(Fields &fields, CatalogPush &push)
{
    fields("catalog", push.catalog);
}

// A control host that does not lead hands an operator's call on to the one that does.
struct ForwardDeclare
{
    std::uint64_t call = 0;
    catalog::DeclaredCatalog declared;
};
template<class Fields>
void describe(Fields &fields, ForwardDeclare &forward)
{
    fields("call", forward.call);
    fields("declared", forward.declared);
}

struct ForwardRead
{
    std::uint64_t call = 0;
};
template<class Fields>
void describe(Fields &fields, ForwardRead &forward)
{
    fields("call", forward.call);
}

struct ForwardAnswer
{
    std::uint64_t call = 0;
    OperatorOutcome outcome = OperatorOutcome::Unsure;
    std::string reason;

    // Of a read
    catalog::DeclaredCatalog declared;
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
};
template<class Fields>
void describe(Fields &fields, OpenSession &open)
{
    fields("entry", open.entry);
}

// The order is the format: new ones go to the end.
using Frame = std::variant<directory::Announce, directory::NodeBeat, directory::DirectoryUpdate,
                           CatalogPush, ForwardDeclare, ForwardRead, ForwardAnswer, GroupFrame,
                           OpenSession, jobs::Welcome, jobs::AgentUpdate, jobs::StartTasks,
                           jobs::StopRuns, jobs::SessionBeat>;

} // namespace foxwing::fleet
