/*
    Messages of entries: sessions, starts, stops and heartbeats.

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
    if (session.closed)
        return;
    session.closed = true;
    dropWaitingOf(runner, number);
    std::uint64_t runs = 0;
    for (auto &[id, run] : runner.runs) {
        if (run.session != number)
            continue;
        ++runs;
        stopRun(runner, id, run, why, now, actions);
    }
    actions.closes.push_back(number);
    actions.events.push_back(change("session-over")
                                     .with("entry", session.owner)
                                     .with("why", why)
                                     .with("heard_ms_ago", now - session.lastReceivedAt)
                                     .with("runs_stopped", runs));
}

namespace {

// Finds an open session and notes the time. A session that has timed out is closed instead: after a
// pause of this process or a network partition, old messages arrive as if new.
std::map<std::uint64_t, Session>::iterator touchSession(RunnerState &runner, std::uint64_t number,
                                                        Time now, RunnerActions &actions)
{
    const auto found = runner.sessions.find(number);
    if (found == runner.sessions.end() || found->second.closed)
        return runner.sessions.end();
    if (now >= found->second.lastReceivedAt + runner.settings.sessionTimeout) {
        endSession(runner, number, "the entry had timed out", now, actions);
        return runner.sessions.end();
    }
    found->second.lastReceivedAt = now;
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
    jobs::ResourceVector free = freeCapacity(runner);
    free -= waitingDemand(runner, message.priority);
    return jobs::fits(message.demand, free) ? StartRefusal::None : StartRefusal::NoCapacity;
}

} // namespace

void sendStart(RunnerState &runner, const RunId &id, Run &run, Time now, RunnerActions &actions)
{
    StartCommand command;
    command.id = id;
    command.payload = run.payload;
    command.deadline = *leaseDeadline(runner, now);
    command.fence = runner.fence;
    command.endpointIncarnation = runner.endpoint.endpointIncarnation.id;
    runner.incarnationState.leaseUntil = std::max(runner.incarnationState.leaseUntil,
                                                  command.deadline);
    ++run.attempts;
    actions.starts.push_back(std::move(command));
}

void startRun(RunnerState &runner, const WaitingStart &start, Time now, RunnerActions &actions)
{
    Run run;
    run.session = start.session;
    run.payload = start.payload;
    run.demand = start.demand;
    run.estimate = start.estimate;
    run.startSentAt = now;
    run.progressAt = now;
    sendStart(runner, start.id, run, now, actions);
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
    found->second.refusedForCapacity |= why == StartRefusal::NoCapacity;
    found->second.ended.push_back({ id, RunOutcome::NeverStarted, why, Milliseconds(0) });
}

RunnerActions openSession(RunnerState &runner, std::uint64_t session, const std::string &owner,
                          Time now)
{
    RunnerActions actions;
    for (auto &[number, other] : runner.sessions) {
        if (other.owner == owner)
            endSession(runner, number, "the entry has opened another session", now, actions);
    }
    Session opened;
    opened.owner = owner;
    opened.lastReceivedAt = now;
    runner.sessions.emplace(session, opened);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions closeSession(RunnerState &runner, std::uint64_t session, Time now)
{
    RunnerActions actions;
    if (runner.sessions.count(session) != 0)
        endSession(runner, session, "the connection was closed", now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions startTasks(RunnerState &runner, std::uint64_t session,
                         const jobs::StartTasks &message, Time now)
{
    RunnerActions actions;
    const auto found = touchSession(runner, session, now, actions);
    if (found == runner.sessions.end() || !found->second.accepted)
        return actions;
    for (const jobs::StartTasks::Start &requested : message.starts) {
        const RunId id { { message.job, message.repeat, message.step, requested.index },
                         requested.run };
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
    touchSession(runner, session, now, actions);
    for (const RunId &id : message.runs) {
        if (dropWaiting(runner, id))
            continue;
        const auto run = runner.runs.find(id);
        if (run != runner.runs.end() && run->second.session == session)
            stopRun(runner, id, run->second, "the entry asked for it", now, actions);
    }
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions handleSessionHeartbeat(RunnerState &runner, std::uint64_t session,
                                     const jobs::SessionHeartbeat &message, Time now)
{
    RunnerActions actions;
    const auto found = touchSession(runner, session, now, actions);
    if (found != runner.sessions.end()) {
        Session &sender = found->second;
        sender.heartbeat = std::max(sender.heartbeat, message.number);
        sender.dirty |= message.needsCapacity && !sender.needsCapacity;
        sender.needsCapacity = message.needsCapacity;
    }
    finishEvent(runner, now, actions);
    return actions;
}

} // namespace foxwing::runner
