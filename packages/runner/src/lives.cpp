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
using jobs::RunId;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Identity

bool operator==(const IncarnationId &left, const IncarnationId &right)
{
    return left.id == right.id && left.startedAt == right.startedAt;
}

bool operator!=(const IncarnationId &left, const IncarnationId &right)
{
    return !(left == right);
}

std::int64_t bornField(const std::optional<WallTime> &startedAt)
{
    return startedAt ? startedAt->time_since_epoch().count() : 0;
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

void endAll(RunnerState &runner, RunOutcome end, const char *why, Time now, RunnerActions &actions)
{
    if (runner.runs.empty() && runner.endpointIncarnation.orphans.empty())
        return;
    actions.events.push_back(
            change("all-runs-over").with("why", why).with("runs", runner.runs.size()));
    fenceOffOrders(runner);
    while (!runner.runs.empty()) {
        const RunId id = runner.runs.begin()->first;
        endRun(runner, id, end, StartRefusal::None, now, actions);
    }
    runner.endpointIncarnation.orphans.clear();
}

RunOutcome endOfLife(const RunnerState &runner)
{
    return runner.endpoint.leaving ? RunOutcome::Lost : RunOutcome::Crashed;
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
        run.goneIfMissingIn = runner.pollNumber + 1;
    }
    fenceOffOrders(runner);
}

void rememberFormerLife(RunnerState &runner)
{
    if (!runner.endpoint.endpointIncarnation.id.empty())
        runner.previousIncarnations.push_back(runner.endpoint.endpointIncarnation);
    if (runner.previousIncarnations.size() > runner.settings.mostFormerLives)
        runner.previousIncarnations.pop_front();
}

bool isFormerLife(const RunnerState &runner, const IncarnationId &endpointIncarnation)
{
    const std::deque<IncarnationId> &former = runner.previousIncarnations;
    return std::find(former.begin(), former.end(), endpointIncarnation) != former.end();
}

void beginLife(RunnerState &runner, const IncarnationId &endpointIncarnation, const char *toldBy,
               Time now, RunnerActions &actions)
{
    actions.events.push_back(change("endpoint-life")
                                     .with("life", endpointIncarnation.id)
                                     .with("born_ms", bornField(endpointIncarnation.startedAt))
                                     .with("before", runner.endpoint.endpointIncarnation.id)
                                     .with("before_born_ms",
                                           bornField(runner.endpoint.endpointIncarnation.startedAt))
                                     .with("told_by", toldBy)
                                     .with("runs", runner.runs.size()));
    // The endpoint rejects commands for another id, so all runs are certainly lost.
    if (endpointIncarnation.id == runner.endpoint.endpointIncarnation.id)
        leaveRunsToNextList(runner);
    else
        endAll(runner, endOfLife(runner), "the endpoint has a new incarnation", now, actions);
    rememberFormerLife(runner);
    runner.endpoint = EndpointReport();
    runner.endpoint.endpointIncarnation = endpointIncarnation;
    runner.endpointIncarnation = IncarnationState();
    runner.doubtful.reset();
    ++runner.viewNumber;
    // A pending poll was for the previous incarnation; its result is ignored.
    runner.lookUnderWay = false;
    runner.lastAnsweredPoll = runner.pollNumber;
    runner.nextLook = now;
}

// Applies a heartbeat of the current incarnation.
void describe(RunnerState &runner, const EndpointReport &report, Time now, RunnerActions &actions)
{
    const EndpointReport before = std::exchange(runner.endpoint, report);
    if (!std::exchange(runner.endpointIncarnation.described, true))
        actions.events.push_back(change("endpoint-described")
                                         .with("life", report.endpointIncarnation.id)
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
                                         .with("life", report.endpointIncarnation.id)
                                         .with("remaining_ms", report.remaining)
                                         .with("runs", runner.runs.size()));
    takeClock(runner, { CommandStatus::Ok, report.clock }, now);
}

} // namespace

void lifeListed(RunnerState &runner, const IncarnationId &endpointIncarnation, Time now,
                RunnerActions &actions)
{
    const std::optional<EndpointReport> heard = runner.doubtful;
    beginLife(runner, endpointIncarnation, "its list of runs", now, actions);
    if (heard && heard->endpointIncarnation == endpointIncarnation)
        describe(runner, *heard, now, actions);
}

// A candidate that arrived after the poll was sent is kept.
void lifeConfirmed(RunnerState &runner, std::uint64_t poll)
{
    runner.endpointIncarnation.responded = true;
    if (poll > runner.doubtfulLook)
        runner.doubtful.reset();
}

