/*
    Operators' calls, from their arrival to their answer.

    [SECTION] Answers
    [SECTION] Tries
    [SECTION] Events
*/
#include <foxwing/operators/operators.h>

namespace foxwing::operators {

// [SECTION] Answers

namespace {

void answer(OperatorState &operators, std::uint64_t number, OperatorAnswer given,
            const GroupView &group, Time now, OperatorActions &actions)
{
    const auto found = operators.calls.find(number);
    if (found == operators.calls.end())
        return;
    const OperatorCall &call = found->second;
    given.number = number;
    given.isRead = call.isRead;
    ++(given.outcome == OperatorOutcome::Accepted ? operators.accepted : operators.unsure);
    actions.events.push_back(
            eventlog::change("operator-answered")
                    .with("call", call.isRead ? "read" : "declare")
                    .with("version",
                          call.isRead ? given.declared.catalog.version
                                      : call.declared.catalog.version)
                    .with("held", group.held->catalog.version)
                    .with("accepted", given.outcome == OperatorOutcome::Accepted ? 1 : 0)
                    .with("reason", given.reason)
                    .with("took_ms", now - call.cameAt));
    operators.calls.erase(found);
    actions.answers.push_back(std::move(given));
}

OperatorAnswer accepted(const std::string &reason)
{
    OperatorAnswer given;
    given.outcome = OperatorOutcome::Accepted;
    given.reason = reason;
    return given;
}

OperatorAnswer unsure(const std::string &reason)
{
    OperatorAnswer given;
    given.reason = reason;
    return given;
}

// [SECTION] Tries

// Handed over once only: a host that was asked by another and does not lead answers so, unless it
// is about to lead itself.
void handOver(OperatorState &operators, std::uint64_t number, OperatorCall &call,
              const GroupView &group, Time now, OperatorActions &actions)
{
    if (call.fromPeer) {
        if (!group.isNamedLeader)
            answer(operators, number, unsure("this host does not lead"), group, now, actions);
        return;
    }
    if (!group.reachesLeader)
        return;
    call.handedOver = true;
    actions.handOvers.push_back(number);
}

// May answer the call, and so remove it.
void tryCall(OperatorState &operators, std::uint64_t number, const GroupView &group, Time now,
             OperatorActions &actions)
{
    OperatorCall &call = operators.calls.at(number);
    call.nextTry = now + operators.settings.retry;
    const bool underWay = call.index != 0 || call.reading || call.handedOver;
    if (underWay)
        return;
    // A higher or equal version is agreed on, and stays so: sending this again changes nothing.
    if (!call.isRead && !catalog::supersedes(group.held->catalog, call.declared.catalog))
        return answer(operators, number, accepted("nothing changed"), group, now, actions);
    if (!group.leads)
        return handOver(operators, number, call, group, now, actions);
    if (call.isRead) {
        call.reading = true;
        actions.reads.push_back(number);
    } else {
        actions.proposals.push_back(number);
    }
}

} // namespace

// [SECTION] Events

OperatorActions addCall(OperatorState &operators, OperatorCall call, const GroupView &group,
                        Time now, std::uint64_t *number)
{
    OperatorActions actions;
    *number = ++operators.lastNumber;
    call.cameAt = now;
    operators.calls.emplace(*number, std::move(call));
    tryCall(operators, *number, group, now, actions);
    return actions;
}

OperatorActions proposed(OperatorState &operators, std::uint64_t number, std::uint64_t index,
                         std::uint64_t term, const GroupView &group, Time now)
{
    OperatorActions actions;
    const auto found = operators.calls.find(number);
    if (found == operators.calls.end())
        return actions;
    if (index > operators.committedIndex) {
        found->second.index = index;
        found->second.term = term;
    } else if (index == operators.committedIndex && term == operators.committedTerm) {
        answer(operators, number, accepted(""), group, now, actions);
    }
    return actions;
}

OperatorActions committed(OperatorState &operators, std::uint64_t index, std::uint64_t term,
                          const GroupView &group, Time now)
{
    OperatorActions actions;
    operators.committedIndex = index;
    operators.committedTerm = term;
    std::vector<std::uint64_t> done;
    for (auto &[number, call] : operators.calls) {
        if (call.index == 0 || call.index > index)
            continue;
        // Another leader's entry came in its place: the call is tried again.
        if (call.index == index && call.term == term)
            done.push_back(number);
        else
            call.index = 0;
    }
    for (const std::uint64_t number : done)
        answer(operators, number, accepted(""), group, now, actions);
    return actions;
}

OperatorActions readDone(OperatorState &operators, std::uint64_t number, bool confirmed,
                         const GroupView &group, Time now)
{
    OperatorActions actions;
    const auto found = operators.calls.find(number);
    if (found == operators.calls.end())
        return actions;
    found->second.reading = false;
    if (!confirmed)
        return actions;
    if (group.held->catalog.version == 0) {
        answer(operators, number, unsure("no catalog was declared yet"), group, now, actions);
        return actions;
    }
    OperatorAnswer given = accepted("");
    given.declared = *group.held;
    answer(operators, number, std::move(given), group, now, actions);
    return actions;
}

OperatorActions peerAnswered(OperatorState &operators, const OperatorAnswer &given,
                             const GroupView &group, Time now)
{
    OperatorActions actions;
    const auto found = operators.calls.find(given.number);
    if (found == operators.calls.end())
        return actions;
    if (given.outcome == OperatorOutcome::Unsure)
        found->second.handedOver = false;
    else
        answer(operators, given.number, given, group, now, actions);
    return actions;
}

void logReopened(OperatorState &operators)
{
    for (auto &[number, call] : operators.calls) {
        call.index = 0;
        call.reading = false;
    }
}

OperatorActions tick(OperatorState &operators, const GroupView &group, Time now)
{
    OperatorActions actions;
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, call] : operators.calls)
        numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
        const OperatorCall &call = operators.calls.at(number);
        if (now >= call.cameAt + operators.settings.patience)
            answer(operators, number, unsure("no quorum has confirmed it in time"), group, now,
                   actions);
        else if (now >= call.nextTry)
            tryCall(operators, number, group, now, actions);
    }
    return actions;
}

} // namespace foxwing::operators
