/*
    Events of the runner.

    [SECTION] Names
    [SECTION] Runs
    [SECTION] Endpoint
    [SECTION] Sessions
    [SECTION] Answers
    [SECTION] Time
*/
#include <foxwing/runner/runner.h>

#include <algorithm>

#include "internal.h"

namespace foxwing::runner {

using eventlog::change;
using eventlog::Event;
using jobs::RefusedStart;
using jobs::RunEnd;
using jobs::RunId;

// [SECTION] Names

const char *toString(Answer answer)
{
    switch (answer) {
    case Answer::Ok:
        return "ok";
    case Answer::Fenced:
        return "fenced";
    case Answer::OldRun:
        return "old-run";
    case Answer::TooLate:
        return "too-late";
    case Answer::NoRoom:
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

namespace {

Event runEvent(const char *name, const RunId &id)
{
    return Event(name)
            .with("request", id.task.job)
            .with("step", id.task.step)
            .with("index", id.task.index)
            .with("run", id.run);
}

void countEnd(RunnerState &runner, RunEnd end)
{
    if (end == RunEnd::Done)
        ++runner.done;
    else if (end == RunEnd::Failed)
        ++runner.failed;
    else if (end == RunEnd::NeverBegan)
        ++runner.refused;
    else
        ++runner.stopped;
}

} // namespace

void endRun(RunnerState &runner, const RunId &id, RunEnd end, RefusedStart refused, Time now,
            RunnerActions &actions)
{
    const auto found = runner.runs.find(id);
    if (found == runner.runs.end())
        return;
    const Run run = found->second;
    runner.runs.erase(found);
    countEnd(runner, end);
    const bool began = run.startedAt != Time {};
    const auto took = std::chrono::duration_cast<Milliseconds>(began ? now - run.startedAt
                                                                     : Microseconds(0));
    if (end == RunEnd::Done)
        noteGood(runner, run, took);
    if (end == RunEnd::Failed)
        noteBad(runner, now);
    if (end != RunEnd::Done)
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
    actions.stops.push_back({ id, runner.fence, runner.endpoint.life });
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

void endAll(RunnerState &runner, RunEnd end, const char *why, Time now, RunnerActions &actions)
{
    if (!runner.runs.empty())
        actions.events.push_back(
                change("all-runs-over").with("why", why).with("runs", runner.runs.size()));
    while (!runner.runs.empty()) {
        const RunId id = runner.runs.begin()->first;
        endRun(runner, id, end, RefusedStart::None, now, actions);
    }
    runner.orphans.clear();
}

void takeClock(RunnerState &runner, const Answered &answered, Time now)
{
    if (!answered.endpointClock)
        return;
    // Answers overtake each other: an older one must not set the clock back.
    if (runner.clockSample && *answered.endpointClock < *runner.clockSample)
        return;
    runner.clockSample = answered.endpointClock;
    runner.clockAt = now;
}

void raiseFence(RunnerState &runner, RunnerActions &actions)
{
    // The first step spans a clock that was a minute ahead, for fences made of milliseconds and ten
    // more bits; each further one is twice as far.
    constexpr std::uint64_t FirstStep = 60000ULL << 10U;
    constexpr std::uint32_t MostDoublings = 10;
    runner.fence += FirstStep << std::min(runner.fencedOff, MostDoublings);
    ++runner.fencedOff;
    actions.events.push_back(change("fence-raised").with("fence", runner.fence));
}

// [SECTION] Endpoint

namespace {

void newLife(RunnerState &runner, const EndpointReport &report, Time now, RunnerActions &actions)
{
    actions.events.push_back(change("endpoint-life")
                                     .with("life", report.life)
                                     .with("before", runner.endpoint.life)
                                     .with("service", report.service));
    endAll(runner, RunEnd::Lost, "another life of the endpoint", now, actions);
    if (!runner.endpoint.life.empty())
        runner.formerLives.push_back(runner.endpoint.life);
    if (runner.formerLives.size() > runner.settings.mostFormerLives)
        runner.formerLives.pop_front();
    runner.clean = false;
    runner.clockSample.reset();
    runner.leaseUntil = Milliseconds(0);
    runner.lastSeen = 0;
    runner.looksFailed = 0;
    runner.bad = 0;
    runner.pace = 1.0;
    // A look that is under way was for the other life; its answer is not waited for.
    runner.lookUnderWay = false;
    runner.lookAnswered = runner.lookNumber;
    runner.nextLook = now;
}

bool sameView(const EndpointReport &left, const EndpointReport &right)
{
    return left.life == right.life && left.leaving == right.leaving && left.labels == right.labels
            && left.capacity == right.capacity && left.service == right.service;
}

} // namespace

RunnerActions endpointHeard(RunnerState &runner, const EndpointReport &report, Time now)
{
    RunnerActions actions;
    if (report.life == runner.endpoint.life && report.sequence < runner.endpoint.sequence)
        return actions;
    const std::deque<std::string> &former = runner.formerLives;
    if (std::find(former.begin(), former.end(), report.life) != former.end()) {
        actions.events.push_back(Event("late-heartbeat")
                                         .with("life", report.life)
                                         .with("present", runner.endpoint.life)
                                         .with("sequence", report.sequence));
        return actions;
    }
    if (report.life != runner.endpoint.life)
        newLife(runner, report, now, actions);
    else if (report.leaving && !runner.endpoint.leaving)
        actions.events.push_back(change("endpoint-leaving")
                                         .with("life", report.life)
                                         .with("remaining_ms", report.remaining)
                                         .with("runs", runner.runs.size()));
    if (!sameView(report, runner.endpoint))
        ++runner.viewNumber;
    runner.endpoint = report;
    takeClock(runner, { Answer::Ok, report.clock }, now);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions endpointLeft(RunnerState &runner, const std::string &life, Time now)
{
    RunnerActions actions;
    if (life == runner.endpoint.life && !life.empty()) {
        actions.events.push_back(change("endpoint-left").with("life", life));
        runner.endpoint.leaving = true;
        ++runner.viewNumber;
    }
    finishEvent(runner, now, actions);
    return actions;
}

// [SECTION] Sessions

namespace {

void endSession(RunnerState &runner, std::uint64_t number, const char *why, Time now,
                RunnerActions &actions)
{
    Session &session = runner.sessions.at(number);
    if (session.over)
        return;
    session.over = true;
    dropWaitingOf(runner, number);
    std::uint64_t runs = 0;
    for (auto &[id, run] : runner.runs) {
        if (run.session != number)
            continue;
        ++runs;
        beginStopping(runner, id, run, why, now, actions);
    }
    actions.closes.push_back(number);
    actions.events.push_back(change("session-over")
                                     .with("entry", session.owner)
                                     .with("why", why)
                                     .with("heard_ms_ago", now - session.heardAt)
                                     .with("runs_stopped", runs));
}

// A session that is alive, noted as heard. One that was silent for too long is ended instead: after
// a pause of this process, or a cut, what was sent long ago arrives as if it were new.
std::map<std::uint64_t, Session>::iterator hearSession(RunnerState &runner, std::uint64_t number,
                                                       Time now, RunnerActions &actions)
{
    const auto found = runner.sessions.find(number);
    if (found == runner.sessions.end() || found->second.over)
        return runner.sessions.end();
    if (now >= found->second.heardAt + runner.settings.ownerSilence) {
        endSession(runner, number, "its entry was silent", now, actions);
        return runner.sessions.end();
    }
    found->second.heardAt = now;
    return found;
}

RefusedStart checkStart(const RunnerState &runner, const RunId &id, const jobs::StartTasks &message,
                        Time now)
{
    if (runner.endpoint.leaving || runner.stopping)
        return RefusedStart::Leaving;
    if (mostStarts(runner, now) == 0)
        return RefusedStart::NotReady;
    const bool sameTask = std::any_of(runner.runs.begin(), runner.runs.end(),
                                      [&](const auto &run) { return run.first.task == id.task; });
    if (sameTask || isWaiting(runner, id.task))
        return RefusedStart::NotReady;
    jobs::Room free = freeRoom(runner);
    free -= waitingRoom(runner, message.priority);
    return jobs::fits(message.room, free) ? RefusedStart::None : RefusedStart::NoRoom;
}

// Needs a lease deadline.
void orderStart(RunnerState &runner, const RunId &id, Run &run, Time now, RunnerActions &actions)
{
    StartOrder order;
    order.id = id;
    order.payload = run.payload;
    order.deadline = *leaseDeadline(runner, now);
    order.fence = runner.fence;
    order.life = runner.endpoint.life;
    runner.leaseUntil = std::max(runner.leaseUntil, order.deadline);
    ++run.tries;
    actions.starts.push_back(std::move(order));
}

} // namespace

void startRun(RunnerState &runner, const WaitingStart &start, Time now, RunnerActions &actions)
{
    Run run;
    run.session = start.session;
    run.payload = start.payload;
    run.room = start.room;
    run.estimate = start.estimate;
    run.orderedAt = now;
    run.progressAt = now;
    orderStart(runner, start.id, run, now, actions);
    runner.runs.emplace(start.id, std::move(run));
    ++runner.started;
}

void refuseStart(RunnerState &runner, std::uint64_t session, const RunId &id, RefusedStart why)
{
    ++runner.refused;
    const auto found = runner.sessions.find(session);
    if (found == runner.sessions.end())
        return;
    found->second.dirty = true;
    found->second.refusedRoom |= why == RefusedStart::NoRoom;
    found->second.ended.push_back({ id, RunEnd::NeverBegan, why, Milliseconds(0) });
}

RunnerActions openSession(RunnerState &runner, std::uint64_t session, const std::string &owner,
                          Time now)
{
    RunnerActions actions;
    for (auto &[number, other] : runner.sessions) {
        if (other.owner == owner)
            endSession(runner, number, "its entry has opened another session", now, actions);
    }
    Session opened;
    opened.owner = owner;
    opened.heardAt = now;
    runner.sessions.emplace(session, opened);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions closeSession(RunnerState &runner, std::uint64_t session, Time now)
{
    RunnerActions actions;
    if (runner.sessions.count(session) != 0)
        endSession(runner, session, "its connection is closed", now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions startTasks(RunnerState &runner, std::uint64_t session,
                         const jobs::StartTasks &message, Time now)
{
    RunnerActions actions;
    const auto found = hearSession(runner, session, now, actions);
    if (found == runner.sessions.end() || !found->second.welcomed)
        return actions;
    for (const jobs::StartTasks::Start &wanted : message.starts) {
        const RunId id { { message.job, message.repeat, message.step, wanted.index }, wanted.run };
        ++found->second.startsTaken;
        found->second.dirty = true;
        const WaitingStart start { id,
                                   session,
                                   message.payload,
                                   message.room,
                                   message.estimate,
                                   message.priority,
                                   now + message.mayWait };
        const RefusedStart why = checkStart(runner, id, message, now);
        if (why == RefusedStart::None)
            startRun(runner, start, now, actions);
        else if (why == RefusedStart::NoRoom && mayWaitHere(runner, message))
            addWaiting(runner, start);
        else
            refuseStart(runner, session, id, why);
    }
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions stopRuns(RunnerState &runner, std::uint64_t session, const jobs::StopRuns &message,
                       Time now)
{
    RunnerActions actions;
    hearSession(runner, session, now, actions);
    for (const RunId &id : message.runs) {
        if (dropWaiting(runner, id))
            continue;
        const auto run = runner.runs.find(id);
        if (run != runner.runs.end() && run->second.session == session)
            beginStopping(runner, id, run->second, "its entry asked", now, actions);
    }
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions sessionBeat(RunnerState &runner, std::uint64_t session, std::uint64_t beat, Time now)
{
    RunnerActions actions;
    const auto found = hearSession(runner, session, now, actions);
    if (found != runner.sessions.end())
        found->second.beat = std::max(found->second.beat, beat);
    finishEvent(runner, now, actions);
    return actions;
}

// [SECTION] Answers

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

// The order may have been lost, its answer may have been, or it is still to be carried out. The
// same start again is safe: the endpoint takes a run once. After some tries the run is stopped, so
// that it can't begin any more.
void startUnanswered(RunnerState &runner, const RunId &id, Run &run, Time now,
                     RunnerActions &actions)
{
    ++runner.unanswered;
    if (run.state != RunState::Ordered)
        return;
    if (now < run.orderedAt + runner.settings.startGivenUp && leaseDeadline(runner, now))
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
        endRun(runner, id, RunEnd::NeverBegan, refusedFor(answer), now, actions);
    } else if (answer == Answer::OldRun) {
        // It has run, and its end is in a look that is on its way or in the next.
        run.seen = true;
        run.goneIfMissingIn = runner.lookNumber + 1;
    } else {
        beginStopping(runner, id, run, "its start was refused after an unanswered one", now,
                      actions);
    }
}

} // namespace

RunnerActions startAnswered(RunnerState &runner, const RunId &id, const Answered &answered,
                            Time now)
{
    RunnerActions actions;
    takeClock(runner, answered, now);
    const auto found = runner.runs.find(id);
    if (answered.answer == Answer::Fenced)
        raiseFence(runner, actions);
    if (found == runner.runs.end()) {
        finishEvent(runner, now, actions);
        return actions;
    }
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
    takeClock(runner, answered, now);
    if (answered.answer == Answer::Fenced)
        raiseFence(runner, actions);
    const auto found = runner.runs.find(id);
    if (found != runner.runs.end()) {
        found->second.stopUnderWay = false;
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
        runner.lastSeen = std::max(runner.lastSeen, row.number);
        runner.orphans.erase(row.id);
        endRun(runner, row.id, row.end, RefusedStart::None, now, actions);
    }
}

// Runs that another life of this agent has left behind.
void stopOrphans(RunnerState &runner, const std::set<RunId> &seen, RunnerActions &actions)
{
    for (const RunId &id : seen) {
        if (runner.orphans.insert(id).second)
            actions.events.push_back(runEvent("orphan-stopping", id));
        actions.stops.push_back({ id, runner.fence, runner.endpoint.life });
    }
    runner.orphans = seen;
    const bool clean = seen.empty();
    if (clean && !runner.clean)
        actions.events.push_back(change("endpoint-clean").with("life", runner.endpoint.life));
    if (clean != runner.clean)
        ++runner.viewNumber;
    runner.clean = clean;
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
        markStarted(found->second, now);
        noteProgress(runner, found->second, row.percent, now);
    }
    judgeRuns(runner, now, actions);
    std::vector<std::pair<RunId, RunEnd>> gone;
    for (const auto &[id, run] : runner.runs) {
        const bool missing = listed.count(id) == 0 && run.goneIfMissingIn != 0;
        if (missing && number >= run.goneIfMissingIn)
            gone.emplace_back(id, run.seen ? RunEnd::Stopped : RunEnd::NeverBegan);
    }
    for (const auto &[id, end] : gone)
        endRun(runner, id, end, RefusedStart::Endpoint, now, actions);
    stopOrphans(runner, orphans, actions);
}

// The pause between failed looks grows up to this many times the first.
constexpr std::uint32_t MostPauses = 10;

void lookFailed(RunnerState &runner, const Answered &answered, Time now, RunnerActions &actions)
{
    ++runner.looksFailed;
    runner.lookFailedAt = now;
    const std::uint32_t most = runner.settings.looksBeforeOutOfReach;
    const std::uint32_t pauses = runner.looksFailed - std::min(runner.looksFailed, most - 1);
    runner.nextLook = now + runner.settings.lookPause * std::min(pauses, MostPauses);
    if (answered.answer == Answer::Fenced)
        raiseFence(runner, actions);
    if (runner.looksFailed == most)
        actions.events.push_back(change("endpoint-out-of-reach")
                                         .with("life", runner.endpoint.life)
                                         .with("answer", toString(answered.answer)));
    // Nobody listens at its address, twice: the endpoint's process is gone, and what it ran with
    // it.
    const bool gone = answered.answer == Answer::Unreachable && runner.looksFailed > 1;
    // Its own word goes before the order in which heartbeats came.
    if (answered.answer == Answer::OtherLife)
        runner.formerLives.clear();
    if (gone || answered.answer == Answer::OtherLife)
        endAll(runner, RunEnd::Lost, toString(answered.answer), now, actions);
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
    takeClock(runner, look.answered, now);
    if (look.answered.answer == Answer::Ok) {
        if (isOutOfReach(runner))
            actions.events.push_back(
                    change("endpoint-in-reach").with("life", runner.endpoint.life));
        runner.looksFailed = 0;
        runner.fencedOff = 0;
        runner.nextLook = runner.clean ? now : now + runner.settings.lookPause;
        takeEnds(runner, look, now, actions);
        takeRunning(runner, number, look, now, actions);
    } else {
        lookFailed(runner, look.answered, now, actions);
    }
    finishEvent(runner, now, actions);
    return actions;
}

// [SECTION] Time

namespace {

// Endpoint clocks run up to 2 percent slow: so much of the time that passed here certainly passed
// there.
constexpr int SlowestClockPercent = 98;

bool leaseIsOver(const RunnerState &runner, Time now)
{
    if (!runner.clockSample)
        return false;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - runner.clockAt);
    return *runner.clockSample + elapsed * SlowestClockPercent / 100 > runner.leaseUntil;
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
    endSilentSessions(runner, now, actions);
    repeatStops(runner, now, actions);
    if (!runner.runs.empty() && runner.looksFailed > 0 && leaseIsOver(runner, now))
        endAll(runner, RunEnd::Lapsed, "the lease is over and the endpoint out of reach", now,
               actions);
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
