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

std::int64_t startTimeField(const std::optional<WallTime> &startedAt)
{
    return startedAt ? startedAt->time_since_epoch().count() : 0;
}

// [SECTION] Fences

void raiseFence(RunnerState &runner, RunnerActions &actions)
{
    // Fences are milliseconds shifted left by ten bits. The first step makes up for a clock that
    // was a minute ahead; each further one is twice as large.
    constexpr std::uint64_t FirstStep = 60000ULL << 10U;
    constexpr std::uint32_t MaxDoublings = 10;
    runner.fence += FirstStep << std::min(runner.fenceRejections, MaxDoublings);
    ++runner.fenceRejections;
    actions.events.push_back(change("fence-raised").with("fence", runner.fence));
}

// Delayed start commands for one incarnation must not take effect in the next one, whose clock and
// run numbers don't reject them. With a higher fence they are rejected after the next poll.
static void fenceOffCommands(RunnerState &runner)
{
    ++runner.fence;
}

// [SECTION] Incarnations

void endAllRuns(RunnerState &runner, RunOutcome outcome, const char *why, Time now,
                RunnerActions &actions)
{
    if (runner.runs.empty() && runner.incarnationState.orphans.empty())
        return;
    actions.events.push_back(
            change("all-runs-over").with("why", why).with("runs", runner.runs.size()));
    fenceOffCommands(runner);
    while (!runner.runs.empty()) {
        const RunId id = runner.runs.begin()->first;
        endRun(runner, id, outcome, StartRefusal::None, now, actions);
    }
    runner.incarnationState.orphans.clear();
}

RunOutcome lossOutcome(const RunnerState &runner)
{
    return runner.endpoint.leaving ? RunOutcome::Lost : RunOutcome::Crashed;
}

namespace {

// Commands in flight while an endpoint restarted with the same id may have reached either
// incarnation. A run counts as lost only once the new incarnation, polled with a higher fence,
// doesn't list it; reported earlier, its task could be started elsewhere while it still runs.
void carryRunsOver(RunnerState &runner)
{
    for (auto &[id, run] : runner.runs) {
        run.carriedOver = true;
        run.outcomeIfLost = lossOutcome(runner);
        run.decisivePoll = runner.pollNumber + 1;
    }
    fenceOffCommands(runner);
}

void rememberIncarnation(RunnerState &runner)
{
    if (!runner.endpoint.endpointIncarnation.id.empty())
        runner.previousIncarnations.push_back(runner.endpoint.endpointIncarnation);
    if (runner.previousIncarnations.size() > runner.settings.maxPreviousIncarnations)
        runner.previousIncarnations.pop_front();
}

bool isPreviousIncarnation(const RunnerState &runner, const IncarnationId &endpointIncarnation)
{
    const std::deque<IncarnationId> &previous = runner.previousIncarnations;
    return std::find(previous.begin(), previous.end(), endpointIncarnation) != previous.end();
}

void beginIncarnation(RunnerState &runner, const IncarnationId &endpointIncarnation,
                      const char *source, Time now, RunnerActions &actions)
{
    actions.events.push_back(
            change("endpoint-life")
                    .with("life", endpointIncarnation.id)
                    .with("born_ms", startTimeField(endpointIncarnation.startedAt))
                    .with("before", runner.endpoint.endpointIncarnation.id)
                    .with("before_born_ms",
                          startTimeField(runner.endpoint.endpointIncarnation.startedAt))
                    .with("told_by", source)
                    .with("runs", runner.runs.size()));
    // Commands for another id are rejected, so with a new id all runs are certainly lost.
    if (endpointIncarnation.id == runner.endpoint.endpointIncarnation.id)
        carryRunsOver(runner);
    else
        endAllRuns(runner, lossOutcome(runner), "the endpoint has a new incarnation", now, actions);
    rememberIncarnation(runner);
    runner.endpoint = EndpointReport();
    runner.endpoint.endpointIncarnation = endpointIncarnation;
    runner.incarnationState = IncarnationState();
    runner.candidate.reset();
    ++runner.viewVersion;
    // A pending poll was for the previous incarnation; its result is ignored.
    runner.pollPending = false;
    runner.lastAnsweredPoll = runner.pollNumber;
    runner.nextPollAt = now;
}

// Applies a heartbeat of the current incarnation.
void applyReport(RunnerState &runner, const EndpointReport &report, Time now,
                 RunnerActions &actions)
{
    const EndpointReport previous = std::exchange(runner.endpoint, report);
    if (!std::exchange(runner.incarnationState.described, true))
        actions.events.push_back(change("endpoint-described")
                                         .with("life", report.endpointIncarnation.id)
                                         .with("service", report.service)
                                         .with("data_centre", report.dataCentre)
                                         .with("milli_cores", report.capacity.milliCores)
                                         .with("megabytes", report.capacity.megabytes));
    const bool sameView = previous.leaving == report.leaving && previous.labels == report.labels
            && previous.capacity == report.capacity && previous.service == report.service
            && previous.dataCentre == report.dataCentre;
    if (!sameView)
        ++runner.viewVersion;
    if (report.leaving && !previous.leaving)
        actions.events.push_back(change("endpoint-leaving")
                                         .with("life", report.endpointIncarnation.id)
                                         .with("remaining_ms", report.remaining)
                                         .with("runs", runner.runs.size()));
    updateClock(runner, { CommandStatus::Ok, report.clock }, now);
}

} // namespace

void handleOtherIncarnation(RunnerState &runner, const IncarnationId &endpointIncarnation, Time now,
                            RunnerActions &actions)
{
    const std::optional<EndpointReport> candidate = runner.candidate;
    beginIncarnation(runner, endpointIncarnation, "its list of runs", now, actions);
    if (candidate && candidate->endpointIncarnation == endpointIncarnation)
        applyReport(runner, *candidate, now, actions);
}

