/*
    The entry's scheduler: decides which task starts where and when, what is retried, and when a job
    is refused or given up.

    An entry knows the free capacity of the endpoints whose agents it has sessions with, and sends
    starts directly to these agents; an agent refuses at once what does not fit. By default, waiting
    jobs are ordered by the priority of their queues, then by the latest time at which they can
    start and still be on time; those that can no longer be on time come last.

    No two runs of a task overlap: a task is started again only after the end of its last run was
    reported, or after the agent it was sent to has certainly stopped it (see lostRunTimeout).

        SchedulerState scheduler = makeScheduler(settings);
        SchedulerActions actions = submit(scheduler, spec, options, now, &number);
        ... send actions.sends to agents, give actions.answers to callers ...

    [SECTION] Settings
    [SECTION] Jobs
    [SECTION] Agents
    [SECTION] State
    [SECTION] Actions
    [SECTION] Functions
*/
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <foxwing/base/decayingsum.h>
#include <foxwing/catalog/agreedstate.h>
#include <foxwing/eventlog/eventlog.h>
#include <foxwing/forecast/forecast.h>
#include <foxwing/jobs/messages.h>
#include <foxwing/scheduler/runtimemodel.h>
#include <foxwing/shares/shares.h>

namespace foxwing::scheduler {

// [SECTION] Settings

// How the endpoint for a task is chosen. Fastest is for production; the others are baselines to
// compare it with.
enum class Placement {
    // By observed speed and load
    Fastest,
    Random,
    MostFree,
};

// Which waiting job goes next. Jobs that have started go first, except with FirstCome.
enum class Order {
    // By the latest start time; jobs that can't be on time last
    LatestStart,

    // Newest first among jobs that can be on time; jobs that can't last
    NewestFirst,
    FirstCome,

    // By the queue's priority, then by the latest start time; jobs that can't be on time last
    Priority,

    // Like Priority, but of the jobs that have not started, the one with the least work first:
    // serves more jobs in an overload
    LeastWork,
};

// Queues whose starts may wait at agents for capacity, so that freed capacity goes by priority
// across all entries.
enum class WaitingQueues {
    // The most urgent priority, if there is more than one
    MostUrgent,

    // All priorities but the least urgent
    AllButLeast,
};

const char *toString(Placement placement);
std::optional<Placement> parsePlacement(const std::string &name);
const char *toString(Order order);
const char *toString(WaitingQueues queues);
std::optional<WaitingQueues> parseWaitingQueues(const std::string &name);
std::optional<Order> parseOrder(const std::string &name);

struct SchedulerSettings
{
    std::uint64_t seed = 1;
    Placement placement = Placement::Fastest;
    Order order = Order::Priority;

    // Data centre of this entry. If empty, no endpoint counts as remote.
    std::string dataCentre;

    // Cost of an endpoint in another data centre, in percent of a task that runs as long as
    // estimated. Higher than the cost of a fully loaded local endpoint, so that work leaves the
    // data centre only if the local endpoints are full, slow or gone, and few payloads cross
    // between data centres.
    std::uint32_t remotePercent = 30;

    // Slowdown of a task that runs outside the rack of its data.
    double offRackFactor = 1.5;

    // A heartbeat is sent to an agent after this long without other messages to it.
    Milliseconds heartbeatInterval { 100 };

    // After work did not fit, agents are asked for fresh updates for this long: several times the
    // shortest task, so that a busy period costs one request and not one for each job.
    Milliseconds needsCapacityFor { 300 };

    // An agent that was silent for this long is given up. Longer than three heartbeat intervals,
    // and shorter than the silence after which the agent closes the session.
    Milliseconds agentTimeout { 400 };

    // An agent that was silent for this long gets work only if no other fits: twice the interval at
    // which it acknowledges heartbeats, plus one turn of the event loop. It may be disconnected,
    // and then its runs would be uncertain for lostRunTimeout.
    Milliseconds suspectAfter { 220 };

    // This long after the last message to a lost agent, its runs have certainly stopped: the agent
    // stops them if it receives nothing from the entry (450 ms) or its endpoint's lease ends (400
    // ms plus 2 percent), and stopping takes up to 50 ms.
    Milliseconds lostRunTimeout { 950 };

