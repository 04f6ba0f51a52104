/*
    Incarnations of the endpoint, and its heartbeats.

    An incarnation is identified by an id and a start time, since ids may be reused. Heartbeats and
    lists of runs both tell which incarnation is the current one; lists take precedence, since they
    are replies to a recent poll, while a heartbeat may be delayed.

    [SECTION] Identity
    [SECTION] Fences
    [SECTION] Incarnations
    [SECTION] Heartbeats
*/
#include "internal.h"

#include <algorithm>
#include <utility>

namespace foxwing::runner {

using eventlog::change;
using jobs::RefusedStart;
using jobs::RunEnd;
using jobs::RunId;

// [SECTION] Identity

bool operator==(const LifeId &left, const LifeId &right)
{
    return left.id == right.id && left.born == right.born;
}

bool operator!=(const LifeId &left, const LifeId &right)
{
    return !(left == right);
}

std::int64_t bornField(const std::optional<WallTime> &born)
{
    return born ? born->time_since_epoch().count() : 0;
}

// [SECTION] Fences

void raiseFence(RunnerState &runner, RunnerActions &actions)
{
    // Fences are milliseconds shifted left by ten bits. The first step makes up for a clock that
    // was a minute ahead; each further one is twice as large.
    constexpr std::uint64_t FirstStep = 60000ULL << 10U;
    constexpr std::uint32_t MostDoublings = 10;
    runner.fence += FirstStep << std::min(runner.fencedOff, MostDoublings);
    ++runner.fencedOff;
    actions.events.push_back(change("fence-raised").with("fence", runner.fence));
}

// Delayed start commands for one incarnation must not take effect in the next one, whose clock and
// run numbers don't reject them. With a higher fence they are rejected after the next poll.
static void fenceOffOrders(RunnerState &runner)
{
    ++runner.fence;
}

// [SECTION] Incarnations

void endAll(RunnerState &runner, RunEnd end, const char *why, Time now, RunnerActions &actions)
{
    if (runner.runs.empty() && runner.life.orphans.empty())
        return;
    actions.events.push_back(
            change("all-runs-over").with("why", why).with("runs", runner.runs.size()));
    fenceOffOrders(runner);
    while (!runner.runs.empty()) {
        const RunId id = runner.runs.begin()->first;
        endRun(runner, id, end, RefusedStart::None, now, actions);
    }
    runner.life.orphans.clear();
}

RunEnd endOfLife(const RunnerState &runner)
{
    return runner.endpoint.leaving ? RunEnd::Lost : RunEnd::Crashed;
}

namespace {

// Commands in flight while an endpoint restarted with the same id may have reached either
// incarnation. A run counts as lost only once the new incarnation, polled with a higher fence,
// doesn't list it; reported earlier, its task could be started elsewhere while it still runs.
void leaveRunsToNextList(RunnerState &runner)
{
    for (auto &[id, run] : runner.runs) {
        run.ofFormerLife = true;
        run.formerEnd = endOfLife(runner);
        run.goneIfMissingIn = runner.lookNumber + 1;
    }
    fenceOffOrders(runner);
}

void rememberFormerLife(RunnerState &runner)
{
    if (!runner.endpoint.life.id.empty())
        runner.formerLives.push_back(runner.endpoint.life);
    if (runner.formerLives.size() > runner.settings.mostFormerLives)
        runner.formerLives.pop_front();
}

bool isFormerLife(const RunnerState &runner, const LifeId &life)
{
    const std::deque<LifeId> &former = runner.formerLives;
    return std::find(former.begin(), former.end(), life) != former.end();
}

void beginLife(RunnerState &runner, const LifeId &life, const char *toldBy, Time now,
               RunnerActions &actions)
{
    actions.events.push_back(change("endpoint-life")
                                     .with("life", life.id)
                                     .with("born_ms", bornField(life.born))
                                     .with("before", runner.endpoint.life.id)
                                     .with("before_born_ms", bornField(runner.endpoint.life.born))
                                     .with("told_by", toldBy)
                                     .with("runs", runner.runs.size()));
    // The endpoint rejects commands for another id, so all runs are certainly lost.
    if (life.id == runner.endpoint.life.id)
        leaveRunsToNextList(runner);
    else
        endAll(runner, endOfLife(runner), "the endpoint has a new incarnation", now, actions);
    rememberFormerLife(runner);
    runner.endpoint = EndpointReport();
    runner.endpoint.life = life;
    runner.life = LifeState();
    runner.doubtful.reset();
    ++runner.viewNumber;
    // A pending poll was for the previous incarnation; its result is ignored.
    runner.lookUnderWay = false;
    runner.lookAnswered = runner.lookNumber;
    runner.nextLook = now;
}

// Applies a heartbeat of the current incarnation.
void describe(RunnerState &runner, const EndpointReport &report, Time now, RunnerActions &actions)
{
    const EndpointReport before = std::exchange(runner.endpoint, report);
    if (!std::exchange(runner.life.described, true))
        actions.events.push_back(change("endpoint-described")
                                         .with("life", report.life.id)
                                         .with("service", report.service)
                                         .with("data_centre", report.dataCentre)
                                         .with("milli_cores", report.capacity.milliCores)
                                         .with("megabytes", report.capacity.megabytes));
    const bool sameView = before.leaving == report.leaving && before.labels == report.labels
            && before.capacity == report.capacity && before.service == report.service
            && before.dataCentre == report.dataCentre;
    if (!sameView)
        ++runner.viewNumber;
    if (report.leaving && !before.leaving)
        actions.events.push_back(change("endpoint-leaving")
                                         .with("life", report.life.id)
                                         .with("remaining_ms", report.remaining)
                                         .with("runs", runner.runs.size()));
    takeClock(runner, { Answer::Ok, report.clock }, now);
}

} // namespace

void lifeListed(RunnerState &runner, const LifeId &life, Time now, RunnerActions &actions)
{
    const std::optional<EndpointReport> heard = runner.doubtful;
    beginLife(runner, life, "its list of runs", now, actions);
    if (heard && heard->life == life)
        describe(runner, *heard, now, actions);
}

// A candidate that arrived after the poll was sent is kept.
void lifeConfirmed(RunnerState &runner, std::uint64_t look)
{
    runner.life.answered = true;
    if (look > runner.doubtfulLook)
        runner.doubtful.reset();
}

void lifeDisowned(RunnerState &runner, Time now, RunnerActions &actions)
{
    // The endpoint's own reply outranks the order in which heartbeats arrived.
    runner.formerLives.clear();
    const std::optional<EndpointReport> heard = runner.doubtful;
    if (!heard || heard->life.id == runner.endpoint.life.id)
        return;
    beginLife(runner, heard->life, "a heartbeat, after the endpoint rejected the previous id", now,
              actions);
    describe(runner, *heard, now, actions);
}

// [SECTION] Heartbeats

namespace {

const char *whyNotOfThisLife(const RunnerState &runner, const EndpointReport &report)
{
    const EndpointReport &present = runner.endpoint;
    if (report.sequence < present.sequence)
        return "older than the last heartbeat received";
    // An incarnation keeps its service and data centre. If a foreign heartbeat were accepted, its
    // sequence number could make the endpoint's own heartbeats look outdated.
    const bool moved = report.service != present.service || report.dataCentre != present.dataCentre;
    return runner.life.described && moved ? "it changes the service or data centre" : nullptr;
}

// Why a heartbeat is ignored; null if it is accepted.
const char *whyPassedOver(const RunnerState &runner, const EndpointReport &report)
{
    const LifeId &present = runner.endpoint.life;
    if (present.id.empty())
        return nullptr;
    if (report.life == present)
        return whyNotOfThisLife(runner, report);
    if (isFormerLife(runner, report.life))
        return "from a previous incarnation";
    if (report.life.id == present.id && !report.life.born)
        return "it has no start time";
    if (report.life.born && present.born && *report.life.born < *present.born)
        return "its incarnation started before the current one";
    // A valid heartbeat with another id must not displace an endpoint that works.
    if (report.life.id != present.id && runner.life.answered && runner.life.looksFailed == 0)
        return "the current incarnation is reachable";
    return nullptr;
}

// Logged, at a limited rate, since the sender gets a positive reply nevertheless.
void logPassedOver(RunnerState &runner, const EndpointReport &report, const char *why, Time now,
                   RunnerActions &actions)
{
    ++runner.heartbeatsPassedOver;
    if (now >= runner.passedOverSecond + Seconds(1)) {
        runner.passedOverSecond = now;
        runner.passedOverLines = 0;
    }
    if (++runner.passedOverLines > runner.settings.passedOverLines)
        return;
    actions.events.push_back(change("heartbeat-passed-over")
                                     .with("why", why)
                                     .with("life", report.life.id)
                                     .with("born_ms", bornField(report.life.born))
                                     .with("sequence", report.sequence)
                                     .with("leaving", report.leaving ? 1 : 0)
                                     .with("present", runner.endpoint.life.id)
                                     .with("present_born_ms", bornField(runner.endpoint.life.born))
                                     .with("present_sequence", runner.endpoint.sequence)
                                     .with("total", runner.heartbeatsPassedOver));
}

// Keeps the heartbeat of a possible next incarnation until a poll confirms or rejects it.
void keepDoubtful(RunnerState &runner, const EndpointReport &report)
{
    if (report.life == runner.endpoint.life || isFormerLife(runner, report.life))
        return;
    const bool older = runner.doubtful && runner.doubtful->life == report.life
            && report.sequence < runner.doubtful->sequence;
    if (older)
        return;
    runner.doubtful = report;
    runner.doubtfulLook = runner.lookNumber;
}

} // namespace

RunnerActions endpointHeard(RunnerState &runner, const EndpointReport &report, Time now)
{
    RunnerActions actions;
    if (const char *why = whyPassedOver(runner, report)) {
        logPassedOver(runner, report, why, now, actions);
        keepDoubtful(runner, report);
        return actions;
    }
    if (report.life != runner.endpoint.life)
        beginLife(runner, report.life, "a heartbeat", now, actions);
    describe(runner, report, now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions endpointLeft(RunnerState &runner, const LifeId &life, Time now)
{
    RunnerActions actions;
    const LifeId &present = runner.endpoint.life;
    const bool isPresent = life == present || (life.id == present.id && !life.born);
    if (isPresent && !life.id.empty()) {
        actions.events.push_back(change("endpoint-left").with("life", life.id));
        runner.endpoint.leaving = true;
        ++runner.viewNumber;
    }
    finishEvent(runner, now, actions);
    return actions;
}

} // namespace foxwing::runner
