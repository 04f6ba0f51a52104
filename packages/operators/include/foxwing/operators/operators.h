/*
    Operators' calls at a control host: declare a catalog, cordon or uncordon a data centre, or read
    the newest catalog.

    Any control host accepts any call. The leader proposes commands to the consensus group and has
    reads confirmed by a quorum; the other hosts forward calls to it. A call is answered as accepted
    only once it is certain, and as unconfirmed after a timeout: the operator then asks another
    host. Sending the same call again is always safe.

    A late catalog is recognized by its version. A cordon command has no version, so it is valid
    only while its operator waits for the answer: the host that received the call bases the command
    on its current revision of the cordons, and reissues it if they change before it is committed.
    A command still in flight after its operator stopped waiting is based on an older revision and
    changes nothing.

        OperatorState operators;
        OperatorActions actions = addCall(operators, call, group, now, &number);
        ... execute actions, then call proposed(), readDone() or peerAnswered() for each ...
        actions = committed(operators, index, term, applied, group, now);

    [SECTION] Calls
    [SECTION] State
    [SECTION] Actions
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <foxwing/catalog/agreedstate.h>
#include <foxwing/eventlog/eventlog.h>

namespace foxwing::operators {

// [SECTION] Calls

// A read of the newest catalog, confirmed by a quorum.
struct ReadCatalog
{ };
template<class Fields>
void describe(Fields &, ReadCatalog &)
{ }

using OperatorRequest = std::variant<ReadCatalog, catalog::DeclaredCatalog, catalog::CordonCommand>;

// For log events
const char *toString(const OperatorRequest &request);

enum class OperatorOutcome {
    Accepted,

    // The request is invalid and was rejected.
    Invalid,

    // Not decided here, or not confirmed to be the newest; another control host may succeed.
    Unconfirmed,
    NotFound,
};
constexpr OperatorOutcome lastOf(OperatorOutcome)
{
    return OperatorOutcome::NotFound;
}

struct OperatorCall
{
    OperatorRequest request;

    // Forwarded by another control host; not forwarded again.
    bool fromPeer = false;

    Time receivedAt {};
    Time retryAt {};

    // In progress: proposed to this host's log at an index and term, as a read at this host, or
    // forwarded to the leader
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    bool readPending = false;
    bool forwarded = false;
};

// The consensus group as this host sees it.
struct GroupStatus
{
    // This host is the leader, and its agreed state is the newest.
    bool isReadyLeader = false;

    // This host is elected, but may not be able to act as leader yet.
    bool isElected = false;

    // The leader is known and connected.
    bool reachesLeader = false;

    // The agreed state as far as this host has applied it
    const catalog::AgreedState *agreed = nullptr;
};

// [SECTION] State

struct OperatorSettings
{
    // A call that is not decided within this time is answered as unconfirmed. Below the second
    // after which operators try another host.
    Milliseconds callTimeout { 900 };

    // Between attempts at a call that found no leader.
    Milliseconds retryDelay { 60 };

    // A gap between ticks of this length means that the process was paused; a slow disk sync does
    // not cause one, as it has its own thread. Operators try another host after a second, so calls
    // that arrived meanwhile may be outdated: cordon commands are rejected for catchUpDuration,
    // until those calls have been read.
    Milliseconds pauseThreshold { 400 };
    Milliseconds catchUpDuration { 100 };
};

struct OperatorState
{
    OperatorSettings settings;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, OperatorCall> calls;

    // The last tick, and until when arriving calls may have been sent before a pause
    Time lastTickAt {};
    Time catchUpUntil {};

    // The last committed entry of the log, and the result of applying it
    std::uint64_t committedIndex = 0;
    std::uint64_t committedTerm = 0;
    catalog::ApplyResult committedResult = catalog::ApplyResult::Unchanged;

    // Counters for metrics
    std::uint64_t accepted = 0;
    std::uint64_t unconfirmed = 0;
    std::uint64_t outdated = 0;
};

// [SECTION] Actions

struct OperatorAnswer
{
    std::uint64_t number = 0;
    OperatorOutcome outcome = OperatorOutcome::Unconfirmed;
    std::string reason;

    // Only for an accepted read
    std::optional<catalog::DeclaredCatalog> declared;
};

struct OperatorActions
{
    // To be proposed to the log; call proposed() for those that it took.
    std::vector<std::uint64_t> proposals;

    // To be confirmed by a quorum; then call readDone().
    std::vector<std::uint64_t> reads;

    // To be forwarded to the leader; call peerAnswered() with its answer.
    std::vector<std::uint64_t> forwards;
    std::vector<OperatorAnswer> answers;
    std::vector<eventlog::Event> events;
};

// [SECTION] Functions

OperatorActions addCall(OperatorState &operators, OperatorCall call, const GroupStatus &group,
                        Time now, std::uint64_t *number);

// The operator no longer waits for an answer. What was proposed for the call may still commit.
void dropCall(OperatorState &operators, std::uint64_t number);

// The command to propose for a call; none for a read.
std::optional<catalog::Command> commandOf(const OperatorRequest &request);

// The log has taken the call's command. It is decided once an entry with this index and term is
// committed, which may have happened already.
OperatorActions proposed(OperatorState &operators, std::uint64_t number, std::uint64_t index,
                         std::uint64_t term, const GroupStatus &group, Time now);

// An entry is committed. Its call is accepted. Calls whose index another leader's entry took are
// retried, and so are cordon commands that were outdated when they were applied.
OperatorActions committed(OperatorState &operators, std::uint64_t index, std::uint64_t term,
                          catalog::ApplyResult applied, const GroupStatus &group, Time now);

OperatorActions readDone(OperatorState &operators, std::uint64_t number, bool confirmed,
                         const GroupStatus &group, Time now);

// The leader has answered a forwarded call.
OperatorActions peerAnswered(OperatorState &operators, const OperatorAnswer &reply,
                             const GroupStatus &group, Time now);

// The log's journal was reopened: proposals and reads in progress are lost, their calls are
// retried.
void logReopened(OperatorState &operators);

OperatorActions tick(OperatorState &operators, const GroupStatus &group, Time now);

} // namespace foxwing::operators
