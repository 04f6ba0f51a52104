/*
    Declarations shared by the runner's source files.

    [SECTION] Capacity and updates
    [SECTION] Waiting starts
    [SECTION] Sessions
    [SECTION] Runs
    [SECTION] Crashes
    [SECTION] Incarnations
    [SECTION] Health
*/
#pragma once

#include <foxwing/runner/runner.h>

namespace foxwing::runner {

// [SECTION] Capacity and updates

// Capacity that is free for new runs; zero while nothing may start.
jobs::ResourceVector freeCapacity(const RunnerState &runner);
std::uint32_t maxStarts(const RunnerState &runner, Time now);
bool isOnProbation(const RunnerState &runner);
bool isUnreachable(const RunnerState &runner);

// The last step of every event: sends updates to entries, and the next poll if it is due.
void finishEvent(RunnerState &runner, Time now, RunnerActions &actions);

// [SECTION] Waiting starts

// Capacity for waiting starts of this priority and of more urgent ones.
jobs::ResourceVector waitingDemand(const RunnerState &runner, std::uint32_t priority);

// Waiting starts as reported to entries, most urgent first.
std::vector<jobs::PriorityBacklog> backlogRows(const RunnerState &runner);
bool mayWaitHere(const RunnerState &runner, const jobs::StartTasks &message);
bool isWaiting(const RunnerState &runner, const jobs::TaskId &task);
void addWaiting(RunnerState &runner, WaitingStart start);

// Starts what fits now; what has waited too long or can't start here is refused.
void startWaiting(RunnerState &runner, Time now, RunnerActions &actions);

// Removes a start that its entry has cancelled; false if no such start waits.
bool dropWaiting(RunnerState &runner, const jobs::RunId &id);
void dropWaitingOf(RunnerState &runner, std::uint64_t session);

// [SECTION] Sessions

// Closes the session and stops its runs; the entry gets no more updates.
void endSession(RunnerState &runner, std::uint64_t number, const char *why, Time now,
                RunnerActions &actions);

// [SECTION] Runs

eventlog::Event runEvent(const char *name, const jobs::RunId &id);

// Sends a start command, the first one or a repeated one. Needs a lease deadline.
void sendStart(RunnerState &runner, const jobs::RunId &id, Run &run, Time now,
               RunnerActions &actions);

// Starts a run that fits.
void startRun(RunnerState &runner, const WaitingStart &start, Time now, RunnerActions &actions);

// Reports to the entry that the run certainly never began.
void refuseStart(RunnerState &runner, std::uint64_t session, const jobs::RunId &id,
                 jobs::StartRefusal why);

// Frees the run's capacity and reports its end to the entry.
void endRun(RunnerState &runner, const jobs::RunId &id, jobs::RunOutcome outcome,
            jobs::StartRefusal refused, Time now, RunnerActions &actions);
void stopRun(RunnerState &runner, const jobs::RunId &id, Run &run, const char *why, Time now,
             RunnerActions &actions);
void sendStop(RunnerState &runner, const jobs::RunId &id, Run &run, Time now,
              RunnerActions &actions);

// The lease's end if it is renewed now; nothing while the endpoint's clock is unknown, or while the
// lease must not be renewed.
std::optional<Milliseconds> leaseDeadline(const RunnerState &runner, Time now);
void updateClock(RunnerState &runner, const CommandResult &result, Time now);

// [SECTION] Crashes

// Counts a crash of the endpoint while it ran the task.
void recordCrash(RunnerState &runner, const jobs::TaskId &task, Time now);

// Remembered crashes with a higher number.
std::vector<jobs::CrashReport> crashesAfter(const RunnerState &runner, std::uint64_t number,
                                            Time now);

// [SECTION] Incarnations

// For log lines: milliseconds since 1970, or 0 if unknown.
std::int64_t startTimeField(const std::optional<WallTime> &startedAt);

// Ends all runs; only when none of them can be running any more.
void endAllRuns(RunnerState &runner, jobs::RunOutcome outcome, const char *why, Time now,
                RunnerActions &actions);

// How runs end that are lost with the current incarnation.
jobs::RunOutcome lossOutcome(const RunnerState &runner);

// A list of runs came from another incarnation than the current one.
void handleOtherIncarnation(RunnerState &runner, const IncarnationId &endpointIncarnation, Time now,
                            RunnerActions &actions);

// The current incarnation has replied to this poll.
void confirmIncarnation(RunnerState &runner, std::uint64_t poll);

// The endpoint replied that it is not the current incarnation.
void rejectIncarnation(RunnerState &runner, Time now, RunnerActions &actions);

// The endpoint rejects commands because another agent, or an earlier incarnation of this one, has
// used a higher fence.
void raiseFence(RunnerState &runner, RunnerActions &actions);

// [SECTION] Health

void recordSuccess(RunnerState &runner, const Run &run, Milliseconds duration);
void recordFault(RunnerState &runner, Time now);

// Updates a run from the endpoint's progress report.
void recordProgress(RunnerState &runner, Run &run, std::uint32_t percent, Time now);

// Reports stragglers; called once the progress of all runs is known.
void reportStragglers(RunnerState &runner, Time now, RunnerActions &actions);

} // namespace foxwing::runner