void lifeDisowned(RunnerState &runner, Time now, RunnerActions &actions)
{
    // The endpoint's own reply outranks the order in which heartbeats arrived.
    runner.previousIncarnations.clear();
    const std::optional<EndpointReport> heard = runner.doubtful;
    if (!heard || heard->endpointIncarnation.id == runner.endpoint.endpointIncarnation.id)
        return;
    beginLife(runner, heard->endpointIncarnation,
              "a heartbeat, after the endpoint rejected the previous id", now, actions);
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
    return runner.endpointIncarnation.described && moved ? "it changes the service or data centre"
                                                         : nullptr;
}

// Why a heartbeat is ignored; null if it is accepted.
const char *whyPassedOver(const RunnerState &runner, const EndpointReport &report)
{
    const IncarnationId &present = runner.endpoint.endpointIncarnation;
    if (present.id.empty())
        return nullptr;
    if (report.endpointIncarnation == present)
        return whyNotOfThisLife(runner, report);
    if (isFormerLife(runner, report.endpointIncarnation))
        return "from a previous incarnation";
    if (report.endpointIncarnation.id == present.id && !report.endpointIncarnation.startedAt)
        return "it has no start time";
    if (report.endpointIncarnation.startedAt && present.startedAt
        && *report.endpointIncarnation.startedAt < *present.startedAt)
        return "its incarnation started before the current one";
    // A valid heartbeat with another id must not displace an endpoint that works.
    if (report.endpointIncarnation.id != present.id && runner.endpointIncarnation.responded
        && runner.endpointIncarnation.looksFailed == 0)
        return "the current incarnation is reachable";
    return nullptr;
}

// Logged, at a limited rate, since the sender gets a positive reply nevertheless.
void logPassedOver(RunnerState &runner, const EndpointReport &report, const char *why, Time now,
                   RunnerActions &actions)
{
    ++runner.ignoredHeartbeats;
    if (now >= runner.passedOverSecond + Seconds(1)) {
        runner.passedOverSecond = now;
        runner.passedOverLines = 0;
    }
    if (++runner.passedOverLines > runner.settings.passedOverLines)
        return;
    actions.events.push_back(
            change("heartbeat-passed-over")
                    .with("why", why)
                    .with("life", report.endpointIncarnation.id)
                    .with("born_ms", bornField(report.endpointIncarnation.startedAt))
                    .with("sequence", report.sequence)
                    .with("leaving", report.leaving ? 1 : 0)
                    .with("present", runner.endpoint.endpointIncarnation.id)
                    .with("present_born_ms",
                          bornField(runner.endpoint.endpointIncarnation.startedAt))
                    .with("present_sequence", runner.endpoint.sequence)
                    .with("total", runner.ignoredHeartbeats));
}

// Keeps the heartbeat of a possible next incarnation until a poll confirms or rejects it.
void keepDoubtful(RunnerState &runner, const EndpointReport &report)
{
    if (report.endpointIncarnation == runner.endpoint.endpointIncarnation
        || isFormerLife(runner, report.endpointIncarnation))
        return;
    const bool older = runner.doubtful
            && runner.doubtful->endpointIncarnation == report.endpointIncarnation
            && report.sequence < runner.doubtful->sequence;
    if (older)
        return;
    runner.doubtful = report;
    runner.doubtfulLook = runner.pollNumber;
}

} // namespace

RunnerActions handleHeartbeat(RunnerState &runner, const EndpointReport &report, Time now)
{
    RunnerActions actions;
    if (const char *why = whyPassedOver(runner, report)) {
        logPassedOver(runner, report, why, now, actions);
        keepDoubtful(runner, report);
        return actions;
    }
    if (report.endpointIncarnation != runner.endpoint.endpointIncarnation)
        beginLife(runner, report.endpointIncarnation, "a heartbeat", now, actions);
    describe(runner, report, now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions handleDeregistration(RunnerState &runner, const IncarnationId &endpointIncarnation,
                                   Time now)
{
    RunnerActions actions;
    const IncarnationId &present = runner.endpoint.endpointIncarnation;
    const bool isPresent = endpointIncarnation == present
            || (endpointIncarnation.id == present.id && !endpointIncarnation.startedAt);
    if (isPresent && !endpointIncarnation.id.empty()) {
        actions.events.push_back(change("endpoint-left").with("life", endpointIncarnation.id));
        runner.endpoint.leaving = true;
        ++runner.viewNumber;
    }
    finishEvent(runner, now, actions);
    return actions;
}

} // namespace foxwing::runner
