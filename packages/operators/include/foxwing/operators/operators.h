/*
    What a control host does with an operator's call: a catalog to be declared, an order to cordon
    or uncordon a data centre, or a read of the newest catalog.

    Any control host takes any call. The one that leads proposes commands to the agreement group and
    has reads confirmed by a quorum; the others hand calls over to it. A call is answered as
    accepted only when that is certain, and as unsure once it has waited too long: operators then
    ask another host, and sending the same again is always safe.

    A catalog that comes late is known by its version. An order about a cordon has none, so it
   stands only while its operator waits for the answer: the host that took the call gives the order
   upon the cordons as they are, and if these have changed before it was agreed on, gives it anew.
   What is left of an order whose operator has gone was given upon older cordons and changes
   nothing.

        OperatorState operators;
        OperatorActions actions = addCall(operators, call, group, now, &number);
        ... propose, read, hand over as actions say; tell proposed(), readDone(), ... ...
        actions = committed(operators, index, term, now);

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

#include <foxwing/catalog/agreed.h>
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

// For log lines
const char *toString(const OperatorRequest &request);

enum class OperatorOutcome {
    Accepted,

    // The request is at fault and was not taken.
    Invalid,

    // Not known, or not known to be the newest; another control host may know.
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

    // Another control host has handed it over: it is not handed on once more.
    bool fromPeer = false;

    Time receivedAt {};
    Time retryAt {};

    // Under way: at this host's log under an index and a term, as a read of this host, or at the
    // host that leads
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    bool reading = false;
    bool forwarded = false;
};

// The agreement group as this host sees it now.
struct GroupStatus
{
    // This host leads, and its catalog is the newest.
    bool isReadyLeader = false;

    // This host has heard that it leads, if it can't act yet.
    bool isElected = false;

    // The host that leads is known and connected.
    bool reachesLeader = false;

    // What is agreed on as far as this host knows
    const catalog::AgreedState *agreed = nullptr;
};

// [SECTION] State

struct OperatorSettings
{
    // A call that can't be decided within this long is answered as unsure: callers go to another
    // host after a second.
    Milliseconds callTimeout { 900 };

    // Between tries of a call that found no leader.
    Milliseconds retryDelay { 60 };

    // A host that stood still for longer finds calls whose operators have gone elsewhere a second
    // after they sent them. It takes no order about cordons until it has gone through what came
    // meanwhile. Well above a sync of a slow disk's thread, which holds up nothing here.
    Milliseconds pauseThreshold { 400 };
    Milliseconds catchUpDuration { 100 };
};

struct OperatorState
{
    OperatorSettings settings;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, OperatorCall> calls;

    // The last tick, and until when what arrives may have been sent long ago
    Time tickedAt {};
    Time catchUpUntil {};

    // The last entry of the log that was committed, and what became of it
    std::uint64_t committedIndex = 0;
    std::uint64_t committedTerm = 0;
    catalog::ApplyResult committedResult = catalog::ApplyResult::Unchanged;

    // Counters for the metrics
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

    // Of a read that is accepted
    std::optional<catalog::DeclaredCatalog> declared;
};

struct OperatorActions
{
    // To be proposed; then proposed() is due for those that the log took.
    std::vector<std::uint64_t> proposals;

    // To be confirmed by a quorum; then readDone() is due.
    std::vector<std::uint64_t> reads;

    // For the host that leads; then peerAnswered() is due.
    std::vector<std::uint64_t> forwards;
    std::vector<OperatorAnswer> answers;
    std::vector<eventlog::Event> events;
};

// [SECTION] Functions

OperatorActions addCall(OperatorState &operators, OperatorCall call, const GroupStatus &group,
                        Time now, std::uint64_t *number);

// Nobody waits for the call's answer any more; what was proposed for it may still be agreed on.
void dropCall(OperatorState &operators, std::uint64_t number);

// The command to be proposed for a call; a read has none.
std::optional<catalog::Command> commandOf(const OperatorRequest &request);

// The log has taken the call's command; it counts once an entry with this index and term is
// committed. That may have happened already.
OperatorActions proposed(OperatorState &operators, std::uint64_t number, std::uint64_t index,
                         std::uint64_t term, const GroupStatus &group, Time now);

// An entry is committed: calls that it was for are accepted, those whose place another leader's
// entry took are tried again, and so are orders that were outdated when they were applied.
OperatorActions committed(OperatorState &operators, std::uint64_t index, std::uint64_t term,
                          catalog::ApplyResult applied, const GroupStatus &group, Time now);

OperatorActions readDone(OperatorState &operators, std::uint64_t number, bool confirmed,
                         const GroupStatus &group, Time now);

// The host that leads has answered a call that was handed over.
OperatorActions peerAnswered(OperatorState &operators, const OperatorAnswer &answer,
                             const GroupStatus &group, Time now);

// Nothing is under way at the log any more: its journal was opened anew.
void logReopened(OperatorState &operators);

OperatorActions tick(OperatorState &operators, const GroupStatus &group, Time now);

} // namespace foxwing::operators
