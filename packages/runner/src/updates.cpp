/*
    Capacity of the endpoint, updates to entries, polls, and the end of each event.

    [SECTION] Capacity
    [SECTION] Updates
    [SECTION] Polls
    [SECTION] Events
*/
#include "internal.h"

#include <algorithm>
#include <cmath>

namespace foxwing::runner {

// [SECTION] Capacity

bool isUnreachable(const RunnerState &runner)
{
    return runner.incarnationState.failedPolls >= runner.settings.maxFailedPolls;
}

namespace {

// More starts than fit on any endpoint.
constexpr std::uint32_t UnlimitedStarts = 10000;

bool mayStart(const RunnerState &runner)
{
    return runner.incarnationState.described && !runner.endpoint.leaving && !runner.stopping
            && runner.incarnationState.clean && runner.incarnationState.clockSample
            && !isUnreachable(runner) && runner.cordonsKnown && !isCordoned(runner);
}

} // namespace

bool isCordoned(const RunnerState &runner)
{
    return catalog::isCordoned(runner.cordons, runner.endpoint.dataCentre);
}

jobs::ResourceVector freeCapacity(const RunnerState &runner)
{
    if (!mayStart(runner))
        return {};
    jobs::ResourceVector free = runner.endpoint.capacity;
    for (const auto &[id, run] : runner.runs)
        free -= run.demand;
    return free;
}

// Negative while waiting starts need more than is free.
static jobs::ResourceVector availableCapacity(const RunnerState &runner)
{
    jobs::ResourceVector free = freeCapacity(runner);
    for (const WaitingStart &start : runner.waiting)
        free -= start.demand;
    return free;
}

Microseconds oldestRunAge(const RunnerState &runner, Time now)
{
    Microseconds oldest { 0 };
    for (const auto &[id, run] : runner.runs)
        oldest = std::max(oldest, now - run.startSentAt);
    return oldest;
}

std::uint32_t maxStarts(const RunnerState &runner, Time now)
{
    // While every start would be refused no capacity may be reported: the entry would retry at
    // once, over and over.
    if (!mayStart(runner) || !leaseDeadline(runner, now))
        return 0;
    if (!isOnProbation(runner))
        return UnlimitedStarts;
    const bool pauseOver = now
            >= runner.incarnationState.lastFaultAt + runner.settings.probationPause;
    return runner.runs.empty() && pauseOver ? 1 : 0;
}

jobs::EndpointView makeEndpointView(const RunnerState &runner, Time now)
{
    jobs::EndpointView view;
    view.endpointIncarnation = runner.endpoint.endpointIncarnation.id;
    view.service = runner.endpoint.service;
    view.dataCentre = runner.endpoint.dataCentre;
    view.labels = runner.endpoint.labels;
    view.capacity = runner.endpoint.capacity;
    view.free = availableCapacity(runner);
    view.maxStarts = maxStarts(runner, now);
    view.slowdownPermille = static_cast<std::uint32_t>(runner.incarnationState.slowdown * 1000);
    view.leaving = runner.endpoint.leaving || runner.stopping;
    return view;
}

// [SECTION] Updates

namespace {

bool ownerHasOtherRuns(const RunnerState &runner, std::uint64_t number, const Session &session)
{
    return std::any_of(runner.runs.begin(), runner.runs.end(), [&](const auto &item) {
        const auto owner = runner.sessions.find(item.second.session);
        return item.second.session != number && owner != runner.sessions.end()
                && owner->second.owner == session.owner;
    });
}

void acceptSession(RunnerState &runner, std::uint64_t number, Session &session, Time now,
                   RunnerActions &actions)
{
    if (!runner.incarnationState.clean || ownerHasOtherRuns(runner, number, session))
        return;
    session.accepted = true;
    session.reportedViewVersion = runner.viewVersion;
    jobs::SessionAccepted message;
    message.incarnation = runner.incarnation;
    message.endpoint = makeEndpointView(runner, now);
    message.crashed = crashesAfter(runner, 0, now);
    session.reportedCrash = runner.lastCrash;
    session.reportedFree = message.endpoint.free;
    session.reportedMaxStarts = message.endpoint.maxStarts;
    session.reportedLeaving = message.endpoint.leaving;
    session.lastSentAt = now;
    actions.acceptances.emplace_back(number, std::move(message));
}

// Longest delay of a capacity update. Grows with the number of entries that need capacity, so that
// the total number of updates doesn't.
Microseconds updateInterval(const RunnerState &runner, const Session &session)
{
    if (!session.needsCapacity)
        return runner.settings.idleUpdateInterval;
    const auto waitingEntries = std::count_if(runner.sessions.begin(), runner.sessions.end(),
                                              [](const auto &item) {
                                                  return item.second.needsCapacity;
                                              });
    return runner.settings.capacityUpdateInterval * std::max<std::ptrdiff_t>(1, waitingEntries / 4);
}

// Ends, refusals and changes of the endpoint's state are reported at once; free capacity and
// acknowledged heartbeats with a delay.
bool isUpdateDue(const RunnerState &runner, const Session &session,
                 const jobs::ResourceVector &free, std::uint32_t startLimit, Time now)
{
    const bool leaving = runner.endpoint.leaving || runner.stopping;
    if (session.dirty || session.reportedCrash != runner.lastCrash
        || session.reportedViewVersion != runner.viewVersion || leaving != session.reportedLeaving
        || startLimit != session.reportedMaxStarts)
        return true;
    if (session.refusedForCapacity && free.milliCores > session.reportedFree.milliCores)
        return true;
    if (session.heartbeat != session.reportedHeartbeat
        && now >= session.lastSentAt + runner.settings.idleUpdateInterval)
        return true;
    const bool changed = !(free == session.reportedFree)
            || session.startsHandled != session.reportedStarts;
    return changed && now >= session.lastSentAt + updateInterval(runner, session);
}

void sendUpdate(RunnerState &runner, std::uint64_t number, Session &session,
                const jobs::ResourceVector &free, std::uint32_t startLimit, Time now,
                RunnerActions &actions)
{
    jobs::AgentUpdate update;
    update.heartbeat = session.heartbeat;
    update.startsHandled = session.startsHandled;
    update.free = free;
    update.maxStarts = startLimit;
    update.slowdownPermille = static_cast<std::uint32_t>(runner.incarnationState.slowdown * 1000);
    update.leaving = runner.endpoint.leaving || runner.stopping;
    update.waiting = backlogRows(runner);
    update.freedPerSecond = static_cast<std::uint32_t>(
            std::lround(perSecond(runner.freed, runner.settings.freedWindow, now)));
    update.ended.swap(session.ended);
    update.stragglers.swap(session.stragglers);
    if (session.reportedViewVersion != runner.viewVersion)
        update.endpoint.push_back(makeEndpointView(runner, now));
    update.crashed = crashesAfter(runner, session.reportedCrash, now);
    session.reportedCrash = runner.lastCrash;
    session.reportedViewVersion = runner.viewVersion;
    session.reportedHeartbeat = session.heartbeat;
    session.reportedStarts = session.startsHandled;
    session.reportedFree = free;
    session.reportedMaxStarts = startLimit;
    session.reportedLeaving = update.leaving;
    session.lastSentAt = now;
    session.dirty = false;
    session.refusedForCapacity = session.refusedForCapacity && free.milliCores <= 0;
    actions.updates.emplace_back(number, std::move(update));
}

void eraseClosedSessions(RunnerState &runner)
{
    for (auto item = runner.sessions.begin(); item != runner.sessions.end();) {
        const bool hasRuns = std::any_of(runner.runs.begin(), runner.runs.end(),
                                         [&](const auto &run) {
                                             return run.second.session == item->first;
                                         });
        item = item->second.closed && !hasRuns ? runner.sessions.erase(item) : std::next(item);
    }
}

// [SECTION] Polls

bool leaseMustExpire(const RunnerState &runner, Time now)
{
    return std::any_of(runner.runs.begin(), runner.runs.end(), [&](const auto &item) {
        return item.second.state == RunState::Stopping
                && now >= item.second.stoppingSince + runner.settings.stopTimeout;
    });
}

void sendPoll(RunnerState &runner, Time now, RunnerActions &actions)
{
    if (runner.pollPending || runner.endpoint.endpointIncarnation.id.empty()
        || now < runner.nextPollAt)
        return;
    runner.pollPending = true;
    PollCommand poll;
    poll.number = ++runner.pollNumber;
    poll.fence = runner.fence;
    poll.endpointIncarnation = runner.endpoint.endpointIncarnation.id;
    poll.lastSeenEnd = runner.incarnationState.lastSeenEnd;
    const bool immediate = !runner.incarnationState.clean || !runner.incarnationState.clockSample
            || runner.incarnationState.failedPolls > 0;
    const bool busy = !runner.runs.empty();
    const bool recentFailure = runner.incarnationState.pollFailedAt
            && now < *runner.incarnationState.pollFailedAt + runner.settings.pollFailureWindow;
    poll.wait = immediate           ? Milliseconds(0)
            : busy && recentFailure ? runner.settings.cautiousPollWait
            : busy                  ? runner.settings.busyPollWait
                                    : runner.settings.idlePollWait;
    // The lease isn't renewed while the endpoint is unreachable, so that its end is known here.
    if (busy && !isUnreachable(runner))
        poll.deadline = leaseDeadline(runner, now);
    if (poll.deadline)
        runner.incarnationState.leaseUntil = std::max(runner.incarnationState.leaseUntil,
                                                      *poll.deadline);
    actions.poll = poll;
}

} // namespace

std::optional<Milliseconds> leaseDeadline(const RunnerState &runner, Time now)
{
    if (!runner.incarnationState.clockSample || leaseMustExpire(runner, now))
        return std::nullopt;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(
            now - runner.incarnationState.clockSampledAt);
    return *runner.incarnationState.clockSample + elapsed + runner.settings.leaseDuration;
}

// [SECTION] Events

void finishEvent(RunnerState &runner, Time now, RunnerActions &actions)
{
    eraseClosedSessions(runner);
    startWaiting(runner, now, actions);
    if (isOnProbation(runner) != runner.wasOnProbation) {
        runner.wasOnProbation = isOnProbation(runner);
        actions.events.push_back(
                eventlog::change(runner.wasOnProbation ? "endpoint-on-trial" : "endpoint-trusted")
                        .with("life", runner.endpoint.endpointIncarnation.id)
                        .with("bad_percent",
                              static_cast<int>(runner.incarnationState.faultScore * 100))
                        .with("pace_percent",
                              static_cast<int>(runner.incarnationState.slowdown * 100))
                        .with("runs", std::uint64_t { runner.runs.size() }));
    }
    const jobs::ResourceVector free = availableCapacity(runner);
    const std::uint32_t startLimit = maxStarts(runner, now);
    for (auto &[number, session] : runner.sessions) {
        if (session.closed)
            continue;
        if (!session.accepted)
            acceptSession(runner, number, session, now, actions);
        else if (isUpdateDue(runner, session, free, startLimit, now))
            sendUpdate(runner, number, session, free, startLimit, now, actions);
    }
    sendPoll(runner, now, actions);
}

} // namespace foxwing::runner
