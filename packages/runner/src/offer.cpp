/*
    What the runner offers to entries, and what it tells them.

    [SECTION] Offer
    [SECTION] Telling
*/
#include "internal.h"

#include <algorithm>
#include <cmath>

namespace foxwing::runner {

// [SECTION] Offer

bool isOutOfReach(const RunnerState &runner)
{
    return runner.life.looksFailed >= runner.settings.looksBeforeOutOfReach;
}

namespace {

// More starts than any endpoint has room for.
constexpr std::uint32_t AnyNumber = 10000;

bool mayStart(const RunnerState &runner)
{
    return runner.life.described && !runner.endpoint.leaving && !runner.stopping
            && runner.life.clean && runner.life.clockSample && !isOutOfReach(runner)
            && runner.cordonsKnown && !isCordoned(runner);
}

} // namespace

bool isCordoned(const RunnerState &runner)
{
    return catalog::isCordoned(runner.cordons, runner.endpoint.dataCentre);
}

jobs::Room freeRoom(const RunnerState &runner)
{
    if (!mayStart(runner))
        return {};
    jobs::Room free = runner.endpoint.capacity;
    for (const auto &[id, run] : runner.runs)
        free -= run.room;
    return free;
}

// Below zero while more waits than is free.
static jobs::Room offeredRoom(const RunnerState &runner)
{
    jobs::Room free = freeRoom(runner);
    for (const WaitingStart &start : runner.waiting)
        free -= start.room;
    return free;
}

Microseconds oldestRun(const RunnerState &runner, Time now)
{
    Microseconds oldest { 0 };
    for (const auto &[id, run] : runner.runs)
        oldest = std::max(oldest, now - run.orderedAt);
    return oldest;
}

std::uint32_t mostStarts(const RunnerState &runner, Time now)
{
    // An entry must not be told of room while every start would be refused: it would send again
    // at once, and again.
    if (!mayStart(runner) || !leaseDeadline(runner, now))
        return 0;
    if (!onTrial(runner))
        return AnyNumber;
    const bool rested = now >= runner.life.badAt + runner.settings.trialRest;
    return runner.runs.empty() && rested ? 1 : 0;
}

jobs::EndpointView viewOf(const RunnerState &runner, Time now)
{
    jobs::EndpointView view;
    view.life = runner.endpoint.life.id;
    view.service = runner.endpoint.service;
    view.dataCentre = runner.endpoint.dataCentre;
    view.labels = runner.endpoint.labels;
    view.capacity = runner.endpoint.capacity;
    view.free = offeredRoom(runner);
    view.mostStarts = mostStarts(runner, now);
    view.paceMille = static_cast<std::uint32_t>(runner.life.pace * 1000);
    view.leaving = runner.endpoint.leaving || runner.stopping;
    return view;
}

// [SECTION] Telling

namespace {

bool ownerHasOtherRuns(const RunnerState &runner, std::uint64_t number, const Session &session)
{
    return std::any_of(runner.runs.begin(), runner.runs.end(), [&](const auto &item) {
        const auto owner = runner.sessions.find(item.second.session);
        return item.second.session != number && owner != runner.sessions.end()
                && owner->second.owner == session.owner;
    });
}

void welcome(RunnerState &runner, std::uint64_t number, Session &session, Time now,
             RunnerActions &actions)
{
    if (!runner.life.clean || ownerHasOtherRuns(runner, number, session))
        return;
    session.welcomed = true;
    session.toldView = runner.viewNumber;
    jobs::Welcome message;
    message.incarnation = runner.incarnation;
    message.endpoint = viewOf(runner, now);
    message.crashed = crashesAfter(runner, 0, now);
    session.toldCrash = runner.lastCrash;
    session.toldFree = message.endpoint.free;
    session.toldMostStarts = message.endpoint.mostStarts;
    session.toldLeaving = message.endpoint.leaving;
    session.toldAt = now;
    actions.welcomes.emplace_back(number, std::move(message));
}

// How old an entry's picture of the room may be. Among entries that want room it grows with their
// number, so that an agent's work for telling it does not.
Microseconds tellInterval(const RunnerState &runner, const Session &session)
{
    if (!session.wantsRoom)
        return runner.settings.calmInterval;
    const auto wanting = std::count_if(runner.sessions.begin(), runner.sessions.end(),
                                       [](const auto &item) { return item.second.wantsRoom; });
    return runner.settings.roomInterval * std::max<std::ptrdiff_t>(1, wanting / 4);
}

// At once for what concerns this entry alone: its ends and refusals.
bool dueToTell(const RunnerState &runner, const Session &session, const jobs::Room &free,
               std::uint32_t most, Time now)
{
    const bool leaving = runner.endpoint.leaving || runner.stopping;
    if (session.dirty || session.toldCrash != runner.lastCrash
        || session.toldView != runner.viewNumber || leaving != session.toldLeaving
        || most != session.toldMostStarts)
        return true;
    if (session.refusedRoom && free.milliCores > session.toldFree.milliCores)
        return true;
    if (session.beat != session.toldBeat && now >= session.toldAt + runner.settings.calmInterval)
        return true;
    const bool changed = !(free == session.toldFree) || session.startsTaken != session.toldStarts;
    return changed && now >= session.toldAt + tellInterval(runner, session);
}

void tell(RunnerState &runner, std::uint64_t number, Session &session, const jobs::Room &free,
          std::uint32_t most, Time now, RunnerActions &actions)
{
    jobs::AgentUpdate update;
    update.beat = session.beat;
    update.startsTaken = session.startsTaken;
    update.free = free;
    update.mostStarts = most;
    update.paceMille = static_cast<std::uint32_t>(runner.life.pace * 1000);
    update.leaving = runner.endpoint.leaving || runner.stopping;
    update.waiting = waitingRows(runner);
    update.freedPerSecond = static_cast<std::uint32_t>(
            std::lround(perSecond(runner.freed, runner.settings.freedSpan, now)));
    update.ended.swap(session.ended);
    update.lagging.swap(session.lagging);
    if (session.toldView != runner.viewNumber)
        update.endpoint.push_back(viewOf(runner, now));
    update.crashed = crashesAfter(runner, session.toldCrash, now);
    session.toldCrash = runner.lastCrash;
    session.toldView = runner.viewNumber;
    session.toldBeat = session.beat;
    session.toldStarts = session.startsTaken;
    session.toldFree = free;
    session.toldMostStarts = most;
    session.toldLeaving = update.leaving;
    session.toldAt = now;
    session.dirty = false;
    session.refusedRoom = session.refusedRoom && free.milliCores <= 0;
    actions.updates.emplace_back(number, std::move(update));
}

void dropEndedSessions(RunnerState &runner)
{
    for (auto item = runner.sessions.begin(); item != runner.sessions.end();) {
        const bool hasRuns = std::any_of(runner.runs.begin(), runner.runs.end(),
                                         [&](const auto &run) {
                                             return run.second.session == item->first;
                                         });
        item = item->second.over && !hasRuns ? runner.sessions.erase(item) : std::next(item);
    }
}

bool leaseIsLeftToEnd(const RunnerState &runner, Time now)
{
    return std::any_of(runner.runs.begin(), runner.runs.end(), [&](const auto &item) {
        return item.second.state == RunState::Stopping
                && now >= item.second.stopSince + runner.settings.stopGivenUp;
    });
}

void orderLook(RunnerState &runner, Time now, RunnerActions &actions)
{
    if (runner.lookUnderWay || runner.endpoint.life.id.empty() || now < runner.nextLook)
        return;
    runner.lookUnderWay = true;
    LookOrder look;
    look.number = ++runner.lookNumber;
    look.fence = runner.fence;
    look.life = runner.endpoint.life.id;
    look.lastSeen = runner.life.lastSeen;
    const bool quick = !runner.life.clean || !runner.life.clockSample
            || runner.life.looksFailed > 0;
    const bool busy = !runner.runs.empty();
    const bool doubtful = runner.life.lookFailedAt
            && now < *runner.life.lookFailedAt + runner.settings.doubtfulSpan;
    look.wait = quick          ? Milliseconds(0)
            : busy && doubtful ? runner.settings.doubtfulWait
            : busy             ? runner.settings.busyWait
                               : runner.settings.idleWait;
    // Not while the endpoint is out of reach: its lease must come to an end that is known here.
    if (busy && !isOutOfReach(runner))
        look.deadline = leaseDeadline(runner, now);
    if (look.deadline)
        runner.life.leaseUntil = std::max(runner.life.leaseUntil, *look.deadline);
    actions.look = look;
}

} // namespace

std::optional<Milliseconds> leaseDeadline(const RunnerState &runner, Time now)
{
    if (!runner.life.clockSample || leaseIsLeftToEnd(runner, now))
        return std::nullopt;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - runner.life.clockAt);
    return *runner.life.clockSample + elapsed + runner.settings.leaseDuration;
}

void finishEvent(RunnerState &runner, Time now, RunnerActions &actions)
{
    dropEndedSessions(runner);
    startWaiting(runner, now, actions);
    if (onTrial(runner) != runner.wasOnTrial) {
        runner.wasOnTrial = onTrial(runner);
        actions.events.push_back(
                eventlog::change(runner.wasOnTrial ? "endpoint-on-trial" : "endpoint-trusted")
                        .with("life", runner.endpoint.life.id)
                        .with("bad_percent", static_cast<int>(runner.life.bad * 100))
                        .with("pace_percent", static_cast<int>(runner.life.pace * 100))
                        .with("runs", std::uint64_t { runner.runs.size() }));
    }
    const jobs::Room free = offeredRoom(runner);
    const std::uint32_t most = mostStarts(runner, now);
    for (auto &[number, session] : runner.sessions) {
        if (session.over)
            continue;
        if (!session.welcomed)
            welcome(runner, number, session, now, actions);
        else if (dueToTell(runner, session, free, most, now))
            tell(runner, number, session, free, most, now, actions);
    }
    orderLook(runner, now, actions);
}

} // namespace foxwing::runner
