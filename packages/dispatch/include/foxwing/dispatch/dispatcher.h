/*
    Dispatcher: owns jobs, queues them, assigns their tasks to free slots and gives each job one
    answer.

    Pass jobs, messages from agents and ticks to a Dispatcher and execute the Actions that each call
    returns:

        Dispatcher dispatcher = makeDispatcher(settings);
        Actions actions = submitJob(dispatcher, spec, epoch, now);
        for (const Outgoing &send : actions.sends)
            ...

    A task is sent to one worker at a time, and to another one only after proof that the previous
    attempt never started: the agent refused or voided it. Losing a worker fails the jobs that had
    tasks on it, except repeatable single requests, which are retried until their deadline and
    within a retry budget.

    [SECTION] Settings
    [SECTION] State
    [SECTION] Actions
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <foxwing/dispatch/fairqueue.h>
#include <foxwing/dispatch/job.h>
#include <foxwing/dispatch/workerpool.h>

namespace foxwing::dispatch {

// [SECTION] Settings

struct DispatchSettings
{
    // Identity of the entry
    std::string id;
    std::uint64_t incarnation = 0;
    std::string dataCentre;

    // A worker that has not renewed its lease offer for this long gets no new tasks.
    Milliseconds leaseDuration { 1500 };

    // A worker that has not sent anything for this long is lost, together with its tasks.
    Milliseconds workerTimeout { 4000 };

    // Interval after which the agent is queried about a silent task; doubles with each query.
    Milliseconds verifyInterval { 1000 };
    Milliseconds maxVerifyInterval { 8000 };

    // Backoff of a job after a refusal; doubles with each further one.
    Milliseconds refusalBackoff { 10 };
    Milliseconds maxRefusalBackoff { 500 };
    std::uint32_t maxRefusals = 64;

    // Retry budget: tokens earned by each start, and initial tokens. A retry takes one token.
    double retryRatio = 0.1;
    std::uint32_t initialRetryTokens = 10;

    // Interval between checks of workers and outstanding tasks.
    Milliseconds sweepInterval { 50 };

    // A takeover stops waiting for agents that have not acknowledged the fence by then.
    Milliseconds collectTimeout { 2500 };
    Milliseconds fenceInterval { 200 };

    // Answers are kept this long for callers that resubmit or fetch, within this many bytes.
    Seconds answerRetention { 120 };
    std::size_t maxAnswerBytes = 256U << 20U;

    // Maximum number of waiting tasks per service.
    std::uint32_t maxQueuedTasks = 100000;

    QueueSettings queue;
    HealthSettings health;
};

// [SECTION] State

// Exponentially weighted mean of the run times of one class.
struct ClassEstimate
{
    Microseconds mean { 0 };
    std::uint32_t samples = 0;
    Time updatedAt {};
};

struct ServiceState
{
    FairQueue queue;
    WorkerPool pool;
    std::unordered_map<std::string, ClassEstimate> estimates;

    // Run times of all classes and the number of waiting tasks; used to predict queueing delay.
    ClassEstimate overall;
    std::uint32_t waitingTasks = 0;
    std::uint32_t runningTasks = 0;
};

struct DispatchCounters
{
    std::uint64_t jobs = 0;
    std::uint64_t starts = 0;
    std::uint64_t results = 0;
    std::uint64_t unexpectedResults = 0;
    std::uint64_t refusals = 0;
    std::uint64_t verifications = 0;
    std::uint64_t retries = 0;
    std::uint64_t workersLost = 0;
    std::uint64_t ejections = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t transfers = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
};

struct DeadlineOrder
{
    Time deadline {};
    std::string key;

    bool operator<(const DeadlineOrder &other) const
    {
        if (deadline != other.deadline)
            return deadline < other.deadline;
        return key < other.key;
    }
};

struct Dispatcher
{
    DispatchSettings settings;
    std::unordered_map<std::string, ServiceState> services;
    std::unordered_map<std::string, Job> jobs;

    // Configured weights; teams that are not listed have weight 1.
    std::unordered_map<std::string, double> teamWeights;

    // Per team: tasks on workers, waiting tasks, and this entry's share of the team's quota.
    std::unordered_map<std::string, std::uint32_t> teamRunning;
    std::unordered_map<std::string, std::uint32_t> teamWaiting;
    std::unordered_map<std::string, std::uint32_t> teamLimits;

    // Tasks that may be on a worker.
    std::vector<agent::TaskRef> outstanding;
    std::set<DeadlineOrder> deadlines;

    // Jobs in backoff after a refusal, and jobs in JobState::Collecting.
    std::vector<std::string> backoffJobs;
    std::vector<std::string> collecting;

    Time nextSweepAt {};

    // Ended jobs, oldest first, and the total size of their answers.
    std::deque<std::string> ended;
    std::size_t answerBytes = 0;

    // Remaining retry budget.
    double retryTokens = 0;

    DispatchCounters counters;
};

// [SECTION] Actions

struct Outgoing
{
    std::string to;
    agent::ToAgent message;
};

struct Actions
{
    std::vector<Outgoing> sends;

    // Keys of jobs that ended in this call; their answers stay in Dispatcher::jobs.
    std::vector<std::string> ended;
};

// What the claim record and the agent list say about a job that is taken over.
struct Takeover
{
    // Agents that may have started tasks of this job.
    std::vector<std::string> agents;

    // Further agents may have started tasks, but are no longer known.
    bool incomplete = false;

    // When the job was claimed, less the clock skew; milliseconds since 1970. An agent incarnation
    // that started later may have lost its record of a task.
    std::int64_t claimedAt = 0;
};

// Slots and tasks of one service at this entry.
struct ServiceLoad
{
    std::uint32_t slots = 0;
    std::uint32_t busy = 0;
    std::uint32_t waiting = 0;
};

// [SECTION] Functions

Dispatcher makeDispatcher(const DispatchSettings &settings);

// Returns why a job can't be admitted now: the queue is full or the deadline can't be met. The
// outcome is always "not run", since nothing was started.
std::optional<Error> checkAdmission(const Dispatcher &dispatcher, const JobSpec &spec, Time now);

// Queues a job that this entry has claimed in this epoch.
Actions submitJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch, Time now);

// Sets this entry's share of a team's quota, in concurrent tasks. Running tasks above a lowered
// limit are not stopped.
void setTeamLimit(Dispatcher &dispatcher, const std::string &team, std::uint32_t limit);

void clearTeamLimit(Dispatcher &dispatcher, const std::string &team);

// Running and waiting tasks of one team at this entry.
struct TeamLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};
TeamLoad teamLoad(const Dispatcher &dispatcher, const std::string &team);

// Takes over the job of a lost owner: fences it at the agents, collects the state of its tasks,
// and continues it.
Actions takeOverJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch,
                    const Takeover &takeover, Time now);

// Cancels a job at its caller's request. No effect on a job that has ended.
Actions cancelJob(Dispatcher &dispatcher, const std::string &key, Time now);

// Handles one message from an agent.
Actions handle(Dispatcher &dispatcher, const agent::FromAgent &message, Time now);

// To be called when a message could not be delivered, or may not have been.
Actions sendFailed(Dispatcher &dispatcher, const agent::ToAgent &message, Time now);

// Handles deadlines, lost workers, silent tasks and retention. Call it every few milliseconds.
Actions tick(Dispatcher &dispatcher, Time now);

// The job with this key, or null.
const Job *findJob(const Dispatcher &dispatcher, const std::string &key);

ServiceLoad serviceLoad(const Dispatcher &dispatcher, const std::string &service);

// Transfers the lease of one worker to another entry: an idle worker, or the least busy one if the
// successor is starved. Tasks that run there are still finished for this entry.
Actions transferWorker(Dispatcher &dispatcher, const std::string &service,
                       const std::string &successor, const std::string &successorDataCentre,
                       bool successorStarved);

// Number of jobs that have not ended.
std::size_t activeJobs(const Dispatcher &dispatcher);

// Expected run time of one task: the mean of its class, else the declared time, else a default.
Microseconds expectedRunTime(const ServiceState &service, const JobSpec &spec);

} // namespace foxwing::dispatch