// A candidate that arrived after the poll was sent is kept.
void confirmIncarnation(RunnerState &runner, std::uint64_t poll)
{
    runner.incarnationState.responded = true;
    if (poll > runner.candidateAfterPoll)
        runner.candidate.reset();
}

void rejectIncarnation(RunnerState &runner, Time now, RunnerActions &actions)
{
    // The endpoint's own reply outranks the order in which heartbeats arrived.
    runner.previousIncarnations.clear();
    const std::optional<EndpointReport> candidate = runner.candidate;
    if (!candidate || candidate->endpointIncarnation.id == runner.endpoint.endpointIncarnation.id)
        return;
    beginIncarnation(runner, candidate->endpointIncarnation,
                     "a heartbeat, after the endpoint rejected the previous id", now, actions);
    applyReport(runner, *candidate, now, actions);
}

// [SECTION] Heartbeats

namespace {

// Why a heartbeat of the current incarnation is ignored; null if it is accepted.
const char *whyIgnoredCurrent(const RunnerState &runner, const EndpointReport &report)
{
    const EndpointReport &current = runner.endpoint;
    if (report.sequence < current.sequence)
        return "older than the last heartbeat received";
    // An incarnation keeps its service and data centre. If a foreign heartbeat were accepted, its
    // sequence number could make the endpoint's own heartbeats look outdated.
    const bool moved = report.service != current.service || report.dataCentre != current.dataCentre;
    return runner.incarnationState.described && moved ? "it changes the service or data centre"
                                                      : nullptr;
}

// The same for any heartbeat.
const char *whyIgnored(const RunnerState &runner, const EndpointReport &report)
{
    const IncarnationId &current = runner.endpoint.endpointIncarnation;
    if (current.id.empty())
        return nullptr;
    if (report.endpointIncarnation == current)
        return whyIgnoredCurrent(runner, report);
    if (isPreviousIncarnation(runner, report.endpointIncarnation))
        return "from a previous incarnation";
    if (report.endpointIncarnation.id == current.id && !report.endpointIncarnation.startedAt)
        return "it has no start time";
    if (report.endpointIncarnation.startedAt && current.startedAt
        && *report.endpointIncarnation.startedAt < *current.startedAt)
        return "its incarnation started before the current one";
    // A valid heartbeat with another id must not displace an endpoint that works.
    if (report.endpointIncarnation.id != current.id && runner.incarnationState.responded
        && runner.incarnationState.failedPolls == 0)
        return "the current incarnation is reachable";
    return nullptr;
}

// Logged, at a limited rate, since the sender gets a positive reply nevertheless.
void logIgnored(RunnerState &runner, const EndpointReport &report, const char *why, Time now,
                RunnerActions &actions)
{
    ++runner.ignoredHeartbeats;
    if (now >= runner.ignoredHeartbeatSecond + Seconds(1)) {
        runner.ignoredHeartbeatSecond = now;
        runner.ignoredHeartbeatLines = 0;
    }
    if (++runner.ignoredHeartbeatLines > runner.settings.maxIgnoredHeartbeatLines)
        return;
    actions.events.push_back(
            change("heartbeat-passed-over")
                    .with("why", why)
                    .with("life", report.endpointIncarnation.id)
                    .with("born_ms", startTimeField(report.endpointIncarnation.startedAt))
                    .with("sequence", report.sequence)
                    .with("leaving", report.leaving ? 1 : 0)
                    .with("present", runner.endpoint.endpointIncarnation.id)
                    .with("present_born_ms",
                          startTimeField(runner.endpoint.endpointIncarnation.startedAt))
                    .with("present_sequence", runner.endpoint.sequence)
                    .with("total", runner.ignoredHeartbeats));
}

// Keeps the heartbeat of a possible next incarnation until a poll confirms or rejects it.
void keepCandidate(RunnerState &runner, const EndpointReport &report)
{
    if (report.endpointIncarnation == runner.endpoint.endpointIncarnation
        || isPreviousIncarnation(runner, report.endpointIncarnation))
        return;
    const bool older = runner.candidate
            && runner.candidate->endpointIncarnation == report.endpointIncarnation
            && report.sequence < runner.candidate->sequence;
    if (older)
        return;
    runner.candidate = report;
    runner.candidateAfterPoll = runner.pollNumber;
}

} // namespace

RunnerActions handleHeartbeat(RunnerState &runner, const EndpointReport &report, Time now)
{
    RunnerActions actions;
    if (const char *why = whyIgnored(runner, report)) {
        logIgnored(runner, report, why, now, actions);
        keepCandidate(runner, report);
        return actions;
    }
    if (report.endpointIncarnation != runner.endpoint.endpointIncarnation)
        beginIncarnation(runner, report.endpointIncarnation, "a heartbeat", now, actions);
    applyReport(runner, report, now, actions);
    finishEvent(runner, now, actions);
    return actions;
}

RunnerActions handleDeregistration(RunnerState &runner, const IncarnationId &endpointIncarnation,
                                   Time now)
{
    RunnerActions actions;
    const IncarnationId &current = runner.endpoint.endpointIncarnation;
    const bool isCurrent = endpointIncarnation == current
            || (endpointIncarnation.id == current.id && !endpointIncarnation.startedAt);
    if (isCurrent && !endpointIncarnation.id.empty()) {
        actions.events.push_back(change("endpoint-left").with("life", endpointIncarnation.id));
        runner.endpoint.leaving = true;
        ++runner.viewVersion;
    }
    finishEvent(runner, now, actions);
    return actions;
}

} // namespace foxwing::runner
