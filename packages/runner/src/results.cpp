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

StartRefusal refusalFor(CommandStatus status)
{
    if (status == CommandStatus::StaleRun)
        return StartRefusal::StaleRun;
    return status == CommandStatus::NoCapacity ? StartRefusal::NoCapacity : StartRefusal::Endpoint;
}

void markStarted(Run &run, Time now)
{
    run.confirmed = true;
    if (run.state != RunState::Starting)
        return;
    run.state = RunState::Running;
    run.startedAt = now;
    run.progressAt = now;
}

// The command or its reply may have been lost, or the command may yet take effect. Repeating it is
// safe, since the endpoint starts a run only once. After startTimeout the run is stopped, so that
// it can't start any more.
void handleMissingReply(RunnerState &runner, const RunId &id, Run &run, Time now,
                        RunnerActions &actions)
{
    ++runner.unanswered;
    if (run.state != RunState::Starting)
        return;
    // Not if the capacity was reduced since the first attempt and is exceeded by now.
    const bool stillFits = jobs::fits({}, freeCapacity(runner));
    if (now < run.startSentAt + runner.settings.startTimeout && leaseDeadline(runner, now)
        && stillFits)
        return sendStart(runner, id, run, now, actions);
    recordFault(runner, now);
    stopRun(runner, id, run, "no reply to its start command", now, actions);
}

// The endpoint refuses this attempt. An earlier attempt may have taken effect, or may do so yet.
void handleStartRefusal(RunnerState &runner, const RunId &id, Run &run, CommandStatus status,
                        Time now, RunnerActions &actions)
{
    actions.events.push_back(runEvent("start-refused", id)
                                     .with("answer", toString(status))
                                     .with("tries", run.attempts));
    if (status == CommandStatus::Busy || status == CommandStatus::ConnectionRefused)
        recordFault(runner, now);
    if (run.attempts <= 1 || status == CommandStatus::OtherIncarnation) {
        endRun(runner, id, RunOutcome::NeverStarted, refusalFor(status), now, actions);
    } else if (status == CommandStatus::StaleRun) {
        // It has run; its end is in the result of the pending poll or the next one.
        run.confirmed = true;
        run.decisivePoll = runner.pollNumber + 1;
    } else {
        stopRun(runner, id, run, "its start was refused after an attempt without a reply", now,
                actions);
    }
}

} // namespace

namespace {

// Results from a previous incarnation say nothing about the clock and fence of the current one; the
// next poll shows what became of the run. Results for ended runs are ignored as well.
bool isFromCurrentIncarnation(const RunnerState &runner, std::map<RunId, Run>::const_iterator run)
{
    return run != runner.runs.end() && !run->second.carriedOver;
}

} // namespace

