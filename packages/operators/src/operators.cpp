/*
    Operators' calls, from their arrival to their answer.

    [SECTION] Requests
    [SECTION] Answers
    [SECTION] Attempts
    [SECTION] Public functions
*/
#include <foxwing/operators/operators.h>

namespace foxwing::operators {

using catalog::ApplyResult;
using catalog::CordonCommand;
using catalog::DeclaredCatalog;

// [SECTION] Requests

const char *toString(const OperatorRequest &request)
{
    if (std::holds_alternative<ReadCatalog>(request))
        return "read";
    if (std::holds_alternative<DeclaredCatalog>(request))
        return "declare";
    return std::get<CordonCommand>(request).cordoned ? "cordon" : "uncordon";
}

std::optional<catalog::Command> commandOf(const OperatorRequest &request)
{
    if (const auto *declared = std::get_if<DeclaredCatalog>(&request))
        return *declared;
    if (const auto *command = std::get_if<CordonCommand>(&request))
        return *command;
    return std::nullopt;
}

// [SECTION] Answers

namespace {

// Adds the call's request and the state of this host when it was answered.
void describeCall(const OperatorCall &call, const GroupStatus &group, eventlog::Event &event)
{
    event.with("call", toString(call.request));
    if (const auto *command = std::get_if<CordonCommand>(&call.request)) {
        event.with("data_centre", command->dataCentre)
                .with("based_on", command->basedOn)
                .with("cordons", group.agreed->cordons.revision);
        return;
    }
    if (const auto *declared = std::get_if<DeclaredCatalog>(&call.request))
        event.with("version", declared->catalog.version);
    event.with("held", group.agreed->declared.catalog.version);
}

void answer(OperatorState &operators, std::uint64_t number, OperatorAnswer reply,
            const GroupStatus &group, Time now, OperatorActions &actions)
{
    const auto found = operators.calls.find(number);
    if (found == operators.calls.end())
        return;
    const OperatorCall &call = found->second;
    reply.number = number;
    ++(reply.outcome == OperatorOutcome::Accepted ? operators.accepted : operators.unconfirmed);
    eventlog::Event event = eventlog::change("operator-answered");
    describeCall(call, group, event);
    actions.events.push_back(
            event.with("accepted", reply.outcome == OperatorOutcome::Accepted ? 1 : 0)
                    .with("reason", reply.reason)
                    .with("took_ms", now - call.receivedAt));
    operators.calls.erase(found);
    actions.answers.push_back(std::move(reply));
}

OperatorAnswer accepted(const std::string &reason)
{
    OperatorAnswer reply;
    reply.outcome = OperatorOutcome::Accepted;
    reply.reason = reason;
    return reply;
}

OperatorAnswer unconfirmed(const std::string &reason)
{
    OperatorAnswer reply;
    reply.reason = reason;
    return reply;
}

// [SECTION] Attempts

// A call is forwarded only once: a host that got it from another one and is not the leader answers
// it, unless this host is elected and about to act as leader.
void forwardCall(OperatorState &operators, std::uint64_t number, OperatorCall &call,
                 const GroupStatus &group, Time now, OperatorActions &actions)
{
    if (call.fromPeer) {
        if (!group.isElected)
            answer(operators, number, unconfirmed("this host is not the leader"), group, now,
                   actions);
        return;
    }
    if (!group.reachesLeader)
        return;
    call.forwarded = true;
    actions.forwards.push_back(number);
}

// Only the host that received the call knows whether the operator still waits for the answer, so
// only that host may base the command on newer cordons.
void rebaseCommand(OperatorCall &call, const GroupStatus &group)
{
    auto *command = std::get_if<CordonCommand>(&call.request);
    if (command && !call.fromPeer)
        command->basedOn = group.agreed->cordons.revision;
}

// Whether a higher or equal version is committed already. Versions never decrease.
bool isSuperseded(const OperatorCall &call, const GroupStatus &group)
{
    const auto *declared = std::get_if<DeclaredCatalog>(&call.request);
    return declared && !catalog::supersedes(group.agreed->declared.catalog, declared->catalog);
}

// May answer the call, which removes it.
void tryCall(OperatorState &operators, std::uint64_t number, const GroupStatus &group, Time now,
             OperatorActions &actions)
{
    OperatorCall &call = operators.calls.at(number);
    call.retryAt = now + operators.settings.retryDelay;
    const bool inProgress = call.index != 0 || call.readPending || call.forwarded;
    if (inProgress)
        return;
    if (isSuperseded(call, group))
        return answer(operators, number, accepted("nothing changed"), group, now, actions);
    rebaseCommand(call, group);
    if (!group.isReadyLeader)
        return forwardCall(operators, number, call, group, now, actions);
    if (std::holds_alternative<ReadCatalog>(call.request)) {
        call.readPending = true;
        actions.reads.push_back(number);
    } else {
        actions.proposals.push_back(number);
    }
}

// Whether this host was paused and may not have read all that arrived meanwhile.
bool mayBeOutdated(const OperatorState &operators, Time now)
{
    const bool wasPaused = operators.lastTickAt != Time {}
            && now >= operators.lastTickAt + operators.settings.pauseThreshold;
    return wasPaused || now < operators.catchUpUntil;
}

// The call's entry is committed. An outdated cordon command changed nothing: it is reissued here,
// or by the host that forwarded it.
void resolveCall(OperatorState &operators, std::uint64_t number, ApplyResult applied,
                 const GroupStatus &group, Time now, OperatorActions &actions)
{
    if (applied != ApplyResult::Outdated)
        return answer(operators, number, accepted(""), group, now, actions);
    ++operators.outdated;
    OperatorCall &call = operators.calls.at(number);
    call.index = 0;
    if (call.fromPeer)
        answer(operators, number, unconfirmed("the cordons were changed by another command"), group,
               now, actions);
}

} // namespace

// [SECTION] Public functions

OperatorActions addCall(OperatorState &operators, OperatorCall call, const GroupStatus &group,
                        Time now, std::uint64_t *number)
{
    OperatorActions actions;
    *number = ++operators.lastNumber;
    call.receivedAt = now;
    const bool outdated = std::holds_alternative<CordonCommand>(call.request)
            && mayBeOutdated(operators, now);
    operators.calls.emplace(*number, std::move(call));
    if (outdated)
        answer(operators, *number, unconfirmed("this host was paused; the command may be outdated"),
               group, now, actions);
    else
        tryCall(operators, *number, group, now, actions);
    return actions;
}

void dropCall(OperatorState &operators, std::uint64_t number)
{
    operators.calls.erase(number);
}

OperatorActions proposed(OperatorState &operators, std::uint64_t number, std::uint64_t index,
                         std::uint64_t term, const GroupStatus &group, Time now)
{
    OperatorActions actions;
    const auto found = operators.calls.find(number);
    if (found == operators.calls.end())
        return actions;
    if (index > operators.committedIndex) {
        found->second.index = index;
        found->second.term = term;
    } else if (index == operators.committedIndex && term == operators.committedTerm) {
        resolveCall(operators, number, operators.committedResult, group, now, actions);
    }
    return actions;
}

OperatorActions committed(OperatorState &operators, std::uint64_t index, std::uint64_t term,
                          ApplyResult applied, const GroupStatus &group, Time now)
{
    OperatorActions actions;
    operators.committedIndex = index;
    operators.committedTerm = term;
    operators.committedResult = applied;
    std::vector<std::uint64_t> done;
    for (auto &[number, call] : operators.calls) {
        if (call.index == 0 || call.index > index)
            continue;
        // Another leader's entry took its index: the call is retried.
        if (call.index == index && call.term == term)
            done.push_back(number);
        else
            call.index = 0;
    }
    for (const std::uint64_t number : done)
        resolveCall(operators, number, applied, group, now, actions);
    return actions;
}

OperatorActions readDone(OperatorState &operators, std::uint64_t number, bool confirmed,
                         const GroupStatus &group, Time now)
{
    OperatorActions actions;
    const auto found = operators.calls.find(number);
    if (found == operators.calls.end())
        return actions;
    found->second.readPending = false;
    if (!confirmed)
        return actions;
    if (group.agreed->declared.catalog.version == 0) {
        answer(operators, number, unconfirmed("no catalog is declared yet"), group, now, actions);
        return actions;
    }
    OperatorAnswer reply = accepted("");
    reply.declared = group.agreed->declared;
    answer(operators, number, std::move(reply), group, now, actions);
    return actions;
}

OperatorActions peerAnswered(OperatorState &operators, const OperatorAnswer &reply,
                             const GroupStatus &group, Time now)
{
    OperatorActions actions;
    const auto found = operators.calls.find(reply.number);
    if (found == operators.calls.end())
        return actions;
    if (reply.outcome == OperatorOutcome::Unconfirmed)
        found->second.forwarded = false;
    else
        answer(operators, reply.number, reply, group, now, actions);
    return actions;
}

void logReopened(OperatorState &operators)
{
    for (auto &[number, call] : operators.calls) {
        call.index = 0;
        call.readPending = false;
    }
}

OperatorActions tick(OperatorState &operators, const GroupStatus &group, Time now)
{
    OperatorActions actions;
    if (operators.lastTickAt != Time {}
        && now >= operators.lastTickAt + operators.settings.pauseThreshold)
        operators.catchUpUntil = now + operators.settings.catchUpDuration;
    operators.lastTickAt = now;
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, call] : operators.calls)
        numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
        const OperatorCall &call = operators.calls.at(number);
        if (now >= call.receivedAt + operators.settings.callTimeout)
            answer(operators, number, unconfirmed("not confirmed by a quorum in time"), group, now,
                   actions);
        else if (now >= call.retryAt)
            tryCall(operators, number, group, now, actions);
    }
    return actions;
}

} // namespace foxwing::operators