    // A placement pass ends once this many jobs could not be placed.
    std::size_t maxUnplaced = 16;

    // A job counts as late this long before its latest start, in percent of its expected time,
    // since expected times are off by a third and a job placed at the last moment is often late.
    std::uint32_t marginPercent = 50;

    // If a task fits nowhere, a start of the most urgent queue may wait at an agent that lacks up
    // to this part of its endpoint's capacity, in percent. Zero: starts are sent only where
    // capacity is known to be free, and freed capacity goes to the entry that learns of it first.
    std::int64_t maxShortfallPercent = 15;

    WaitingQueues waitingQueues = WaitingQueues::MostUrgent;

    // Guaranteed share of each queue's requested work, whatever its priority
    shares::ShareSettings shares;

    // Bound on the wait of a start at an agent; after it, another agent may be better.
    Milliseconds maxAgentWait { 50 };

    // A job is worth finishing until this many times its objective after its arrival.
    double lateFactor = 3.0;

    // A task is given up once this many endpoints have crashed while running it: it probably causes
    // the crashes, and each retry takes down what runs beside it. Below three, a task may just be
    // unlucky with unstable endpoints.
    std::uint32_t maxCrashes = 3;

    // If the job is sent again within this time, it is given up at once. Longer than the deadline
    // of any caller.
    Milliseconds crashRetention { 60000 };

    // Maximum number of jobs whose crashes are remembered: more than several crashing endpoints run
    // within crashRetention.
    std::size_t maxCrashedJobs = 1024;

    // Jobs that have begun are finished, even if late, while their callers wait. If a caller gave
    // no deadline, it is taken to wait for this long, or for lateFactor objectives if that is
    // longer.
    Milliseconds maxJobDuration { 15000 };

    // A job whose expected wait is over this many objectives is refused at once.
    double maxWaitFactor = 2.0;

    // A job is also refused at once if, at the rate at which capacity was freed lately, it would
    // wait longer than this percentage of the time until it counts as late. Zero: it waits until it
    // is late. Above 100, since the rate that one entry sees is too low and would turn away jobs
    // that can be served.
    std::uint32_t maxWaitPercent = 200;

    // Averaging window of the rate at which capacity is freed: several times the shortest task, and
    // shorter than a burst.
    Milliseconds freedWindow { 300 };

    // Refusal at arrival and the retry time follow the forecast from all agents' updates instead of
    // what this entry observes. Implied by serveLate.
    bool forecast = false;

    // Averaging window of this entry's share of freed capacity: longer than a burst of one queue,
    // so that short-term changes come from the agents' reports alone.
    Milliseconds shareWindow { 2000 };

    // Interval at which the agents' reports are added up for that share.
    Milliseconds shareInterval { 100 };

    // A job that can no longer be on time keeps waiting, behind all that can, while the forecast
    // says that it starts before its caller has gone. Needs refuseLate; without it all late jobs
    // keep waiting.
    bool serveLate = false;

    // Until late jobs have waited for this long, any that the forecast admits may wait: the
    // overload may be short. After that, only as many may wait as the capacity recently given to
    // late jobs can serve in time; the rest are refused at once.
    Milliseconds lateWindow { 1000 };

    // This many late jobs of a service may wait in any case, to find out when there is capacity
    // again.
    std::size_t minLateWaiting = 2;

    // Late jobs only use capacity that was reported free for this long: two rounds of updates, in
    // which any entry with a job that can be on time has taken what it needs.
    Milliseconds idleWindow { 40 };

    // A job that has not begun when it counts as late is refused, so that it does not take the
    // capacity of jobs that can be on time.
    bool refuseLate = true;

    // Run times are predicted from the queue's past jobs instead of taken from the caller's
    // estimate.
    bool learnRunTimes = true;

    // Stragglers and stalled runs are restarted elsewhere.
    bool moveRuns = true;

    // A straggler is moved only if a new run would take less than this percentage of its remaining
    // time.
    std::uint32_t moveBelowPercent = 60;

    // Limits of one entry.
    std::size_t maxJobs = 4000;
    std::uint32_t maxTasksPerJob = 2000;

