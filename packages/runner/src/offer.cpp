/*
    What the runner offers to entries, and what it tells them.

    [SECTION] Offer
    [SECTION] Telling
    [SECTION] Judgement
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

// [SECTION] Offer

bool isOutOfReach(const RunnerState &runner)
{
    return runner.looksFailed >= runner.settings.looksBeforeOutOfReach;
}

namespace {

// More starts than any endpoint has room for.
constexpr std::uint32_t AnyNumber = 10000;

bool mayStart(const RunnerState &runner)
{
    return !runner.endpoint.life.empty() && !runner.endpoint.leaving && !runner.stopping
            && runner.clean && runner.clockSample && !isOutOfReach(runner);
}

} // namespace

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

bool onTrial(const RunnerState &runner)
{
    return runner.settings.judgeEndpoint && runner.bad >= runner.settings.trialAbove;
}

std::uint32_t mostStarts(const RunnerState &runner, Time now)
{
    // An entry must not be told of room while every start would be refused: it would send again
    // at once, and again.
    if (!mayStart(runner) || !leaseDeadline(runner, now))
        return 0;
    if (!onTrial(runner))
        return AnyNumber;
    const bool rested = now >= runner.badAt + runner.settings.trialRest;
    return runner.runs.empty() && rested ? 1 : 0;
}

jobs::EndpointView viewOf(const RunnerState &runner, Time now)
{
    jobs::EndpointView view;
    view.life = runner.endpoint.life;
    view.service = runner.endpoint.service;
    view.dataCentre = runner.endpoint.dataCentre;
    view.labels = runner.endpoint.labels;
    view.capacity = runner.endpoint.capacity;
    view.free = offeredRoom(runner);
    view.mostStarts = mostStarts(runner, now);
    view.paceMille = static_cast<std::uint32_t>(runner.pace * 1000);
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
    if (!runner.clean || ownerHasOtherRuns(runner, number, session))
        return;
    session.welcomed = true;
    session.toldView = runner.viewNumber;
    jobs::Welcome message;
    message.incarnation = runner.incarnation;
    message.endpoint = viewOf(runner, now);
    session.toldFree = message.endpoint.free;
    session.toldMostStarts = message.endpoint.mostStarts;
    session.toldLeaving = message.endpoint.leaving;
    session.toldAt = now;
    actions.welcomes.emplace_back(number, std::move(message));
}

// At once for what concerns this entry; for the rest at intervals that grow with the entries, so
// that an agent's work for telling room does not.
bool dueToTell(const RunnerState &runner, const Session &session, const jobs::Room &free,
               std::uint32_t most, Time now)
{
    const bool changed = !(free == session.toldFree) || most != session.toldMostStarts;
    const bool leaving = runner.endpoint.leaving || runner.stopping;
    if (session.dirty || session.toldView != runner.viewNumber || leaving != session.toldLeaving
        || session.beat != session.toldBeat)
        return true;
    if (changed && session.refusedRoom && free.milliCores > session.toldFree.milliCores)
        return true;
    const auto interval = runner.settings.roomInterval
            * std::max<std::size_t>(1, runner.sessions.size() / 4);
    return changed && now >= session.toldAt + interval;
}

void tell(RunnerState &runner, std::uint64_t number, Session &session, const jobs::Room &free,
          std::uint32_t most, Time now, RunnerActions &actions)
{
    jobs::AgentUpdate update;
    update.beat = session.beat;
    update.startsTaken = session.startsTaken;
    update.free = free;
    update.mostStarts = most;
    update.paceMille = static_cast<std::uint32_t>(runner.pace * 1000);
    update.leaving = runner.endpoint.leaving || runner.stopping;
    update.ended.swap(session.ended);
    update.lagging.swap(session.lagging);
    if (session.toldView != runner.viewNumber)
        update.endpoint.push_back(viewOf(runner, now));
    session.toldView = runner.viewNumber;
    session.toldBeat = session.beat;
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
    if (runner.lookUnderWay || runner.endpoint.life.empty() || now < runner.nextLook)
        return;
    runner.lookUnderWay = true;
    LookOrder look;
    look.number = ++runner.lookNumber;
    look.fence = runner.fence;
    look.life = runner.endpoint.life;
    look.lastSeen = runner.lastSeen;
    const bool quick = !runner.clean || !runner.clockSample || runner.looksFailed > 0;
    const bool busy = !runner.runs.empty();
    const bool doubtful = runner.lookFailedAt
            && now < *runner.lookFailedAt + runner.settings.doubtfulSpan;
    look.wait = quick          ? Milliseconds(0)
            : busy && doubtful ? runner.settings.doubtfulWait
            : busy             ? runner.settings.busyWait
                               : runner.settings.idleWait;
    // Not while the endpoint is out of reach: its lease must come to an end that is known here.
    if (busy && !isOutOfReach(runner))
        look.deadline = leaseDeadline(runner, now);
    if (look.deadline)
        runner.leaseUntil = std::max(runner.leaseUntil, *look.deadline);
    actions.look = look;
}

} // namespace

std::optional<Milliseconds> leaseDeadline(const RunnerState &runner, Time now)
{
    if (!runner.clockSample || leaseIsLeftToEnd(runner, now))
        return std::nullopt;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - runner.clockAt);
    return *runner.clockSample + elapsed + runner.settings.leaseSpan;
}

void finishEvent(RunnerState &runner, Time now, RunnerActions &actions)
{
    dropEndedSessions(runner);
    startWaiting(runner, now, actions);
    if (onTrial(runner) != runner.wasOnTrial) {
        runner.wasOnTrial = onTrial(runner);
        actions.events.push_back(
                eventlog::change(runner.wasOnTrial ? "endpoint-on-trial" : "endpoint-trusted")
                        .with("life", runner.endpoint.life)
                        .with("bad_percent", static_cast<int>(runner.bad * 100))
                        .with("pace_percent", static_cast<int>(runner.pace * 100))
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

// [SECTION] Judgement

void noteGood(RunnerState &runner, const Run &run, Milliseconds took)
{
    // One odd run moves the pace by a twentieth at the most five-fold.
    constexpr double Weight = 0.05;
    constexpr double Least = 0.2;
    constexpr double Most = 5.0;
    if (!run.lagged)
        runner.bad *= runner.settings.goodFactor;
    if (run.estimate.count() <= 0)
        return;
    const double ratio = static_cast<double>(took.count())
            / static_cast<double>(run.estimate.count());
    runner.pace += Weight * (std::clamp(ratio, Least, Most) - runner.pace);
}

void noteBad(RunnerState &runner, Time now)
{
    runner.bad = std::min(1.0, runner.bad + runner.settings.badStep);
    runner.badAt = now;
}

void noteProgress(RunnerState &runner, Run &run, std::uint32_t percent, Time now)
{
    if (percent != run.percent) {
        run.percent = percent;
        run.progressAt = now;
    }
    run.behind = false;
    run.still = false;
    const Microseconds ran = now - run.startedAt;
    if (run.state != RunState::Running || ran < runner.settings.judgeAfter)
        return;
    run.still = now - run.progressAt > runner.settings.stillAfter + run.estimate / 10;
    const Microseconds whole = percent > 0 ? ran * 100 / percent : Microseconds(0);
    const Microseconds most = run.estimate * runner.settings.behindPercent / 100
            + runner.settings.judgeAfter;
    run.behind = run.still || whole > most;
    run.left = run.still ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(whole - ran);
}

namespace {

// Whether most runs are behind, of more than one job: estimates are wrong for one job at a time.
bool endpointIsSlow(const RunnerState &runner, Time now)
{
    std::size_t judged = 0;
    std::size_t behind = 0;
    std::set<std::string> jobs;
    for (const auto &[id, run] : runner.runs) {
        if (run.state != RunState::Running || now < run.startedAt + runner.settings.judgeAfter)
            continue;
        ++judged;
        behind += run.behind ? 1 : 0;
        if (run.behind)
            jobs.insert(id.task.job);
    }
    return jobs.size() > 1 && behind * 2 >= judged;
}

void tellLag(RunnerState &runner, const jobs::RunId &id, Run &run, bool slow, Time now,
             RunnerActions &actions)
{
    if (run.lagged && now < run.lagToldAt + runner.settings.lagRepeat)
        return;
    if (!run.lagged && (run.still || slow))
        noteBad(runner, now);
    run.lagged = true;
    run.lagToldAt = now;
    const auto session = runner.sessions.find(run.session);
    if (session == runner.sessions.end())
        return;
    session->second.lagging.push_back({ id, run.left, run.still, slow });
    session->second.dirty = true;
    actions.events.push_back(eventlog::Event("run-behind")
                                     .with("request", id.task.job)
                                     .with("step", id.task.step)
                                     .with("index", id.task.index)
                                     .with("run", id.run)
                                     .with("percent", run.percent)
                                     .with("ran_ms", now - run.startedAt)
                                     .with("estimate_ms", run.estimate)
                                     .with("progress_age_ms", now - run.progressAt)
                                     .with("endpoint_slow", slow ? 1 : 0));
}

} // namespace

void judgeRuns(RunnerState &runner, Time now, RunnerActions &actions)
{
    const bool slow = endpointIsSlow(runner, now);
    for (auto &[id, run] : runner.runs) {
        if (run.behind)
            tellLag(runner, id, run, slow, now, actions);
    }
}

} // namespace foxwing::runner
