/*
    Lives of the endpoint, and its heartbeats.

    A life is an id and the date at which it began. An id may come again: what the present life is,
    its heartbeats and its lists of runs tell together, and the lists go first, since they answer a
    question that was asked just now.

    [SECTION] Names
    [SECTION] Fences
    [SECTION] Lives
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

// [SECTION] Names

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
    // The first step spans a clock that was a minute ahead, for fences made of milliseconds and ten
    // more bits; each further one is twice as far.
    constexpr std::uint64_t FirstStep = 60000ULL << 10U;
    constexpr std::uint32_t MostDoublings = 10;
    runner.fence += FirstStep << std::min(runner.fencedOff, MostDoublings);
    ++runner.fencedOff;
    actions.events.push_back(change("fence-raised").with("fence", runner.fence));
}

// What was ordered until now and is carried out late must not begin in another life of the
// endpoint, whose clock and run numbers do not keep it out: that life takes nothing with a lower
// fence once it was looked at with this one.
static void fenceOffOrders(RunnerState &runner)
{
    ++runner.fence;
}

// [SECTION] Lives

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

// Orders that were on their way when an endpoint began again under its id may have reached either
// life. A run counts as lost once a list of the new life, asked for with a higher fence, does not
// show it: told so before, its task could begin elsewhere beside it.
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
    // An order for another id is refused by the endpoint, so what it ran is lost for certain.
    if (endpointIncarnation.id == runner.endpoint.endpointIncarnation.id)
        leaveRunsToNextList(runner);
    else
        endAll(runner, endOfLife(runner), "another life of the endpoint", now, actions);
    rememberFormerLife(runner);
    runner.endpoint = EndpointReport();
    runner.endpoint.endpointIncarnation = endpointIncarnation;
    runner.endpointIncarnation = IncarnationState();
    runner.doubtful.reset();
    ++runner.viewNumber;
    // A look that is under way was for the other life; its answer is not waited for.
    runner.lookUnderWay = false;
    runner.handlePollResult = runner.pollNumber;
    runner.nextLook = now;
}

// Takes over what a heartbeat of the present life says.
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

// Called for each look that was answered; a report that came after the look was ordered stays.
void lifeConfirmed(RunnerState &runner, std::uint64_t poll)
{
    runner.endpointIncarnation.result = true;
    if (poll > runner.doubtfulLook)
        runner.doubtful.reset();
}

void lifeDisowned(RunnerState &runner, Time now, RunnerActions &actions)
{
    // The endpoint's own word goes before the order in which heartbeats came.
    runner.previousIncarnations.clear();
    const std::optional<EndpointReport> heard = runner.doubtful;
    if (!heard || heard->endpointIncarnation.id == runner.endpoint.endpointIncarnation.id)
        return;
    beginLife(runner, heard->endpointIncarnation, "a heartbeat, after the other life was disowned",
              now, actions);
    describe(runner, *heard, now, actions);
}

// [SECTION] Heartbeats

namespace {

const char *whyNotOfThisLife(const RunnerState &runner, const EndpointReport &report)
{
    const EndpointReport &present = runner.endpoint;
    if (report.sequence < present.sequence)
        return "older than the last one heard";
    // One life serves one service, in one place. Taken over from another writer, the number of its
    // heartbeat would have the endpoint's own ones passed over as well.
    const bool moved = report.service != present.service || report.dataCentre != present.dataCentre;
    return runner.endpointIncarnation.described && moved
            ? "a life keeps its service and data centre"
            : nullptr;
}

// Why a heartbeat changes nothing; null if it counts.
const char *whyPassedOver(const RunnerState &runner, const EndpointReport &report)
{
    const IncarnationId &present = runner.endpoint.endpointIncarnation;
    if (present.id.empty())
        return nullptr;
    if (report.endpointIncarnation == present)
        return whyNotOfThisLife(runner, report);
    if (isFormerLife(runner, report.endpointIncarnation))
        return "of a former life";
    if (report.endpointIncarnation.id == present.id && !report.endpointIncarnation.startedAt)
        return "it does not say of which life";
    if (report.endpointIncarnation.startedAt && present.startedAt
        && *report.endpointIncarnation.startedAt < *present.startedAt)
        return "its life began before the present one";
    // A report under another id, however whole, must not take out an endpoint that works.
    if (report.endpointIncarnation.id != present.id && runner.endpointIncarnation.result
        && runner.endpointIncarnation.looksFailed == 0)
        return "the present life answers";
    return nullptr;
}

// Leaves a trace, since the endpoint was answered that it had been heard; a few lines a second.
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

// Keeps what the endpoint's answer to the next look may show to be the next life.
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