RunnerActions handleStartResult(RunnerState &runner, const RunId &id, const CommandResult &result,
                                Time now)
{
    RunnerActions actions;
    const auto found = runner.runs.find(id);
    if (!isFromCurrentIncarnation(runner, found)) {
        finishEvent(runner, now, actions);
        return actions;
    }
    updateClock(runner, result, now);
    if (result.status == CommandStatus::Fenced)
        raiseFence(runner, actions);
    switch (result.status) {
    case CommandStatus::Ok:
        markStarted(found->second, now);
        break;
    case CommandStatus::None:
        if (!found->second.confirmed)
            handleMissingReply(runner, id, found->second, now, actions);
        break;
    default:
        handleStartRefusal(runner, id, found->second, result.status, now, actions);
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
        found->second.stopPending = false;
    if (isFromCurrentIncarnation(runner, found)) {
        updateClock(runner, result, now);
        if (result.status == CommandStatus::Fenced)
            raiseFence(runner, actions);
        if (result.status == CommandStatus::Ok)
            found->second.decisivePoll = runner.pollNumber + 1;
    }
    finishEvent(runner, now, actions);
    return actions;
}

// [SECTION] Polls

namespace {

void handleEnded(RunnerState &runner, const PollResult &poll, Time now, RunnerActions &actions)
{
    for (const EndedRun &row : poll.ended) {
        runner.incarnationState.lastSeenEnd = std::max(runner.incarnationState.lastSeenEnd,
                                                       row.number);
        runner.incarnationState.orphans.erase(row.id);
        endRun(runner, row.id, row.end, StartRefusal::None, now, actions);
    }
}

// Stops runs that another incarnation of this agent has left behind.
void stopOrphans(RunnerState &runner, const std::set<RunId> &listed,
                 const std::optional<WallTime> &startedAt, RunnerActions &actions)
{
    for (const RunId &id : listed) {
        if (runner.incarnationState.orphans.insert(id).second)
            actions.events.push_back(runEvent("orphan-stopping", id));
        actions.stops.push_back({ id, runner.fence, runner.endpoint.endpointIncarnation.id });
    }
    runner.incarnationState.orphans = listed;
    const bool clean = listed.empty();
    if (clean && !runner.incarnationState.clean)
        actions.events.push_back(change("endpoint-clean")
                                         .with("life", runner.endpoint.endpointIncarnation.id)
                                         .with("born_ms", startTimeField(startedAt)));
    if (clean != runner.incarnationState.clean)
        ++runner.viewVersion;
    runner.incarnationState.clean = clean;
}

// A listed run belongs to the current incarnation, whichever one its start was sent to.
void markListed(Run &run, Time now)
{
    markStarted(run, now);
    if (!run.carriedOver)
        return;
    run.carriedOver = false;
    run.decisivePoll = 0;
    run.startedAt = now;
    run.progressAt = now;
}

RunOutcome outcomeIfMissing(const Run &run)
{
    // It may have started in the previous incarnation.
    if (run.carriedOver)
        return run.outcomeIfLost;
    return run.confirmed ? RunOutcome::Stopped : RunOutcome::NeverStarted;
}

void handleRunning(RunnerState &runner, std::uint64_t number, const PollResult &poll, Time now,
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
        recordProgress(runner, found->second, row.percent, now);
    }
    reportStragglers(runner, now, actions);
    std::vector<std::pair<RunId, RunOutcome>> ended;
    for (const auto &[id, run] : runner.runs) {
        const bool missing = listed.count(id) == 0 && run.decisivePoll != 0;
        if (missing && number >= run.decisivePoll)
            ended.emplace_back(id, outcomeIfMissing(run));
    }
    for (const auto &[id, outcome] : ended)
        endRun(runner, id, outcome, StartRefusal::Endpoint, now, actions);
    stopOrphans(runner, orphans, poll.startedAt, actions);
}

// The pause between failed polls grows up to this multiple of pollRetryDelay.
constexpr std::uint32_t MaxDelayFactor = 10;

void handlePollFailure(RunnerState &runner, const CommandResult &result, Time now,
                       RunnerActions &actions)
{
    ++runner.incarnationState.failedPolls;
    runner.incarnationState.pollFailedAt = now;
    const std::uint32_t limit = runner.settings.maxFailedPolls;
    const std::uint32_t delayFactor = runner.incarnationState.failedPolls
            - std::min(runner.incarnationState.failedPolls, limit - 1);
    runner.nextPollAt = now
            + runner.settings.pollRetryDelay * std::min(delayFactor, MaxDelayFactor);
    if (result.status == CommandStatus::Fenced)
        raiseFence(runner, actions);
    if (runner.incarnationState.failedPolls == limit)
        actions.events.push_back(change("endpoint-out-of-reach")
                                         .with("life", runner.endpoint.endpointIncarnation.id)
                                         .with("answer", toString(result.status)));
    // Nothing listens at its address, twice in a row: the process is gone, and its runs with it.
    const bool processGone = result.status == CommandStatus::ConnectionRefused
            && runner.incarnationState.failedPolls > 1;
    if (processGone || result.status == CommandStatus::OtherIncarnation)
        endAllRuns(runner, lossOutcome(runner), toString(result.status), now, actions);
    if (result.status == CommandStatus::OtherIncarnation)
        rejectIncarnation(runner, now, actions);
}

bool isFromOtherIncarnation(const RunnerState &runner, const PollResult &poll)
{
    const std::optional<WallTime> &current = runner.endpoint.endpointIncarnation.startedAt;
    return poll.result.status == CommandStatus::Ok && poll.startedAt && current
            && *poll.startedAt != *current;
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
    runner.pollPending = false;
    if (isFromOtherIncarnation(runner, poll)) {
        // This poll acknowledged end numbers of the previous incarnation, so its list of ends may
        // be incomplete; the next poll starts anew.
        handleOtherIncarnation(runner, { runner.endpoint.endpointIncarnation.id, poll.startedAt },
                               now, actions);
        finishEvent(runner, now, actions);
        return actions;
    }
    updateClock(runner, poll.result, now);
    if (poll.result.status == CommandStatus::Ok) {
        if (isUnreachable(runner))
            actions.events.push_back(change("endpoint-in-reach")
                                             .with("life", runner.endpoint.endpointIncarnation.id));
        runner.incarnationState.failedPolls = 0;
        runner.fenceRejections = 0;
        confirmIncarnation(runner, number);
        runner.nextPollAt = runner.incarnationState.clean ? now
                                                          : now + runner.settings.pollRetryDelay;
        handleEnded(runner, poll, now, actions);
        handleRunning(runner, number, poll, now, actions);
    } else {
        handlePollFailure(runner, poll.result, now, actions);
    }
    finishEvent(runner, now, actions);
    return actions;
}

} // namespace foxwing::runner
