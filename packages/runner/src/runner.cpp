/*
    Runs, cordons and timers. Messages of entries are in sessions.cpp, results of commands in
    results.cpp, incarnations of the endpoint and its heartbeats in incarnations.cpp.

    [SECTION] Construction and names
    [SECTION] Runs
    [SECTION] Cordons
    [SECTION] Timers and shutdown
*/
#include <foxwing/runner/runner.h>

#include <algorithm>

#include "internal.h"

namespace foxwing::runner {

using eventlog::change;
using eventlog::Event;
using jobs::RunId;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Construction and names

const char *toString(CommandStatus status)
{
    switch (status) {
    case CommandStatus::Ok:
        return "ok";
    case CommandStatus::Fenced:
        return "fenced";
    case CommandStatus::StaleRun:
        return "old-run";
    case CommandStatus::TooLate:
        return "too-late";
    case CommandStatus::NoCapacity:
        return "no-room";
    case CommandStatus::OtherIncarnation:
        return "other-life";
    case CommandStatus::Busy:
        return "busy";
    case CommandStatus::Invalid:
        return "invalid";
    case CommandStatus::ConnectionRefused:
        return "unreachable";
    case CommandStatus::None:
        break;
    }
    return "none";
}

RunnerState makeRunner(const RunnerSettings &settings, std::uint64_t incarnation,
                       std::uint64_t fence)
{
    RunnerState runner;
    runner.settings = settings;
    runner.incarnation = incarnation;
    runner.fence = fence;
    return runner;
}

// [SECTION] Runs

Event runEvent(const char *name, const RunId &id)
{
    return Event(name)
            .with("request", id.task.job)
            .with("step", id.task.step)
            .with("index", id.task.index)
            .with("run", id.run);
}

namespace {

void countOutcome(RunnerState &runner, RunOutcome outcome)
{
    if (outcome == RunOutcome::Done)
        ++runner.done;
    else if (outcome == RunOutcome::Failed)
        ++runner.failed;
    else if (outcome == RunOutcome::NeverStarted)
        ++runner.refused;
    else
        ++runner.stopped;
}

} // namespace

// Failed runs don't count: an endpoint where everything fails would seem to free the most capacity.
static void recordFreed(RunnerState &runner, const Run &run, RunOutcome outcome, Time now)
{
    if (outcome == RunOutcome::Done || outcome == RunOutcome::Stopped)
        addTo(runner.freed, runner.settings.freedWindow, static_cast<double>(run.demand.milliCores),
              now);
}

void endRun(RunnerState &runner, const RunId &id, RunOutcome outcome, StartRefusal refused,
            Time now, RunnerActions &actions)
{
    const auto found = runner.runs.find(id);
    if (found == runner.runs.end())
        return;
    const Run run = found->second;
    runner.runs.erase(found);
    countOutcome(runner, outcome);
    recordFreed(runner, run, outcome, now);
    if (outcome == RunOutcome::Crashed)
        recordCrash(runner, id.task, now);
    const bool started = run.startedAt != Time {};
    const auto duration = std::chrono::duration_cast<Milliseconds>(started ? now - run.startedAt
                                                                           : Microseconds(0));
    if (outcome == RunOutcome::Done)
        recordSuccess(runner, run, duration);
    if (outcome == RunOutcome::Failed)
        recordFault(runner, now);
    if (outcome != RunOutcome::Done)
        actions.events.push_back(runEvent("run-ended", id)
                                         .with("end", jobs::toString(outcome))
                                         .with("refused", jobs::toString(refused))
                                         .with("ran_ms", duration));
    const auto session = runner.sessions.find(run.session);
    if (session == runner.sessions.end() || session->second.closed)
        return;
    session->second.ended.push_back({ id, outcome, refused, duration });
    session->second.dirty = true;
}

void sendStop(RunnerState &runner, const RunId &id, Run &run, Time now, RunnerActions &actions)
{
    run.stopSentAt = now;
    run.stopPending = true;
    actions.stops.push_back({ id, runner.fence, runner.endpoint.endpointIncarnation.id });
}

void stopRun(RunnerState &runner, const RunId &id, Run &run, const char *why, Time now,
             RunnerActions &actions)
{
    if (run.state == RunState::Stopping)
        return;
    actions.events.push_back(runEvent("run-stopping", id)
                                     .with("why", why)
                                     .with("percent", run.percent)
                                     .with("since_ordered_ms", now - run.startSentAt));
    run.state = RunState::Stopping;
    run.stoppingSince = now;
    sendStop(runner, id, run, now, actions);
}

void updateClock(RunnerState &runner, const CommandResult &result, Time now)
{
    if (!result.endpointClock)
        return;
    // Results may arrive out of order: an older one must not set the clock back.
    if (runner.incarnationState.clockSample
        && *result.endpointClock < *runner.incarnationState.clockSample)
        return;
    runner.incarnationState.clockSample = result.endpointClock;
    runner.incarnationState.clockSampledAt = now;
}

// [SECTION] Cordons

RunnerActions handleCordons(RunnerState &runner, const catalog::Cordons &cordons,
                            CordonSource source, Time now)
{
    RunnerActions actions;
    const bool wasCordoned = isCordoned(runner);
    if (cordons.revision > runner.cordons.revision)
        runner.cordons = cordons;
    runner.cordonsFromEntry |= source == CordonSource::Entry;
    runner.cordonsKnown |= source == CordonSource::Control;
    if (isCordoned(runner) != wasCordoned)
        actions.events.push_back(
                change(isCordoned(runner) ? "endpoint-cordoned" : "endpoint-uncordoned")
                        .with("data_centre", runner.endpoint.dataCentre)
                        .with("revision", runner.cordons.revision)
                        .with("runs", std::uint64_t { runner.runs.size() })
                        .with("waiting", std::uint64_t { runner.waiting.size() }));
    finishEvent(runner, now, actions);
    return actions;
}

// [SECTION] Timers and shutdown

namespace {

// Falls back to the cordons from an entry if control has not sent any in time.
void acceptEntryCordons(RunnerState &runner, Time now, RunnerActions &actions)
{
    if (runner.firstTickAt == Time {})
        runner.firstTickAt = now;
    if (runner.cordonsKnown || !runner.cordonsFromEntry
        || now < runner.firstTickAt + runner.settings.cordonTimeout)
        return;
    runner.cordonsKnown = true;
    actions.events.push_back(change("cordons-from-entry")
                                     .with("revision", runner.cordons.revision)
                                     .with("cordoned", isCordoned(runner) ? 1 : 0));
}

// Endpoint clocks run up to 2 percent slow: at least this percentage of the time elapsed here has
// elapsed there.
constexpr int SlowestClockPercent = 98;

bool isLeaseExpired(const RunnerState &runner, Time now)
{
    // Commands for a previous incarnation may have reached the current one, with a deadline on the
    // previous one's clock.
    const bool anyCarriedOver = std::any_of(runner.runs.begin(), runner.runs.end(),
                                            [](const auto &item) {
                                                return item.second.carriedOver;
                                            });
    if (!runner.incarnationState.clockSample || anyCarriedOver)
        return false;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(
            now - runner.incarnationState.clockSampledAt);
    return *runner.incarnationState.clockSample + elapsed * SlowestClockPercent / 100
            > runner.incarnationState.leaseUntil;
}

void retryStops(RunnerState &runner, Time now, RunnerActions &actions)
{
    for (auto &[id, run] : runner.runs) {
        if (run.state == RunState::Stopping && !run.stopPending
            && now >= run.stopSentAt + runner.settings.stopRetryInterval)
            sendStop(runner, id, run, now, actions);
    }
}

void endTimedOutSessions(RunnerState &runner, Time now, RunnerActions &actions)
{
    std::vector<std::uint64_t> timedOut;
    for (const auto &[number, session] : runner.sessions) {
        if (!session.closed && now >= session.lastReceivedAt + runner.settings.sessionTimeout)
            timedOut.push_back(number);
    }
    for (const std::uint64_t number : timedOut)
        endSession(runner, number, "the entry has timed out", now, actions);
}

} // namespace

RunnerActions tick(RunnerState &runner, Time now)
{
    RunnerActions actions;
    acceptEntryCordons(runner, now, actions);
    endTimedOutSessions(runner, now, actions);
    retryStops(runner, now, actions);
    if (!runner.runs.empty() && runner.incarnationState.failedPolls > 0
        && isLeaseExpired(runner, now))
        endAllRuns(runner, RunOutcome::LeaseExpired,
                   "the lease has expired and the endpoint is unreachable", now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions beginShutdown(RunnerState &runner, Time now)
{
    RunnerActions actions;
    runner.stopping = true;
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions stopAllRuns(RunnerState &runner, Time now)
{
    RunnerActions actions;
    for (auto &[id, run] : runner.runs)
        stopRun(runner, id, run, "the agent shuts down", now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

bool isShutDown(const RunnerState &runner)
{
    return runner.stopping && runner.runs.empty();
}

} // namespace foxwing::runner
