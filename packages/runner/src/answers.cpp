/*
    What the endpoint answers to starts, stops and looks.

    [SECTION] Answers
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

using eventlog::change;
using jobs::RunId;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Answers

namespace {

StartRefusal refusedFor(Answer answer)
{
    if (answer == Answer::StaleRun)
        return StartRefusal::StaleRun;
    return answer == Answer::NoCapacity ? StartRefusal::NoCapacity : StartRefusal::Endpoint;
}

void markStarted(Run &run, Time now)
{
    run.seen = true;
    if (run.state != RunState::Ordered)
        return;
    run.state = RunState::Running;
    run.startedAt = now;
    run.progressAt = now;
}

// The order may have been lost, its answer may have been, or it is still to be carried out. The
// same start again is safe: the endpoint takes a run once. After some tries the run is stopped, so
// that it can't begin any more.
void startUnanswered(RunnerState &runner, const RunId &id, Run &run, Time now,
                     RunnerActions &actions)
{
    ++runner.unanswered;
    if (run.state != RunState::Ordered)
        return;
    // The room may have shrunk since the first order: it then holds only what has begun already.
    const bool stillFits = jobs::fits({}, freeRoom(runner));
    if (now < run.orderedAt + runner.settings.startGivenUp && leaseDeadline(runner, now)
        && stillFits)
        return orderStart(runner, id, run, now, actions);
    noteBad(runner, now);
    beginStopping(runner, id, run, "its start was not answered", now, actions);
}

// The endpoint will not start it. If it was ordered more than once, an earlier order may have been
// carried out, or may be yet.
void startRefused(RunnerState &runner, const RunId &id, Run &run, Answer answer, Time now,
                  RunnerActions &actions)
{
    actions.events.push_back(runEvent("start-refused", id)
                                     .with("answer", toString(answer))
                                     .with("tries", run.tries));
    if (answer == Answer::Busy || answer == Answer::Unreachable)
        noteBad(runner, now);
    if (run.tries <= 1 || answer == Answer::OtherLife) {
        endRun(runner, id, RunOutcome::NeverStarted, refusedFor(answer), now, actions);
    } else if (answer == Answer::StaleRun) {
        // It has run, and its end is in a look that is on its way or in the next.
        run.seen = true;
        run.goneIfMissingIn = runner.lookNumber + 1;
    } else {
        beginStopping(runner, id, run, "its start was refused after an unanswered one", now,
                      actions);
    }
}

} // namespace

namespace {

// An answer to an order of a former life tells neither the clock nor the fence of the present one;
// what became of the run, the next list shows. The same for runs that are over.
bool tellsOfThisLife(const RunnerState &runner, std::map<RunId, Run>::const_iterator run)
{
    return run != runner.runs.end() && !run->second.ofFormerLife;
}

} // namespace

RunnerActions startAnswered(RunnerState &runner, const RunId &id, const Answered &answered,
                            Time now)
{
    RunnerActions actions;
    const auto found = runner.runs.find(id);
    if (!tellsOfThisLife(runner, found)) {
        finishEvent(runner, now, actions);
        return actions;
    }
    takeClock(runner, answered, now);
    if (answered.answer == Answer::Fenced)
        raiseFence(runner, actions);
    switch (answered.answer) {
    case Answer::Ok:
        markStarted(found->second, now);
        break;
    case Answer::None:
        if (!found->second.seen)
            startUnanswered(runner, id, found->second, now, actions);
        break;
    default:
        startRefused(runner, id, found->second, answered.answer, now, actions);
        break;
    }
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions stopAnswered(RunnerState &runner, const RunId &id, const Answered &answered, Time now)
{
    RunnerActions actions;
    const auto found = runner.runs.find(id);
    if (found != runner.runs.end())
        found->second.stopUnderWay = false;
    if (tellsOfThisLife(runner, found)) {
        takeClock(runner, answered, now);
        if (answered.answer == Answer::Fenced)
            raiseFence(runner, actions);
        if (answered.answer == Answer::Ok)
            found->second.goneIfMissingIn = runner.lookNumber + 1;
    }
    finishEvent(runner, now, actions);
    return actions;
}

namespace {

void takeEnds(RunnerState &runner, const Look &look, Time now, RunnerActions &actions)
{
    for (const EndedRow &row : look.ended) {
        runner.life.lastSeen = std::max(runner.life.lastSeen, row.number);
        runner.life.orphans.erase(row.id);
        endRun(runner, row.id, row.end, StartRefusal::None, now, actions);
    }
}

// Runs that another life of this agent has left behind.
void stopOrphans(RunnerState &runner, const std::set<RunId> &seen,
                 const std::optional<WallTime> &born, RunnerActions &actions)
{
    for (const RunId &id : seen) {
        if (runner.life.orphans.insert(id).second)
            actions.events.push_back(runEvent("orphan-stopping", id));
        actions.stops.push_back({ id, runner.fence, runner.endpoint.life.id });
    }
    runner.life.orphans = seen;
    const bool clean = seen.empty();
    if (clean && !runner.life.clean)
        actions.events.push_back(change("endpoint-clean")
                                         .with("life", runner.endpoint.life.id)
                                         .with("born_ms", bornField(born)));
    if (clean != runner.life.clean)
        ++runner.viewNumber;
    runner.life.clean = clean;
}

// It runs in the present life, whichever it was ordered in.
void markListed(Run &run, Time now)
{
    markStarted(run, now);
    if (!run.ofFormerLife)
        return;
    run.ofFormerLife = false;
    run.goneIfMissingIn = 0;
    run.startedAt = now;
    run.progressAt = now;
}

RunOutcome endWhenMissing(const Run &run)
{
    // It may have begun in the life that is over.
    if (run.ofFormerLife)
        return run.formerEnd;
    return run.seen ? RunOutcome::Stopped : RunOutcome::NeverStarted;
}

void takeRunning(RunnerState &runner, std::uint64_t number, const Look &look, Time now,
                 RunnerActions &actions)
{
    std::set<RunId> orphans;
    std::set<RunId> listed;
    for (const RunningRow &row : look.running) {
        listed.insert(row.id);
        const auto found = runner.runs.find(row.id);
        if (found == runner.runs.end()) {
            orphans.insert(row.id);
            continue;
        }
        markListed(found->second, now);
        noteProgress(runner, found->second, row.percent, now);
    }
    judgeRuns(runner, now, actions);
    std::vector<std::pair<RunId, RunOutcome>> gone;
    for (const auto &[id, run] : runner.runs) {
        const bool missing = listed.count(id) == 0 && run.goneIfMissingIn != 0;
        if (missing && number >= run.goneIfMissingIn)
            gone.emplace_back(id, endWhenMissing(run));
    }
    for (const auto &[id, end] : gone)
        endRun(runner, id, end, StartRefusal::Endpoint, now, actions);
    stopOrphans(runner, orphans, look.born, actions);
}

// The pause between failed looks grows up to this many times the first.
constexpr std::uint32_t MostPauses = 10;

void lookFailed(RunnerState &runner, const Answered &answered, Time now, RunnerActions &actions)
{
    ++runner.life.looksFailed;
    runner.life.lookFailedAt = now;
    const std::uint32_t most = runner.settings.looksBeforeOutOfReach;
    const std::uint32_t pauses = runner.life.looksFailed
            - std::min(runner.life.looksFailed, most - 1);
    runner.nextLook = now + runner.settings.lookPause * std::min(pauses, MostPauses);
    if (answered.answer == Answer::Fenced)
        raiseFence(runner, actions);
    if (runner.life.looksFailed == most)
        actions.events.push_back(change("endpoint-out-of-reach")
                                         .with("life", runner.endpoint.life.id)
                                         .with("answer", toString(answered.answer)));
    // Nobody listens at its address, twice: the endpoint's process is gone, and what it ran with
    // it.
    const bool gone = answered.answer == Answer::Unreachable && runner.life.looksFailed > 1;
    if (gone || answered.answer == Answer::OtherLife)
        endAll(runner, endOfLife(runner), toString(answered.answer), now, actions);
    if (answered.answer == Answer::OtherLife)
        lifeDisowned(runner, now, actions);
}

bool isOfAnotherLife(const RunnerState &runner, const Look &look)
{
    const std::optional<WallTime> &present = runner.endpoint.life.born;
    return look.answered.answer == Answer::Ok && look.born && present && *look.born != *present;
}

} // namespace

RunnerActions lookAnswered(RunnerState &runner, std::uint64_t number, const Look &look, Time now)
{
    RunnerActions actions;
    // Of another life, or overtaken by a newer one.
    if (number <= runner.lookAnswered)
        return actions;
    runner.lookAnswered = number;
    runner.lookUnderWay = false;
    if (isOfAnotherLife(runner, look)) {
        // Its ends were asked for by the count of the life before: the next look asks anew.
        lifeListed(runner, { runner.endpoint.life.id, look.born }, now, actions);
        finishEvent(runner, now, actions);
        return actions;
    }
    takeClock(runner, look.answered, now);
    if (look.answered.answer == Answer::Ok) {
        if (isOutOfReach(runner))
            actions.events.push_back(
                    change("endpoint-in-reach").with("life", runner.endpoint.life.id));
        runner.life.looksFailed = 0;
        runner.fencedOff = 0;
        lifeConfirmed(runner, number);
        runner.nextLook = runner.life.clean ? now : now + runner.settings.lookPause;
        takeEnds(runner, look, now, actions);
        takeRunning(runner, number, look, now, actions);
    } else {
        lookFailed(runner, look.answered, now, actions);
    }
    finishEvent(runner, now, actions);
    return actions;
}

} // namespace foxwing::runner
