/*
    The entry's decisions: which task starts where and when, what is tried again, and when a job is
    refused or given up.

    Every entry sees the room of all endpoints and sends starts to their agents directly; an agent
    refuses what does not fit, at once. Waiting jobs are ordered by the time at which they must
    begin to be on time; those that can't be any more come after those that can.

    No two runs of a task overlap: a task is started again only after its last run's end was told,
    or after the agent it was sent to has certainly stopped it (see certainSilence).

        SchedulerState scheduler = makeScheduler(settings);
        SchedulerActions actions = submit(scheduler, spec, terms, now, &number);
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

#include <foxwing/base/fadingsum.h>
#include <foxwing/catalog/agreed.h>
#include <foxwing/eventlog/eventlog.h>
#include <foxwing/forecast/forecast.h>
#include <foxwing/jobs/messages.h>
#include <foxwing/scheduler/runtimes.h>
#include <foxwing/shares/shares.h>

namespace foxwing::scheduler {

// [SECTION] Settings

// How the next endpoint for a task is chosen; the first is the one in use, the others are there to
// be measured against it.
enum class Placement {
    // By observed speed and load
    Fastest,
    Random,
    MostRoom,
};

// Which waiting job goes next. Jobs that have begun go first in all but FirstCome.
enum class Order {
    // By the latest time to begin, jobs that can't be on time last
    LatestBegin,

    // Of the jobs that can be on time the newest first, jobs that can't last
    Newest,
    FirstCome,

    // By the queue's priority, and among equals by the latest time to begin; jobs that can't be on
    // time last
    Priority,

    // As Priority, but of the jobs that have not begun the one with the least work first: with more
    // work than room more of them are served
    LeastWork,
};

// Whose starts may wait at agents for room, so that freed room goes by priority over all entries.
enum class WaitingQueues {
    // Those of the most urgent priority, where there is another
    MostUrgent,

    // Those of all priorities but the least urgent
    AllButLeast,
};

const char *toString(Placement placement);
std::optional<Placement> placementNamed(const std::string &name);
const char *toString(Order order);
const char *toString(WaitingQueues queues);
std::optional<WaitingQueues> waitingQueuesNamed(const std::string &name);
std::optional<Order> orderNamed(const std::string &name);

struct SchedulerSettings
{
    std::uint64_t seed = 1;
    Placement placement = Placement::Fastest;
    Order order = Order::Priority;

    // Of this entry; empty: not known, and no endpoint counts as away.
    std::string dataCentre;

    // Work in another data centre counts as so much slower, in percent of a task that takes what
    // its caller guessed: above what a full endpoint at home costs, so work leaves home only where
    // home is full, slow or gone, and fewer payloads cross between data centres.
    std::uint32_t awayPercent = 30;

    // Work away from the rack of its data takes so many times as long.
    double farFactor = 1.5;

    // A beat goes to an agent that was sent nothing for this long.
    Milliseconds beatInterval { 100 };

    // After work found no room, agents are asked for fresh news of it for this long: some turns of
    // the shortest tasks, so that a busy spell asks once and not for each job.
    Milliseconds wantRoomFor { 300 };

    // An agent that was not heard for this long is given up. Above three beats, and under what an
    // agent waits for its entry.
    Milliseconds agentSilence { 400 };

    // An agent that was not heard for this long takes work only if no other has room: twice the
    // time between its answers to beats, and some for a turn of the loop. It may be cut off, and
    // its tasks would stay uncertain for certainSilence.
    Milliseconds quietAfter { 220 };

    // After the last word to a lost agent, its runs are certainly over: it stops them when it does
    // not hear the entry (450 ms), or its endpoint's lease ends (400 ms and 2 percent), and a stop
    // takes 50 ms.
    Milliseconds certainSilence { 950 };

    // Jobs waiting for room are looked through until this many could not be placed.
    std::size_t mostPassedOver = 16;

    // A job counts as one that can be on time until its latest begin less this part of its
    // expected time, in percent: expectations are off by a third, and what is placed at the last
    // moment is late as often as not.
    std::uint32_t marginPercent = 50;

    // Where no endpoint has room, a start of the most urgent queue may wait at an agent whose room
    // falls short by no more than this part of its endpoint's, in percent; zero: starts go only
    // where room is known, and freed room goes to the entry that learns of it first.
    std::int64_t waitPercent = 15;

    WaitingQueues waitingQueues = WaitingQueues::MostUrgent;

    // What each queue is to be served of the work that it asks for, whatever its priority
    shares::ShareSettings shares;

    // A start waits at an agent for no longer; then another one may be better.
    Milliseconds mostWait { 50 };

    // Up to this many times its objective after it came, a job is still worth finishing.
    double lateFactor = 3.0;

    // A task under which so many endpoints have crashed is given up: it is likely to be what
    // crashes them, and each try takes all that runs beside it along. Two crash under many a task
    // by themselves while endpoints go down and up by turns.
    std::uint32_t mostCrashes = 3;

    // Its job is given up at once when it is sent again within this time: above any deadline of
    // those who wait for it.
    Milliseconds crashingFor { 60000 };

    // Jobs whose crashes are remembered as agents tell them: more than run on some endpoints that
    // crash, within that time.
    std::size_t mostCrashedJobs = 1024;

    // Work that has begun is finished, late too, for as long as its caller waits. Where the caller
    // does not say how long that is, up to this, or to lateFactor objectives if those take longer.
    Milliseconds longestJob { 15000 };

    // A job whose expected wait is over this many objectives is refused at once.
    double refuseAbove = 2.0;

    // One that would wait longer than this part of the time until it counts as late, in percent, at
    // the pace at which room came free of late, is refused at once too; zero: it waits until it is
    // late. Twice that time: at the pace of this entry alone, closer refusals turn away what would
    // have been served.
    std::uint32_t refuseAtArrivalPercent = 200;

    // Ends of runs count for the room that comes free for about this long: some turns of the
    // shortest tasks, and less than a burst.
    Milliseconds freedSpan { 300 };

    // Refusal at arrival and the time to come back go by the forecast of what all agents tell, and
    // not by what this entry sees by itself. In force with serveLate, too.
    bool forecast = false;

    // The part of freed room that comes to this entry is taken over about this long: above a burst
    // of one queue, so that the pace of the moment is the agents' alone.
    Milliseconds shareSpan { 2000 };

    // What agents tell is added up so often for that.
    Milliseconds shareInterval { 100 };

    // A job that can't be on time any more waits on, behind all that can, as long as the forecast
    // says that it begins before its caller has gone. Needs refuseLate, without which all late jobs
    // wait on.
    bool serveLate = false;

    // While late jobs have waited for less than this, any that the forecast lets wait may do so:
    // the overload may be short. Longer than that, only as many may wait as the room that late jobs
    // got of late takes in time, and the rest are refused at once.
    Milliseconds lateSpan { 1000 };

    // As many late jobs of a service may wait all the same, to find out when there is room again.
    std::size_t lateProbes = 2;

    // Late jobs take only room that was told as free for this long: two rounds of news, in which
    // any entry with a job that can be on time has taken what it needs.
    Milliseconds restSpan { 40 };

    // A job that has not begun when it counts as late is refused. What is late takes the room of
    // what is not.
    bool refuseLate = true;

    // Work is expected to take what the queue's jobs showed, not what the caller guesses.
    bool learnRunTimes = true;

    // Runs that are behind, or stand still, are started elsewhere.
    bool moveRuns = true;

    // A run that is behind is moved only if the new one would end in less than this part of what is
    // left, in percent.
    std::uint32_t moveBelowPercent = 60;

    // Bounds of what one entry holds.
    std::size_t mostJobs = 4000;
    std::uint32_t mostTasksPerJob = 2000;
};

// [SECTION] Jobs

// What the job's queue promises.
struct JobTerms
{
    std::string queue;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    double stretch = 1.0;
    Milliseconds targetLatency { 0 };

    // When the call came, if it was held before it was submitted: its objective counts from then.
    std::optional<Time> cameAt;

    // What is not begun by then is given up.
    Time beginBy {};

    // The caller waits until then at the most, if it said so.
    std::optional<Time> patienceUntil;

    // Endpoints that suit it are known to be there, if only without a session so far.
    bool suitableElsewhere = false;
};

enum class TaskState {
    Waiting,
    Placed,

    // Its agent is lost: waits until the run is certainly over.
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

    // Endpoints that crashed while it ran there
    std::uint32_t crashes = 0;
    std::string agent;
    Time placedAt {};
    Time certainAt {};
    bool stopAsked = false;

    // What one run of it takes: the caller's guess as the queue's jobs correct it, or what a run
    // that was behind has shown
    Milliseconds expected { 0 };

    // Agents whose endpoints failed it or let it stand
    std::vector<std::string> avoid;
};

// Jobs that have begun go first: what they hold is wasted until their last task has run.
enum class Rank {
    Begun,
    OnTime,
    Late,

    // Begun, and too late to be worth anything
    Hopeless,
};

struct Job
{
    std::uint64_t number = 0;
    jobs::JobSpec spec;
    JobTerms terms;
    Time arrivedAt {};

    // The longest chain of work by the caller's guess, and by what the queue's jobs have shown
    Milliseconds guessed { 0 };
    Milliseconds expected { 0 };

    // By step, the longest run that is done
    std::vector<Milliseconds> longestRun;

    // Estimated: the end of being on time, and the latest begin for that
    Time objectiveAt {};
    Time latestBegin {};

    // Not begun by then, it counts as late.
    Time onTimeUntil {};

    // Begun later, it is worth nothing.
    Time worthUntil {};

    // Begun by then, a late job still ends while its caller waits and its result is worth
    // something; onTimeUntil where its queue leaves no time beyond the objective.
    Time lateUntil {};

    std::vector<Task> tasks;
    std::vector<std::uint32_t> tasksLeft;
    std::uint32_t waiting = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t done = 0;
    std::uint32_t runs = 0;
    Time firstPlacedAt {};

    // When all of its tasks had been placed for the first time
    Time allPlacedAt {};

    // A run of it began, or may have.
    bool mayHaveBegun = false;

    // Answered or abandoned: stays only until its runs are over.
    bool over = false;

    // A job with the same id whose runs are not over yet
    std::uint64_t waitsFor = 0;

    // What it is queued under
    Rank group = Rank::OnTime;
    std::uint32_t queuedPriority = 0;

    // The work that waited when the job was queued, in thousandths of a core times milliseconds;
    // only where the order goes by it
    std::int64_t leftWhenQueued = 0;
};

// [SECTION] Agents

struct Agent
{
    jobs::EndpointView endpoint;
    bool accepted = false;

    // The last word to it and from it
    Time sentAt {};
    Time heardAt {};
    std::uint64_t heartbeat = 0;
    bool toldWantsRoom = false;

    // Starts sent in this session, and how many of them are in the agent's view of its room
    std::uint64_t startsSent = 0;
    std::uint64_t startsHandled = 0;
    struct Pending
    {
        std::uint64_t number = 0;
        jobs::ResourceVector demand;
    };
    std::vector<Pending> pending;

    // The least room that it told as free within this restSpan and the one before: what the other
    // entries leave free, too
    std::int64_t leastFree = 0;
    std::int64_t leastFreeBefore = 0;
    Time leastFreeSince {};

    // Starts of all entries that wait there, and the room that comes free there, as it told last
    std::vector<jobs::PriorityBacklog> waiting;
    std::uint32_t freedPerSecond = 0;
};

// [SECTION] State

// Where a waiting job stands; smaller goes first.
struct QueueKey
{
    Rank group = Rank::OnTime;
    std::uint32_t priority = 0;

    // Of a queue below its floor: goes before others of the priority that it was raised to
    bool raised = false;
    std::int64_t rank = 0;
    std::uint64_t number = 0;

    bool operator<(const QueueKey &other) const
    {
        return std::tie(group, priority, other.raised, rank, number)
                < std::tie(other.group, other.priority, raised, other.rank, other.number);
    }
};

// How a queue stands beside the others of its service.
struct QueueStanding
{
    std::string service;
    std::uint32_t priority = 0;

    // What its jobs go by: its priority, or a more urgent one while it is below its floor
    std::uint32_t effective = 0;
    bool belowFloor = false;

    // A less urgent queue is below its floor, while this one is not: its starts do not wait at
    // agents, where they would take all room that comes free.
    bool yields = false;
};

// Room of one service that ended runs gave back, in thousandths of a core.
struct FreedRoom
{
    // Of this entry, of late: what waits here can count on it.
    FadingSum ofLate;

    // Of this entry by priority, over shareSpan; without failed runs, as agents tell it
    std::map<std::uint32_t, FadingSum> own;
};

// What agents tell of a job under whose tasks their endpoints crashed, here or for another entry.
struct CrashedJob
{
    // By task, and by the agent that saw them
    std::map<jobs::TaskId, std::map<std::string, std::uint32_t>> crashes;

    // When it is forgotten, unless there is more news
    Time until {};
};

// Late jobs of one service that wait, or have waited of late.
struct LateSpell
{
    Time since {};
    Time seenAt {};

    // Room that late jobs got, in thousandths of a core, over lateSpan
    FadingSum taken;
};

struct SchedulerCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t abandoned = 0;

    // Completed, though they began too late to be on time
    std::uint64_t servedLate = 0;
    std::uint64_t starts = 0;
    std::uint64_t startsRefused = 0;
    std::uint64_t runsMoved = 0;
    std::uint64_t runsLost = 0;
    std::uint64_t runsCrashed = 0;

    // Jobs given up since endpoints crashed under one of their tasks, again and again
    std::uint64_t crashingJobs = 0;

    // Endpoints that were looked at to place tasks
    std::uint64_t endpointsTried = 0;
};

struct SchedulerState
{
    SchedulerSettings settings;
    std::mt19937_64 random;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, Job> jobs;

    // The newest job of each id
    std::map<std::string, std::uint64_t> byId;
    std::set<QueueKey> queue;

    // Jobs that were given up since endpoints crashed under them, and until when that is remembered
    std::map<std::string, Time> crashing;

    // By job
    std::map<std::string, CrashedJob> crashedJobs;

    // Some waiting work was not looked at yet with the room as it is.
    bool untried = false;

    // Work has found no room of late.
    Time wantsRoomUntil {};
    std::map<std::string, Agent> agents;

    // Data centres whose endpoints get nothing new
    catalog::Cordons cordons;

    // By queue
    std::map<std::string, RunTimes> runTimes;

    // By service
    std::map<std::string, FreedRoom> freed;

    // The same of all entries as agents told it, over shareSpan; only where the forecast is in use
    std::map<std::string, FadingSum> told;
    Time toldAddedAt {};

    // By service
    std::map<std::string, LateSpell> lateSpells;

    // What queues were served of late, and by queue how each stands for that
    shares::ShareState shares;
    std::map<std::string, QueueStanding> standings;

    // Priorities of the jobs that came since the declared queues changed last
    std::uint32_t mostUrgent = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t leastUrgent = 0;

    // Entries that share the endpoints, this one included
    std::uint32_t entries = 1;
    SchedulerCounters counters;
};

// [SECTION] Actions

enum class JobOutcome {
    Completed,
    Failed,

    // Certainly nothing of it ran and nothing will.
    NotRun,

    // Given up with work begun, or sent again after that; whatever runs is being stopped.
    TimedOut,
};

const char *toString(JobOutcome outcome);

struct JobAnswer
{
    std::uint64_t number = 0;
    JobOutcome outcome = JobOutcome::Completed;
    std::string reason;

    // NotRun: when it makes sense to come back
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

    // Agents whose connection is to be closed without sending what waits in it.
    std::vector<std::string> closes;
    std::vector<eventlog::Event> events;
};

// [SECTION] Functions

SchedulerState makeScheduler(const SchedulerSettings &settings);

// A job, to be answered later by its number. If one with the same id is still at work, joins it
// and gives its number.
SchedulerActions submit(SchedulerState &scheduler, const jobs::JobSpec &spec, const JobTerms &terms,
                        Time now, std::uint64_t *number);

// Nobody waits for the answer any more: its runs are stopped.
SchedulerActions abandon(SchedulerState &scheduler, std::uint64_t number, Time now);

// A connection to an agent; starts go there only after its welcome.
SchedulerActions agentConnected(SchedulerState &scheduler, const std::string &agent, Time now);
SchedulerActions agentWelcomed(SchedulerState &scheduler, const std::string &agent,
                               const jobs::SessionAccepted &welcome, Time now);
SchedulerActions agentUpdated(SchedulerState &scheduler, const std::string &agent,
                              const jobs::AgentUpdate &update, Time now);
SchedulerActions agentLost(SchedulerState &scheduler, const std::string &agent, Time now);

// Gives up a session that no run of this entry needs; false, and nothing changed, if one does.
bool releaseAgent(SchedulerState &scheduler, const std::string &agent);

SchedulerActions tick(SchedulerState &scheduler, Time now);

// After a pause of this process: agents have stopped its runs and callers may have sent their jobs
// elsewhere, so everything is given up.
SchedulerActions giveUpAll(SchedulerState &scheduler, const std::string &why, Time now);

// Other queues are declared: forgets what was learned of those that are gone, and learns anew which
// priorities are in use.
void keepQueues(SchedulerState &scheduler, const std::set<std::string> &declared);

// Other data centres are cordoned: nothing more goes there, and what waits looks for room anew.
SchedulerActions takeCordons(SchedulerState &scheduler, const catalog::Cordons &cordons, Time now);

// What the job is ordered by, here and at agents: the priority of its queue, or a more urgent one
// while the queue is below its floor.
std::uint32_t effectivePriority(const SchedulerState &scheduler, const Job &job);

// Whether some endpoint of some service could take work.
bool reachesEndpoints(const SchedulerState &scheduler);

// Part of the freed room of a service that comes to this entry for jobs of this priority and of
// less urgent ones.
double shareFor(const SchedulerState &scheduler, const std::string &service, std::uint32_t priority,
                Time now);

// What the forecast says now, for the operator.
struct Outlook
{
    // Of a job of the size of one core that comes now and goes after all that waits; of the service
    // with the longest such wait. Nothing while no room came free of late.
    std::optional<Milliseconds> wait;

    // Of the oldest news in it
    Microseconds age { 0 };

    // Jobs that wait though they can't be on time any more
    std::size_t waitingLate = 0;
};

Outlook outlook(const SchedulerState &scheduler, Time now);

// Jobs that are not answered yet.
std::size_t openJobs(const SchedulerState &scheduler);

} // namespace foxwing::scheduler
