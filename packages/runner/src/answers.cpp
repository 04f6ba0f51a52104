/*
    Results of start, stop and poll commands.

    [SECTION] Starts and stops
    [SECTION] Polls
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

using eventlog::change;
using jobs::RunId;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Starts and stops

namespace {

StartRefusal refusedFor(CommandStatus status)
{
    if (status == CommandStatus::StaleRun)
        return StartRefusal::StaleRun;
    return status == CommandStatus::NoCapacity ? StartRefusal::NoCapacity : StartRefusal::Endpoint;
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
void startRefused(RunnerState &runner, const RunId &id, Run &run, CommandStatus status, Time now,
                  RunnerActions &actions)
{
    actions.events.push_back(runEvent("start-refused", id)
                                     .with("answer", toString(status))
                                     .with("tries", run.tries));
    if (status == CommandStatus::Busy || status == CommandStatus::ConnectionRefused)
        noteBad(runner, now);
    if (run.tries <= 1 || status == CommandStatus::OtherIncarnation) {
        endRun(runner, id, RunOutcome::NeverStarted, refusedFor(status), now, actions);
    } else if (status == CommandStatus::StaleRun) {
        // It has run; its end is in the result of the pending poll or the next one.
        run.seen = true;
        run.goneIfMissingIn = runner.pollNumber + 1;
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

RunnerActions handleStartResult(RunnerState &runner, const RunId &id, const CommandResult &result,
                                Time now)
{
    RunnerActions actions;
    const auto found = runner.runs.find(id);
    if (!tellsOfThisLife(runner, found)) {
        finishEvent(runner, now, actions);
        return actions;
    }
    takeClock(runner, result, now);
    if (result.status == CommandStatus::Fenced)
        raiseFence(runner, actions);
    switch (result.status) {
    case CommandStatus::Ok:
        markStarted(found->second, now);
        break;
    case CommandStatus::None:
        if (!found->second.seen)
            startUnanswered(runner, id, found->second, now, actions);
        break;
    default:
        startRefused(runner, id, found->second, result.status, now, actions);
        break;
    }
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions handleStopResult(RunnerState &runner, const RunId &id, const CommandResult &result,
                               Time now)
{
    RunnerActions actions;
    const auto found = runner.runs.find(id);
    if (found != runner.runs.end())
        found->second.stopUnderWay = false;
    if (tellsOfThisLife(runner, found)) {
        takeClock(runner, result, now);
        if (result.status == CommandStatus::Fenced)
            raiseFence(runner, actions);
        if (result.status == CommandStatus::Ok)
            found->second.goneIfMissingIn = runner.pollNumber + 1;
    }
    finishEvent(runner, now, actions);
    return actions;
}

// [SECTION] Polls

namespace {

void takeEnds(RunnerState &runner, const PollResult &poll, Time now, RunnerActions &actions)
{
    for (const EndedRun &row : poll.ended) {
        runner.endpointIncarnation.lastSeenEnd = std::max(runner.endpointIncarnation.lastSeenEnd,
                                                          row.number);
        runner.endpointIncarnation.orphans.erase(row.id);
        endRun(runner, row.id, row.end, StartRefusal::None, now, actions);
    }
}

// Stops runs that another incarnation of this agent has left behind.
void stopOrphans(RunnerState &runner, const std::set<RunId> &seen,
                 const std::optional<WallTime> &startedAt, RunnerActions &actions)
{
    for (const RunId &id : seen) {
        if (runner.endpointIncarnation.orphans.insert(id).second)
            actions.events.push_back(runEvent("orphan-stopping", id));
        actions.stops.push_back({ id, runner.fence, runner.endpoint.endpointIncarnation.id });
    }
    runner.endpointIncarnation.orphans = seen;
    const bool clean = seen.empty();
    if (clean && !runner.endpointIncarnation.clean)
        actions.events.push_back(change("endpoint-clean")
                                         .with("life", runner.endpoint.endpointIncarnation.id)
                                         .with("born_ms", bornField(startedAt)));
    if (clean != runner.endpointIncarnation.clean)
        ++runner.viewNumber;
    runner.endpointIncarnation.clean = clean;
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

RunOutcome endWhenMissing(const Run &run)
{
    // It may have started in the previous incarnation.
    if (run.ofFormerLife)
        return run.formerEnd;
    return run.seen ? RunOutcome::Stopped : RunOutcome::NeverStarted;
}

void takeRunning(RunnerState &runner, std::uint64_t number, const PollResult &poll, Time now,
                 RunnerActions &actions)
{
    std::set<RunId> orphans;
    std::set<RunId> listed;
    for (const RunProgress &row : poll.running) {
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
    stopOrphans(runner, orphans, poll.startedAt, actions);
}

// The pause between failed polls grows up to this multiple of lookPause.
constexpr std::uint32_t MostPauses = 10;

void lookFailed(RunnerState &runner, const CommandResult &result, Time now, RunnerActions &actions)
{
    ++runner.endpointIncarnation.looksFailed;
    runner.endpointIncarnation.lookFailedAt = now;
    const std::uint32_t most = runner.settings.looksBeforeOutOfReach;
    const std::uint32_t pauses = runner.endpointIncarnation.looksFailed
            - std::min(runner.endpointIncarnation.looksFailed, most - 1);
    runner.nextLook = now + runner.settings.lookPause * std::min(pauses, MostPauses);
    if (result.status == CommandStatus::Fenced)
        raiseFence(runner, actions);
    if (runner.endpointIncarnation.looksFailed == most)
        actions.events.push_back(change("endpoint-out-of-reach")
                                         .with("life", runner.endpoint.endpointIncarnation.id)
                                         .with("answer", toString(result.status)));
    // Nothing listens at its address, twice in a row: the process is gone, and its runs with it.
    const bool gone = result.status == CommandStatus::ConnectionRefused
            && runner.endpointIncarnation.looksFailed > 1;
    if (gone || result.status == CommandStatus::OtherIncarnation)
        endAll(runner, endOfLife(runner), toString(result.status), now, actions);
    if (result.status == CommandStatus::OtherIncarnation)
        lifeDisowned(runner, now, actions);
}

bool isOfAnotherLife(const RunnerState &runner, const PollResult &poll)
{
    const std::optional<WallTime> &present = runner.endpoint.endpointIncarnation.startedAt;
    return poll.result.status == CommandStatus::Ok && poll.startedAt && present
            && *poll.startedAt != *present;
}

} // namespace

RunnerActions handlePollResult(RunnerState &runner, std::uint64_t number, const PollResult &poll,
                               Time now)
{
    RunnerActions actions;
    // For a previous incarnation, or superseded by a newer poll.
    if (number <= runner.lastAnsweredPoll)
        return actions;
    runner.lastAnsweredPoll = number;
    runner.lookUnderWay = false;
    if (isOfAnotherLife(runner, poll)) {
        // This poll acknowledged end numbers of the previous incarnation, so its list of ends may
        // be incomplete; the next poll starts anew.
        lifeListed(runner, { runner.endpoint.endpointIncarnation.id, poll.startedAt }, now,
                   actions);
        finishEvent(runner, now, actions);
        return actions;
    }
    takeClock(runner, poll.result, now);
    if (poll.result.status == CommandStatus::Ok) {
        if (isOutOfReach(runner))
            actions.events.push_back(change("endpoint-in-reach")
                                             .with("life", runner.endpoint.endpointIncarnation.id));
        runner.endpointIncarnation.looksFailed = 0;
        runner.fencedOff = 0;
        lifeConfirmed(runner, number);
        runner.nextLook = runner.endpointIncarnation.clean ? now : now + runner.settings.lookPause;
        takeEnds(runner, poll, now, actions);
        takeRunning(runner, number, poll, now, actions);
    } else {
        lookFailed(runner, poll.result, now, actions);
    }
    finishEvent(runner, now, actions);
    return actions;
}

} // namespace foxwing::runner
