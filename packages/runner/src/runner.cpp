/*
    Runs, cordons and time. What entries ask for is in sessions.cpp, what the endpoint answers in
    answers.cpp, its lives and heartbeats in lives.cpp.

    [SECTION] Names
    [SECTION] Runs
    [SECTION] Cordons
    [SECTION] Time
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

// [SECTION] Names

const char *toString(Answer answer)
{
    switch (answer) {
    case Answer::Ok:
        return "ok";
    case Answer::Fenced:
        return "fenced";
    case Answer::StaleRun:
        return "old-run";
    case Answer::TooLate:
        return "too-late";
    case Answer::NoCapacity:
        return "no-room";
    case Answer::OtherLife:
        return "other-life";
    case Answer::Busy:
        return "busy";
    case Answer::Invalid:
        return "invalid";
    case Answer::Unreachable:
        return "unreachable";
    case Answer::None:
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

void countEnd(RunnerState &runner, RunOutcome end)
{
    if (end == RunOutcome::Done)
        ++runner.done;
    else if (end == RunOutcome::Failed)
        ++runner.failed;
    else if (end == RunOutcome::NeverStarted)
        ++runner.refused;
    else
        ++runner.stopped;
}

} // namespace

// Room of failed runs is left out: an endpoint that fails all that it starts would seem to give
// back more room than any other.
static void noteFreed(RunnerState &runner, const Run &run, RunOutcome end, Time now)
{
    if (end == RunOutcome::Done || end == RunOutcome::Stopped)
        addTo(runner.freed, runner.settings.freedSpan, static_cast<double>(run.demand.milliCores),
              now);
}

void endRun(RunnerState &runner, const RunId &id, RunOutcome end, StartRefusal refused, Time now,
            RunnerActions &actions)
{
    const auto found = runner.runs.find(id);
    if (found == runner.runs.end())
        return;
    const Run run = found->second;
    runner.runs.erase(found);
    countEnd(runner, end);
    noteFreed(runner, run, end, now);
    if (end == RunOutcome::Crashed)
        noteCrash(runner, id.task, now);
    const bool began = run.startedAt != Time {};
    const auto took = std::chrono::duration_cast<Milliseconds>(began ? now - run.startedAt
                                                                     : Microseconds(0));
    if (end == RunOutcome::Done)
        noteGood(runner, run, took);
    if (end == RunOutcome::Failed)
        noteBad(runner, now);
    if (end != RunOutcome::Done)
        actions.events.push_back(runEvent("run-ended", id)
                                         .with("end", jobs::toString(end))
                                         .with("refused", jobs::toString(refused))
                                         .with("ran_ms", took));
    const auto session = runner.sessions.find(run.session);
    if (session == runner.sessions.end() || session->second.over)
        return;
    session->second.ended.push_back({ id, end, refused, took });
    session->second.dirty = true;
}

void orderStop(RunnerState &runner, const RunId &id, Run &run, Time now, RunnerActions &actions)
{
    run.stopOrderedAt = now;
    run.stopUnderWay = true;
    actions.stops.push_back({ id, runner.fence, runner.endpoint.life.id });
}

void beginStopping(RunnerState &runner, const RunId &id, Run &run, const char *why, Time now,
                   RunnerActions &actions)
{
    if (run.state == RunState::Stopping)
        return;
    actions.events.push_back(runEvent("run-stopping", id)
                                     .with("why", why)
                                     .with("percent", run.percent)
                                     .with("since_ordered_ms", now - run.orderedAt));
    run.state = RunState::Stopping;
    run.stopSince = now;
    orderStop(runner, id, run, now, actions);
}

void takeClock(RunnerState &runner, const Answered &answered, Time now)
{
    if (!answered.endpointClock)
        return;
    // Answers overtake each other: an older one must not set the clock back.
    if (runner.life.clockSample && *answered.endpointClock < *runner.life.clockSample)
        return;
    runner.life.clockSample = answered.endpointClock;
    runner.life.clockAt = now;
}

// [SECTION] Cordons

RunnerActions cordonsHeard(RunnerState &runner, const catalog::Cordons &cordons,
                           CordonSource source, Time now)
{
    RunnerActions actions;
    const bool wasCordoned = isCordoned(runner);
    if (cordons.revision > runner.cordons.revision)
        runner.cordons = cordons;
    runner.heardFromEntry |= source == CordonSource::Entry;
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

// [SECTION] Time

namespace {

// Without a word from control, what an entry knows counts after a while.
void takeEntrysWord(RunnerState &runner, Time now, RunnerActions &actions)
{
    if (runner.firstTick == Time {})
        runner.firstTick = now;
    if (runner.cordonsKnown || !runner.heardFromEntry
        || now < runner.firstTick + runner.settings.cordonWait)
        return;
    runner.cordonsKnown = true;
    actions.events.push_back(change("cordons-from-entry")
                                     .with("revision", runner.cordons.revision)
                                     .with("cordoned", isCordoned(runner) ? 1 : 0));
}

// Endpoint clocks run up to 2 percent slow: so much of the time that passed here certainly passed
// there.
constexpr int SlowestClockPercent = 98;

bool leaseIsOver(const RunnerState &runner, Time now)
{
    // What was ordered for a former life may have been taken by this one, with a deadline of the
    // other's clock.
    const bool leftOver = std::any_of(runner.runs.begin(), runner.runs.end(),
                                      [](const auto &item) { return item.second.ofFormerLife; });
    if (!runner.life.clockSample || leftOver)
        return false;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - runner.life.clockAt);
    return *runner.life.clockSample + elapsed * SlowestClockPercent / 100 > runner.life.leaseUntil;
}

void repeatStops(RunnerState &runner, Time now, RunnerActions &actions)
{
    for (auto &[id, run] : runner.runs) {
        if (run.state == RunState::Stopping && !run.stopUnderWay
            && now >= run.stopOrderedAt + runner.settings.stopRepeat)
            orderStop(runner, id, run, now, actions);
    }
}

void endSilentSessions(RunnerState &runner, Time now, RunnerActions &actions)
{
    std::vector<std::uint64_t> silent;
    for (const auto &[number, session] : runner.sessions) {
        if (!session.over && now >= session.heardAt + runner.settings.ownerSilence)
            silent.push_back(number);
    }
    for (const std::uint64_t number : silent)
        endSession(runner, number, "its entry is silent", now, actions);
}

} // namespace

RunnerActions tick(RunnerState &runner, Time now)
{
    RunnerActions actions;
    takeEntrysWord(runner, now, actions);
    endSilentSessions(runner, now, actions);
    repeatStops(runner, now, actions);
    if (!runner.runs.empty() && runner.life.looksFailed > 0 && leaseIsOver(runner, now))
        endAll(runner, RunOutcome::LeaseExpired, "the lease is over and the endpoint out of reach",
               now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions beginStop(RunnerState &runner, Time now)
{
    RunnerActions actions;
    runner.stopping = true;
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions stopAll(RunnerState &runner, Time now)
{
    RunnerActions actions;
    for (auto &[id, run] : runner.runs)
        beginStopping(runner, id, run, "the agent stops", now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

bool finished(const RunnerState &runner)
{
    return runner.stopping && runner.runs.empty();
}

} // namespace foxwing::runner
