/*
    What entries ask for: sessions, starts and stops.

    [SECTION] Sessions
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

using eventlog::change;
using jobs::RunId;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Sessions

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

namespace {

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

StartRefusal checkStart(const RunnerState &runner, const RunId &id, const jobs::StartTasks &message,
                        Time now)
{
    if (runner.endpoint.leaving || runner.stopping)
        return StartRefusal::Leaving;
    if (isCordoned(runner))
        return StartRefusal::Cordoned;
    if (maxStarts(runner, now) == 0)
        return StartRefusal::NotReady;
    const bool sameTask = std::any_of(runner.runs.begin(), runner.runs.end(),
                                      [&](const auto &run) { return run.first.task == id.task; });
    if (sameTask || isWaiting(runner, id.task))
        return StartRefusal::NotReady;
    jobs::ResourceVector free = freeRoom(runner);
    free -= waitingRoom(runner, message.priority);
    return jobs::fits(message.demand, free) ? StartRefusal::None : StartRefusal::NoCapacity;
}

} // namespace

void orderStart(RunnerState &runner, const RunId &id, Run &run, Time now, RunnerActions &actions)
{
    StartOrder order;
    order.id = id;
    order.payload = run.payload;
    order.deadline = *leaseDeadline(runner, now);
    order.fence = runner.fence;
    order.life = runner.endpoint.life.id;
    runner.life.leaseUntil = std::max(runner.life.leaseUntil, order.deadline);
    ++run.tries;
    actions.starts.push_back(std::move(order));
}

void startRun(RunnerState &runner, const WaitingStart &start, Time now, RunnerActions &actions)
{
    Run run;
    run.session = start.session;
    run.payload = start.payload;
    run.demand = start.demand;
    run.estimate = start.estimate;
    run.orderedAt = now;
    run.progressAt = now;
    orderStart(runner, start.id, run, now, actions);
    runner.runs.emplace(start.id, std::move(run));
    ++runner.started;
}

void refuseStart(RunnerState &runner, std::uint64_t session, const RunId &id, StartRefusal why)
{
    ++runner.refused;
    const auto found = runner.sessions.find(session);
    if (found == runner.sessions.end())
        return;
    found->second.dirty = true;
    found->second.refusedRoom |= why == StartRefusal::NoCapacity;
    found->second.ended.push_back({ id, RunOutcome::NeverStarted, why, Milliseconds(0) });
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
    if (found == runner.sessions.end() || !found->second.accepted)
        return actions;
    for (const jobs::StartTasks::Start &wanted : message.starts) {
        const RunId id { { message.job, message.repeat, message.step, wanted.index }, wanted.run };
        ++found->second.startsHandled;
        const WaitingStart start { id,
                                   session,
                                   message.payload,
                                   message.demand,
                                   message.estimate,
                                   message.priority,
                                   now + message.maxWait };
        const StartRefusal why = checkStart(runner, id, message, now);
        if (why == StartRefusal::None)
            startRun(runner, start, now, actions);
        else if (why == StartRefusal::NoCapacity && mayWaitHere(runner, message))
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

RunnerActions sessionBeat(RunnerState &runner, std::uint64_t session,
                          const jobs::SessionHeartbeat &message, Time now)
{
    RunnerActions actions;
    const auto found = hearSession(runner, session, now, actions);
    if (found != runner.sessions.end()) {
        Session &heard = found->second;
        heard.heartbeat = std::max(heard.heartbeat, message.number);
        heard.dirty |= message.needsCapacity && !heard.needsCapacity;
        heard.needsCapacity = message.needsCapacity;
    }
    finishEvent(runner, now, actions);
    return actions;
}

} // namespace foxwing::runner
