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
    if (runner.runs.empty() && runner.life.orphans.empty())
        return;
    actions.events.push_back(
            change("all-runs-over").with("why", why).with("runs", runner.runs.size()));
    fenceOffOrders(runner);
    while (!runner.runs.empty()) {
        const RunId id = runner.runs.begin()->first;
        endRun(runner, id, end, StartRefusal::None, now, actions);
    }
    runner.life.orphans.clear();
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
    // An order for another id is refused by the endpoint, so what it ran is lost for certain.
    if (life.id == runner.endpoint.life.id)
        leaveRunsToNextList(runner);
    else
        endAll(runner, endOfLife(runner), "another life of the endpoint", now, actions);
    rememberFormerLife(runner);
    runner.endpoint = EndpointReport();
    runner.endpoint.life = life;
    runner.life = LifeState();
    runner.doubtful.reset();
    ++runner.viewNumber;
    // A look that is under way was for the other life; its answer is not waited for.
    runner.lookUnderWay = false;
    runner.lookAnswered = runner.lookNumber;
    runner.nextLook = now;
}

// Takes over what a heartbeat of the present life says.
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

// Called for each look that was answered; a report that came after the look was ordered stays.
void lifeConfirmed(RunnerState &runner, std::uint64_t look)
{
    runner.life.answered = true;
    if (look > runner.doubtfulLook)
        runner.doubtful.reset();
}

void lifeDisowned(RunnerState &runner, Time now, RunnerActions &actions)
{
    // The endpoint's own word goes before the order in which heartbeats came.
    runner.formerLives.clear();
    const std::optional<EndpointReport> heard = runner.doubtful;
    if (!heard || heard->life.id == runner.endpoint.life.id)
        return;
    beginLife(runner, heard->life, "a heartbeat, after the other life was disowned", now, actions);
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
    return runner.life.described && moved ? "a life keeps its service and data centre" : nullptr;
}

// Why a heartbeat changes nothing; null if it counts.
const char *whyPassedOver(const RunnerState &runner, const EndpointReport &report)
{
    const LifeId &present = runner.endpoint.life;
    if (present.id.empty())
        return nullptr;
    if (report.life == present)
        return whyNotOfThisLife(runner, report);
    if (isFormerLife(runner, report.life))
        return "of a former life";
    if (report.life.id == present.id && !report.life.born)
        return "it does not say of which life";
    if (report.life.born && present.born && *report.life.born < *present.born)
        return "its life began before the present one";
    // A report under another id, however whole, must not take out an endpoint that works.
    if (report.life.id != present.id && runner.life.answered && runner.life.looksFailed == 0)
        return "the present life answers";
    return nullptr;
}

// Leaves a trace, since the endpoint was answered that it had been heard; a few lines a second.
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

// Keeps what the endpoint's answer to the next look may show to be the next life.
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
