/*
    Inside the runner: what its files share.

    [SECTION] Offer
    [SECTION] Waiting
    [SECTION] Sessions
    [SECTION] Runs
    [SECTION] Crashes
    [SECTION] Lives
    [SECTION] Judgement
*/
#pragma once

#include <foxwing/runner/runner.h>

namespace foxwing::runner {

// [SECTION] Offer

// Room that is free for new runs; zero while nothing may start.
jobs::ResourceVector freeRoom(const RunnerState &runner);
std::uint32_t maxStarts(const RunnerState &runner, Time now);
bool onTrial(const RunnerState &runner);
bool isOutOfReach(const RunnerState &runner);

// Puts what changed into messages for the entries, and orders the next look if one is due. The
// last step of every event.
void finishEvent(RunnerState &runner, Time now, RunnerActions &actions);

// [SECTION] Waiting

// Room that waiting starts of this priority and of more urgent ones are to get.
jobs::ResourceVector waitingRoom(const RunnerState &runner, std::uint32_t priority);

// The starts that wait here as entries are told of them, most urgent first.
std::vector<jobs::PriorityBacklog> waitingRows(const RunnerState &runner);
bool mayWaitHere(const RunnerState &runner, const jobs::StartTasks &message);
bool isWaiting(const RunnerState &runner, const jobs::TaskId &task);
void addWaiting(RunnerState &runner, WaitingStart start);

// Starts what has room now; what has waited too long, or can't start here, is refused.
void startWaiting(RunnerState &runner, Time now, RunnerActions &actions);

// The entry wants it no more; false if no such start waits.
bool dropWaiting(RunnerState &runner, const jobs::RunId &id);
void dropWaitingOf(RunnerState &runner, std::uint64_t session);

// [SECTION] Sessions

// The entry is taken for gone: its runs are being stopped, and nothing more is told to it.
void endSession(RunnerState &runner, std::uint64_t number, const char *why, Time now,
                RunnerActions &actions);

// [SECTION] Runs

// A log line about one run.
eventlog::Event runEvent(const char *name, const jobs::RunId &id);

// Orders the start once more, or for the first time. Needs a lease deadline.
void orderStart(RunnerState &runner, const jobs::RunId &id, Run &run, Time now,
                RunnerActions &actions);

// Orders a run that was found to fit.
void startRun(RunnerState &runner, const WaitingStart &start, Time now, RunnerActions &actions);

// Tells the entry that the run certainly never began.
void refuseStart(RunnerState &runner, std::uint64_t session, const jobs::RunId &id,
                 jobs::StartRefusal why);

// The run is over: its room is free and its entry is told.
void endRun(RunnerState &runner, const jobs::RunId &id, jobs::RunOutcome end,
            jobs::StartRefusal refused, Time now, RunnerActions &actions);
void beginStopping(RunnerState &runner, const jobs::RunId &id, Run &run, const char *why, Time now,
                   RunnerActions &actions);
void orderStop(RunnerState &runner, const jobs::RunId &id, Run &run, Time now,
               RunnerActions &actions);

// The latest lease may be prolonged to from now; nothing before the endpoint's clock is known, or
// while the lease is left to end.
std::optional<Milliseconds> leaseDeadline(const RunnerState &runner, Time now);
void takeClock(RunnerState &runner, const Answered &answered, Time now);

// [SECTION] Crashes

// The endpoint crashed while it ran the task.
void noteCrash(RunnerState &runner, const jobs::TaskId &task, Time now);

// What is remembered of the crashes that came after this one.
std::vector<jobs::CrashReport> crashesAfter(const RunnerState &runner, std::uint64_t number,
                                            Time now);

// [SECTION] Lives

// A life's date for a log line, in milliseconds since 1970; 0 if the endpoint did not say.
std::int64_t bornField(const std::optional<WallTime> &born);

// Everything on the endpoint is certainly over.
void endAll(RunnerState &runner, jobs::RunOutcome end, const char *why, Time now,
            RunnerActions &actions);

// How runs ended that the present life has taken along.
jobs::RunOutcome endOfLife(const RunnerState &runner);

// A list of runs came from another life than the present one.
void lifeListed(RunnerState &runner, const LifeId &life, Time now, RunnerActions &actions);

// The present life has answered this look.
void lifeConfirmed(RunnerState &runner, std::uint64_t look);

// The endpoint says that it is not the present life.
void lifeDisowned(RunnerState &runner, Time now, RunnerActions &actions);

// The endpoint refuses orders because another agent, or an earlier life of this one, used a higher
// fence.
void raiseFence(RunnerState &runner, RunnerActions &actions);

// [SECTION] Judgement

void noteGood(RunnerState &runner, const Run &run, Milliseconds took);
void noteBad(RunnerState &runner, Time now);

// What the endpoint said of a run's progress; then what follows from all runs together.
void noteProgress(RunnerState &runner, Run &run, std::uint32_t percent, Time now);
void judgeRuns(RunnerState &runner, Time now, RunnerActions &actions);

} // namespace foxwing::runner