    // Of all jobs together, while any of their tasks may run
    std::uint64_t maxOpenTasks = 100000;
};

// [SECTION] Jobs

// A job's queue, priority, objective and deadlines.
struct JobOptions
{
    std::string queue;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;

    // The job is due this many times its expected time after its arrival, plus targetLatency.
    double stretch = 1.0;
    Milliseconds targetLatency { 0 };

    // When the call arrived, if it was held before it was submitted: the objective counts from
    // then.
    std::optional<Time> receivedAt;

    // The job is given up if it has not begun by then.
    Time startDeadline {};

    // The caller waits until then, if it gave a deadline.
    std::optional<Time> callerDeadline;

    // Suitable endpoints are known to exist, though this entry has no session with them yet.
    bool suitableUnconnected = false;
};

enum class TaskState {
    Waiting,
    Placed,

    // Its agent is lost; the run may still be going on. Waits until it has certainly stopped.
    Uncertain,
    Done,
};

struct Task
{
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    TaskState state = TaskState::Waiting;
    std::uint32_t run = 0;
    std::uint32_t failures = 0;

    // Endpoints that crashed while running it
    std::uint32_t crashes = 0;
    std::string agent;
    Time placedAt {};

    // While uncertain: its run has certainly stopped by then
    Time stoppedBy {};
    bool stopRequested = false;

    // Expected time of one run: the caller's estimate as corrected by the queue's past jobs, or
    // what a straggler has shown
    Milliseconds expected { 0 };

    // Agents whose endpoints failed it or stalled
    std::vector<std::string> avoidedAgents;
};

// Queue groups, in order. Jobs that have started go first: what they hold is wasted until their
// last task has run.
enum class QueueGroup {
    Started,
    OnTime,
    Late,

    // Started, and too late to be of any use
    Expired,
};

struct Job
{
    std::uint64_t number = 0;
    jobs::JobSpec spec;
    JobOptions options;
    Time arrivedAt {};

    // Critical path by the caller's estimates, and as corrected by the queue's past jobs
    Milliseconds estimated { 0 };
    Milliseconds expected { 0 };

    // By step, the longest finished run
    std::vector<Milliseconds> longestRun;

    // When the job is due, and the latest start that meets this by its expected time
    Time objectiveAt {};
    Time latestStart {};

    // If it has not started by then, it counts as late.
    Time onTimeUntil {};

    // If it starts later, it is of no use.
    Time usefulUntil {};

    // A late job that starts by then ends while its caller waits and its result is of use; equals
    // onTimeUntil if its queue leaves no time beyond the objective.
    Time lateStartUntil {};

    std::vector<Task> tasks;
    std::vector<std::uint32_t> tasksLeft;
    std::uint32_t waiting = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t done = 0;
    std::uint32_t runs = 0;
    Time firstPlacedAt {};

    // When all of its tasks had been placed for the first time
    Time allPlacedAt {};

    // A run of it began or may have begun; a start on its way does not count.
    bool mayHaveBegun = false;

    // Answered or abandoned; kept only until its runs are over.
    bool closed = false;

    // A job with the same id whose runs are not over yet
    std::uint64_t predecessor = 0;

    // As used in its queue key
    QueueGroup group = QueueGroup::OnTime;
    std::uint32_t queuedPriority = 0;

    // Remaining work when the job was queued, in millicores times milliseconds; only set for
    // Order::LeastWork
    std::int64_t workWhenQueued = 0;
};

// [SECTION] Agents

struct Agent
{
    jobs::EndpointView endpoint;
    bool accepted = false;

    // Last message to and from it
    Time lastSentAt {};
    Time lastReceivedAt {};
    std::uint64_t heartbeat = 0;
    bool reportedNeed = false;

    // Starts sent in this session, and how many of them the agent's report of its free capacity
    // includes
    std::uint64_t startsSent = 0;
    std::uint64_t startsHandled = 0;
    struct Pending
    {
        std::uint64_t number = 0;
        jobs::ResourceVector demand;
    };
    std::vector<Pending> pending;

