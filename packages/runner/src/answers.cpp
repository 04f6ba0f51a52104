/*
    Results of start, stop and poll commands.

    [SECTION] Starts and stops
    [SECTION] Polls
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

using eventlog::change;
using jobs::RefusedStart;
using jobs::RunEnd;
using jobs::RunId;

// [SECTION] Starts and stops

namespace {

RefusedStart refusedFor(Answer answer)
{
    if (answer == Answer::OldRun)
        return RefusedStart::OldRun;
    return answer == Answer::NoRoom ? RefusedStart::NoRoom : RefusedStart::Endpoint;
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

// The command or its reply may have been lost, or the command may yet take effect. Repeating it is
// safe, since the endpoint starts a run only once. After startGivenUp the run is stopped, so that
// it can't start any more.
void startUnanswered(RunnerState &runner, const RunId &id, Run &run, Time now,
                     RunnerActions &actions)
{
    ++runner.unanswered;
    if (run.state != RunState::Ordered)
        return;
    // Not if the capacity was reduced since the first attempt and is exceeded by now.
    const bool stillFits = jobs::fits({}, freeRoom(runner));
    if (now < run.orderedAt + runner.settings.startGivenUp && leaseDeadline(runner, now)
        && stillFits)
        return orderStart(runner, id, run, now, actions);
    noteBad(runner, now);
    beginStopping(runner, id, run, "no reply to its start command", now, actions);
}

// The endpoint refuses this attempt. An earlier attempt may have taken effect, or may do so yet.
void startRefused(RunnerState &runner, const RunId &id, Run &run, Answer answer, Time now,
                  RunnerActions &actions)
{
    actions.events.push_back(runEvent("start-refused", id)
                                     .with("answer", toString(answer))
                                     .with("tries", run.tries));
    if (answer == Answer::Busy || answer == Answer::Unreachable)
        noteBad(runner, now);
    if (run.tries <= 1 || answer == Answer::OtherLife) {
        endRun(runner, id, RunEnd::NeverBegan, refusedFor(answer), now, actions);
    } else if (answer == Answer::OldRun) {
        // It has run; its end is in the result of the pending poll or the next one.
        run.seen = true;
        run.goneIfMissingIn = runner.lookNumber + 1;
    } else {
        beginStopping(runner, id, run, "its start was refused after an attempt without a reply",
                      now, actions);
    }
}

} // namespace

namespace {

// Results from a previous incarnation say nothing about the clock and fence of the current one; the
// next poll shows what became of the run. Results for ended runs are ignored as well.
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

// [SECTION] Polls

namespace {

void takeEnds(RunnerState &runner, const Look &look, Time now, RunnerActions &actions)
{
    for (const EndedRow &row : look.ended) {
        runner.life.lastSeen = std::max(runner.life.lastSeen, row.number);
        runner.life.orphans.erase(row.id);
        endRun(runner, row.id, row.end, RefusedStart::None, now, actions);
    }
}

// Stops runs that another incarnation of this agent has left behind.
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

// A listed run belongs to the current incarnation, whichever one its start was sent to.
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

RunEnd endWhenMissing(const Run &run)
{
    // It may have started in the previous incarnation.
    if (run.ofFormerLife)
        return run.formerEnd;
    return run.seen ? RunEnd::Stopped : RunEnd::NeverBegan;
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
    std::vector<std::pair<RunId, RunEnd>> gone;
    for (const auto &[id, run] : runner.runs) {
        const bool missing = listed.count(id) == 0 && run.goneIfMissingIn != 0;
        if (missing && number >= run.goneIfMissingIn)
            gone.emplace_back(id, endWhenMissing(run));
    }
    for (const auto &[id, end] : gone)
        endRun(runner, id, end, RefusedStart::Endpoint, now, actions);
    stopOrphans(runner, orphans, look.born, actions);
}

// The pause between failed polls grows up to this multiple of lookPause.
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
    // Nothing listens at its address, twice in a row: the process is gone, and its runs with it.
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
    // For a previous incarnation, or superseded by a newer poll.
    if (number <= runner.lookAnswered)
        return actions;
    runner.lookAnswered = number;
    runner.lookUnderWay = false;
    if (isOfAnotherLife(runner, look)) {
        // This poll acknowledged end numbers of the previous incarnation, so its list of ends may
        // be incomplete; the next poll starts anew.
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
