/*
    The owner of jobs: queues them, binds tasks to free slots, and ends each job with one answer.

    Make a Dispatcher, feed it jobs, messages from agents and ticks, and carry out the Actions that
    each call returns:

        Dispatcher dispatcher = makeDispatcher(settings);
        Actions actions = submitJob(dispatcher, spec, epoch, now);
        for (const Outgoing &send : actions.sends)
            ...

    A task is sent to one worker at a time. It is sent to another only after proof that the attempt
    before never started: the agent refused or voided it. A task whose worker is lost fails its job,
    except for a repeatable single request, which is tried again within its deadline.

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

    // A worker that has not renewed its offer for this long gets nothing new.
    Milliseconds leaseDuration { 1500 };

    // A worker that has not been heard of for this long is lost, and so are the tasks on it.
    Milliseconds workerTimeout { 4000 };

    // A task about which nothing is heard for this long is asked for; the wait then doubles.
    Milliseconds verifyInterval { 1000 };
    Milliseconds longestVerify { 8000 };

    // After a refusal a job waits this long, doubled with each further one.
    Milliseconds refusalPause { 10 };
    Milliseconds longestRefusalPause { 500 };
    std::uint32_t mostRefusals = 64;

    // Repeated starts of repeatable requests may be at most this share of all starts.
    double retryRatio = 0.1;
    std::uint32_t retryReserve = 10;

    // Workers and outstanding tasks are looked at this often.
    Milliseconds sweepInterval { 50 };

    // A takeover gives up on agents that have not answered the fence by then.
    Milliseconds collectSpan { 2500 };
    Milliseconds fenceInterval { 200 };

    // Answers are kept this long for callers who ask again, within this many bytes.
    Seconds answerRetention { 120 };
    std::size_t answerBytes = 256U << 20U;

    // Tasks that may wait in one service's queue.
    std::uint32_t maxQueuedTasks = 100000;

    QueueSettings queue;
    HealthSettings health;
};

// [SECTION] State

// Run times of one class, as an exponentially weighted mean.
struct ClassEstimate
{
    Microseconds mean { 0 };
    std::uint32_t samples = 0;
    Time learnedAt {};
};

struct ServiceState
{
    FairQueue queue;
    WorkerPool pool;
    std::unordered_map<std::string, ClassEstimate> estimates;

    // Run times of all classes together, and how many tasks wait: what a newcomer has before it.
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
    std::uint64_t yields = 0;
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

    // Weights of teams as declared; a team that is not here weighs 1.
    std::unordered_map<std::string, double> teamWeights;

    // Tasks of each team on workers, and this entry's share of its quota.
    std::unordered_map<std::string, std::uint32_t> teamRunning;
    std::unordered_map<std::string, std::uint32_t> teamWaiting;
    std::unordered_map<std::string, std::uint32_t> teamLimits;

    // What may be on a worker by now.
    std::vector<agent::TaskRef> outstanding;
    std::set<DeadlineOrder> deadlines;
    std::vector<std::string> held;
    std::vector<std::string> collecting;

    // When workers and outstanding tasks are looked at again.
    Time nextSweep {};

    // Ended jobs, oldest first, and the bytes of their answers.
    std::deque<std::string> ended;
    std::size_t answerBytes = 0;

    // What is left of the budget for repeated starts.
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

    // Keys of jobs that ended in this call; their answers stay in the table.
    std::vector<std::string> ended;
};

// What is known of a job that is taken over.
struct Takeover
{
    // Agents that may have started tasks of it.
    std::vector<std::string> agents;

    // There may have been others that can't be asked any more.
    bool incomplete = false;

    // When it was claimed, less the differences of clocks; milliseconds since 1970. An agent that
    // started later may have lost the memory of a task.
    std::int64_t claimedAt = 0;
};

// How busy one service is at this entry.
struct ServiceLoad
{
    std::uint32_t slots = 0;
    std::uint32_t busy = 0;
    std::uint32_t waiting = 0;
};

// [SECTION] Functions

Dispatcher makeDispatcher(const DispatchSettings &settings);

// Why a job can't be taken now, if so: the queue is full or the deadline can't be met. Certain to
// be "not run", since nothing was done yet.
std::optional<Error> checkAdmission(const Dispatcher &dispatcher, const JobSpec &spec, Time now);

// Queues a job whose claim this entry holds in this epoch.
Actions submitJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch, Time now);

// This entry's share of a team's quota, in tasks that run at the same time. What runs beyond a
// lowered share is left to finish.
void setTeamLimit(Dispatcher &dispatcher, const std::string &team, std::uint32_t limit);

// The team has no quota any more.
void clearTeamLimit(Dispatcher &dispatcher, const std::string &team);

// What a team has running and waiting here.
struct TeamLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};
TeamLoad teamLoad(const Dispatcher &dispatcher, const std::string &team);

// Takes a job over from a dead owner: fences it at the agents, collects, and goes on.
Actions takeOverJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch,
                    const Takeover &takeover, Time now);

// Ends a job on the caller's word. No effect on one that has ended.
Actions cancelJob(Dispatcher &dispatcher, const std::string &key, Time now);

// One message from an agent.
Actions handle(Dispatcher &dispatcher, const agent::FromAgent &message, Time now);

// The shell could not deliver a message, or does not know whether it did.
Actions sendFailed(Dispatcher &dispatcher, const agent::ToAgent &message, Time now);

// Deadlines, silent workers, silent tasks, retention. Call it every few milliseconds.
Actions tick(Dispatcher &dispatcher, Time now);

// The job with this key, or null.
const Job *findJob(const Dispatcher &dispatcher, const std::string &key);

ServiceLoad serviceLoad(const Dispatcher &dispatcher, const std::string &service);

// Gives the lease of one worker to another entry: an idle one if there is any, else, if the other
// entry has none at all, one of several busy ones. What runs there is finished all the same.
Actions transferWorker(Dispatcher &dispatcher, const std::string &service,
                       const std::string &successor, const std::string &successorDataCentre,
                       bool successorStarved);

// Jobs that have not ended.
std::size_t activeJobs(const Dispatcher &dispatcher);

// The expected run time of one task: measured for the class, else declared, else a guess.
Microseconds expectedTime(const ServiceState &service, const JobSpec &spec);

} // namespace foxwing::dispatch