    // Minimum of the reported free capacity in this and the previous idleWindow: what the other
    // entries leave free too
    std::int64_t minFree = 0;
    std::int64_t previousMinFree = 0;
    Time minFreeSince {};

    // Starts of all entries that wait there and capacity that is freed there, as last reported
    std::vector<jobs::PriorityBacklog> waiting;
    std::uint32_t freedPerSecond = 0;
};

// [SECTION] State

// Position of a waiting job; smaller goes first.
struct QueueKey
{
    QueueGroup group = QueueGroup::OnTime;
    std::uint32_t priority = 0;

    // Its queue is below its guaranteed share: goes before others of the priority that it was
    // raised to
    bool raised = false;
    std::int64_t sortValue = 0;
    std::uint64_t number = 0;

    bool operator<(const QueueKey &other) const
    {
        return std::tie(group, priority, other.raised, sortValue, number)
                < std::tie(other.group, other.priority, raised, other.sortValue, other.number);
    }
};

// A queue's priority compared to the others of its service.
struct QueueStatus
{
    std::string service;
    std::uint32_t priority = 0;

    // Its own priority, or a more urgent one while it is below its guaranteed share
    std::uint32_t effective = 0;
    bool belowGuarantee = false;

    // A less urgent queue is below its guaranteed share and this one is not: starts of this one do
    // not wait at agents, where they would take all freed capacity.
    bool yields = false;
};

// Capacity of one service that ended runs freed, in millicores.
struct FreedCapacity
{
    // Recently freed for this entry: what waits here can count on it
    DecayingSum recent;

    // Freed for this entry by priority, over shareWindow; without failed runs, as agents report it
    std::map<std::uint32_t, DecayingSum> own;
};

// Reported crashes of endpoints while they ran a job's tasks, for this entry or another one.
struct CrashedJob
{
    // By task, and by the agent that observed them
    std::map<jobs::TaskId, std::map<std::string, std::uint32_t>> crashes;

    // Forgotten then, unless another report comes
    Time until {};
};

// A period in which late jobs of one service wait.
struct LatePeriod
{
    Time since {};
    Time lastSeenAt {};

    // Capacity given to late jobs, in millicores, over lateWindow
    DecayingSum granted;
};

struct SchedulerCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t abandoned = 0;

    // Completed, though started too late to be on time
    std::uint64_t servedLate = 0;
    std::uint64_t starts = 0;
    std::uint64_t startsRefused = 0;
    std::uint64_t runsMoved = 0;
    std::uint64_t runsLost = 0;
    std::uint64_t runsCrashed = 0;

    // Jobs given up since endpoints kept crashing while running one of their tasks
    std::uint64_t crashingJobs = 0;

    // Endpoints examined to place tasks
    std::uint64_t endpointsTried = 0;
};

struct SchedulerState
{
    SchedulerSettings settings;
    std::mt19937_64 random;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, Job> jobs;

    // Tasks of all jobs
    std::uint64_t openTasks = 0;

    // The newest job of each id
    std::map<std::string, std::uint64_t> byId;
    std::set<QueueKey> queue;

    // Jobs given up since endpoints crashed while running them, and when each is forgotten
    std::map<std::string, Time> crashingUntil;

    // By job
    std::map<std::string, CrashedJob> crashedJobs;

    // Waiting work has not been tried yet with the capacity as it is.
    bool placementPending = false;

    // Work did not fit lately; agents are asked for fresh updates until then.
    Time needsCapacityUntil {};
    std::map<std::string, Agent> agents;

    // Data centres whose endpoints get nothing new
    catalog::Cordons cordons;

    // By queue
    std::map<std::string, RunTimeModel> runTimeModels;

    // By service
    std::map<std::string, FreedCapacity> freed;

    // The same for all entries, as reported by agents, over shareWindow; only maintained if the
    // forecast is used
    std::map<std::string, DecayingSum> reportedFreed;
    Time reportedFreedAt {};

    // By service
    std::map<std::string, LatePeriod> latePeriods;

    // What was recently served of each queue's requests, and the resulting priorities by queue
    shares::ShareState shares;
    std::map<std::string, QueueStatus> queueStatuses;

    // Priorities of the jobs that came since the declared queues last changed
    std::uint32_t mostUrgent = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t leastUrgent = 0;

    // Entries that share the endpoints, including this one
    std::uint32_t entryCount = 1;
    SchedulerCounters counters;
};

// [SECTION] Actions

enum class JobOutcome {
    Completed,
    Failed,

    // Certainly nothing of it ran or will run.
    NotRun,

    // Given up after work had begun, or sent again after that; whatever runs is being stopped.
    TimedOut,
};

const char *toString(JobOutcome outcome);

struct JobAnswer
{
    std::uint64_t number = 0;
    JobOutcome outcome = JobOutcome::Completed;
    std::string reason;

    // NotRun: when the caller should retry
    Milliseconds retryAfter { 0 };
};

struct AgentSend
{
    std::string agent;
    std::variant<jobs::StartTasks, jobs::StopRuns, jobs::SessionHeartbeat> message;
};

struct SchedulerActions
{
    std::vector<AgentSend> sends;
    std::vector<JobAnswer> answers;

    // Agents whose connection is to be closed, dropping unsent messages.
    std::vector<std::string> closes;
    std::vector<eventlog::Event> events;
};

// [SECTION] Functions

SchedulerState makeScheduler(const SchedulerSettings &settings);

// Submits a job, to be answered later by its number. If one with the same id is still open, joins
// it and returns its number.
SchedulerActions submit(SchedulerState &scheduler, const jobs::JobSpec &spec,
                        const JobOptions &options, Time now, std::uint64_t *number);

// Nobody waits for the answer any more: the job's runs are stopped.
SchedulerActions abandon(SchedulerState &scheduler, std::uint64_t number, Time now);

// Connection and handshake with an agent; starts are sent only after the handshake.
SchedulerActions agentConnected(SchedulerState &scheduler, const std::string &agent, Time now);
SchedulerActions agentAccepted(SchedulerState &scheduler, const std::string &agent,
                               const jobs::SessionAccepted &accepted, Time now);
SchedulerActions agentUpdated(SchedulerState &scheduler, const std::string &agent,
                              const jobs::AgentUpdate &update, Time now);
SchedulerActions agentLost(SchedulerState &scheduler, const std::string &agent, Time now);

// Drops the session if no run of this entry needs it. If one does, changes nothing and returns
// false.
bool releaseAgent(SchedulerState &scheduler, const std::string &agent);

SchedulerActions tick(SchedulerState &scheduler, Time now);

// For use after a pause of this process: agents have stopped its runs and callers may have retried
// elsewhere, so every open job is given up.
SchedulerActions closeAllJobs(SchedulerState &scheduler, const std::string &why, Time now);

// The declared queues changed: forgets what was learned about those that are gone, and which
// priorities are in use.
void retainQueues(SchedulerState &scheduler, const std::set<std::string> &declared);

// The cordoned data centres changed: nothing more is sent to them, and waiting work is placed anew.
SchedulerActions applyCordons(SchedulerState &scheduler, const catalog::Cordons &cordons, Time now);

// The priority that the job is ordered by, here and at agents: its queue's, or a more urgent one
// while the queue is below its guaranteed share.
std::uint32_t effectivePriority(const SchedulerState &scheduler, const Job &job);

// Whether this entry has a session with an agent that has an endpoint.
bool reachesEndpoints(const SchedulerState &scheduler);

// The part of a service's freed capacity that this entry's jobs of this and less urgent priorities
// get.
double shareFor(const SchedulerState &scheduler, const std::string &service, std::uint32_t priority,
                Time now);

// The forecast in short, for operators.
struct ForecastStatus
{
    // Expected wait of a one-core job that arrives now and goes last, in the service where that is
    // longest. Nothing if no capacity was freed lately.
    std::optional<Milliseconds> wait;

    // Age of the oldest update that it is based on
    Microseconds age { 0 };

    // Jobs that wait though they can no longer be on time
    std::size_t waitingLate = 0;
};

ForecastStatus forecastStatus(const SchedulerState &scheduler, Time now);

// Jobs that are not answered yet.
std::size_t openJobs(const SchedulerState &scheduler);

} // namespace foxwing::scheduler
