/*
    The agent's decisions: which runs its endpoint executes, for which entry, and until when.

    The endpoint does not enforce its own capacity: while its lease lasts it starts whatever it is
    told to. The runner therefore starts only what fits, renews the lease, learns of ended runs by
    long polls, and stops the runs of entries that have gone silent.

    A command to the endpoint may get no reply and still take effect seconds later. A run therefore
    holds its capacity until its end is listed, or until it certainly can't start any more: a stop
    was acknowledged and a later poll doesn't list the run, the endpoint has a new incarnation, or
    the lease has expired even on the slowest clock.

    The endpoint gets no new runs while its data centre is cordoned, nor before the agent knows the
    cordons, since an entry may not know them yet.

        RunnerState runner = makeRunner(settings, incarnation, fence);
        RunnerActions actions = handleHeartbeat(runner, report, now);
        ... execute the actions ...
        actions = handleStartResult(runner, id, result, now);

    [SECTION] Settings
    [SECTION] Commands
    [SECTION] Results
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <foxwing/base/decayingsum.h>
#include <foxwing/catalog/agreedstate.h>
#include <foxwing/eventlog/eventlog.h>
#include <foxwing/jobs/messages.h>

namespace foxwing::runner {

// [SECTION] Settings

struct RunnerSettings
{
    // Runs of an entry that has been silent for this long are stopped. Together with the endpoint
    // lease and the time of a stop, this must stay below the shortest time after which a caller
    // that lost its entry may resubmit its job (1.3 s).
    Milliseconds sessionTimeout { 450 };

    // Lease of the endpoint, renewed by every poll: how long its runs go on without contact to the
    // agent. Covers an agent that gets no CPU for half a second; sessionTimeout gives the upper
    // bound.
    Milliseconds leaseDuration { 400 };

    // How long a poll waits at the endpoint for a run to end while something runs. Also bounds the
    // age of the progress reports, which must stay well below the duration of the shortest tasks.
    Milliseconds busyPollWait { 60 };

    // The same while nothing runs. Well below leaseDuration, since a run that starts meanwhile has
    // only the lease of its start command until the poll returns.
    Milliseconds idlePollWait { 200 };

    // A start without a reply is repeated under the same run number for this long, then the run is
    // stopped. Allows several attempts of 25 ms, so that few runs are stopped even if half of all
    // commands get lost.
    Milliseconds startTimeout { 150 };

    // For this long after a failed poll, polls wait at the endpoint no longer than
    // cautiousPollWait: a lost poll delays its reports by the time that it waits.
    Milliseconds pollFailureWindow { 1000 };
    Milliseconds cautiousPollWait { 20 };

    // Consecutive polls that fail before the endpoint counts as unreachable. Until then the next
    // poll follows at once and doesn't wait, so it renews the lease as well. With half of the
    // commands lost, seven in a row fail about once in a hundred times.
    std::uint32_t maxFailedPolls { 7 };

    // Pause between polls of an endpoint that is unreachable or still has runs of an earlier agent.
    Milliseconds pollRetryDelay { 40 };

    // A stop is repeated after this long if the run's end isn't listed. The endpoint takes up to 50
    // ms to stop a run.
    Milliseconds stopRetryInterval { 70 };

    // When a run can't be stopped for this long, the lease of the whole endpoint is not renewed.
    Milliseconds stopTimeout { 350 };

    // Longest delay of capacity updates to entries with waiting work. Well below the duration of
    // the shortest tasks, so that capacity doesn't stay idle.
    Milliseconds capacityUpdateInterval { 10 };

    // The same for entries without waiting work, and the longest time until a heartbeat is
    // acknowledged. A quarter of the silence after which an entry considers an agent lost, and long
    // enough to keep the number of updates small.
    Milliseconds idleUpdateInterval { 100 };

    // Progress is compared with the estimate after this run time: twice the delay that a reply can
    // have on a busy host.
    Milliseconds stragglerCheckDelay { 40 };

    // A run is a straggler if its projected duration exceeds this percentage of its estimate, or if
    // it is stalled. Estimates are off by 40 percent and endpoints differ in speed by 25.
    std::uint32_t stragglerPercent { 250 };

    // A run without progress for this long, plus a tenth of its estimate, is stalled.
    Milliseconds stallTimeout { 45 };

    // How often a straggler is reported again.
    Milliseconds stragglerReportInterval { 150 };

    // Averaging window of the rate at which ended runs free capacity: several of the shortest
    // tasks, and less than a burst of work.
    Milliseconds freedWindow { 300 };

    // Limit of the rows about waiting starts in an update. The last row sums up the least urgent
    // priorities, so that updates stay small whatever queues are declared.
    std::size_t maxWaitingRows = 8;

    // Maximum demand of waiting starts of one priority and of more urgent ones, in percent of the
    // endpoint's capacity.
    std::int64_t maxWaitingPercent = 15;

    // A new agent waits this long for the cordons from control, then accepts those that an entry
    // knows, since control may be down. With control up, links to it are established within 0.1 s.
    Milliseconds cordonTimeout { 1000 };

    // Previous incarnations of the endpoint that are remembered: more than can crash within the
    // longest delay of a heartbeat.
    std::size_t maxPreviousIncarnations = 16;

    // How long tasks that ran when the endpoint crashed are remembered, and how many of them.
    // Longer than entries remember a job, and enough for several crashes of a full endpoint.
    Milliseconds crashRetention { 60000 };
    std::size_t maxCrashedTasks = 256;

    // Limit of log lines per second about ignored heartbeats. Endpoints send one every 1.5 s.
    std::uint32_t maxIgnoredHeartbeatLines = 5;

    // Whether an endpoint whose runs fail or straggle is put on probation: it then gets one run at
    // a time, and a pause after each fault.
    bool probationEnabled = true;

    // The fault score rises by faultStep with each failure or straggler, and is multiplied by
    // faultDecay with each run that ends on time. Probation lasts while it is at least
    // probationThreshold.
    double faultStep = 0.25;
    double faultDecay = 0.7;
    double probationThreshold = 0.7;
    Milliseconds probationPause { 400 };
};

// [SECTION] Commands

struct StartCommand
{
    jobs::RunId id;
    std::string payload;

    // On the endpoint's clock. The endpoint doesn't start the run later than this, and its lease
    // lasts at least until then.
    Milliseconds deadline { 0 };
    std::uint64_t fence = 0;
    std::string endpointIncarnation;
};

struct StopCommand
{
    jobs::RunId id;
    std::uint64_t fence = 0;
    std::string endpointIncarnation;
};

// A long poll: renews the lease, acknowledges ended runs, and waits for the next one to end.
struct PollCommand
{
    std::uint64_t number = 0;

    // New end of the lease, on the endpoint's clock; if not set, the lease isn't renewed.
    std::optional<Milliseconds> deadline;
    std::uint64_t fence = 0;

    // Ended runs up to this number are acknowledged; the endpoint may forget them.
    std::uint64_t lastSeenEnd = 0;
    Milliseconds wait { 0 };
    std::string endpointIncarnation;
};

// [SECTION] Results

enum class CommandStatus {
    Ok,

    // Another agent, or an earlier incarnation of this one, has used a higher fence.
    Fenced,

    // The endpoint has seen this run or a later run of the task before.
    StaleRun,

    // The deadline has passed.
    TooLate,
    NoCapacity,

    // The command was for another incarnation of the endpoint.
    OtherIncarnation,

    // Rejected without any effect.
    Busy,
    Invalid,

    // Nothing listens at the endpoint's address.
    ConnectionRefused,

    // No reply: the command may have taken effect, or may do so later.
    None,
};

const char *toString(CommandStatus status);

struct CommandResult
{
    CommandStatus status = CommandStatus::None;
    std::optional<Milliseconds> endpointClock;
};

struct RunProgress
{
    jobs::RunId id;
    std::uint32_t percent = 0;
};

struct EndedRun
{
    std::uint64_t number = 0;
    jobs::RunId id;
    jobs::RunOutcome end = jobs::RunOutcome::Done;
};

struct PollResult
{
    CommandResult result;
    std::vector<RunProgress> running;
    std::vector<EndedRun> ended;

    // Start of the endpoint process that replied, by its own wall clock
    std::optional<WallTime> startedAt;
};

// One incarnation of an endpoint's process. The next one may have the same id.
struct IncarnationId
{
    std::string id;

    // Start of the process, by its own wall clock. Not set on platforms that don't report it and
    // give each incarnation its own id.
    std::optional<WallTime> startedAt;
};

bool operator==(const IncarnationId &left, const IncarnationId &right);
bool operator!=(const IncarnationId &left, const IncarnationId &right);

// The endpoint's description of itself, from a heartbeat.
struct EndpointReport
{
    IncarnationId endpointIncarnation;
    std::string service;
    std::string dataCentre;
    std::vector<std::string> labels;
    jobs::ResourceVector capacity;
    bool leaving = false;

    // While leaving: minimum time until it is gone
    Milliseconds remaining { 0 };
    std::uint64_t sequence = 0;
    std::optional<Milliseconds> clock;
};

// [SECTION] State

enum class RunState {
    // The start command has not been confirmed yet.
    Starting,
    Running,
    Stopping,
};

struct Run
{
    std::uint64_t session = 0;
    std::string payload;
    jobs::ResourceVector demand;
    Milliseconds estimate { 0 };
    RunState state = RunState::Starting;

    // Number of start commands sent
    std::uint32_t attempts = 0;
    Time startSentAt {};
    Time startedAt {};

    // The endpoint has confirmed or listed it.
    bool confirmed = false;

    // Stopping
    Time stoppingSince {};
    Time stopSentAt {};

    // A stop command has been sent and has no result yet.
    bool stopPending = false;

    // Number of the first poll that proves the run gone if it doesn't list it: the first one after
    // an acknowledged stop, a refusal as a stale run, or a new incarnation. 0 if there is none.
    std::uint64_t decisivePoll = 0;

    // Started in a previous incarnation of the endpoint and not yet listed by the current one
    bool carriedOver = false;

    // How it ended if it was lost with that incarnation
    jobs::RunOutcome outcomeIfLost = jobs::RunOutcome::Lost;

    std::uint32_t percent = 0;
    Time progressAt {};
    bool straggling = false;
    bool stalled = false;

    // Remaining time at its current speed; zero if it is stalled
    Milliseconds remaining { 0 };

    // When it was last reported as a straggler, and whether it ever was
    Time stragglerReportedAt {};
    bool wasStraggling = false;
};

// A start that waits at this agent for capacity. No command for it has been sent yet.
struct WaitingStart
{
    jobs::RunId id;
    std::uint64_t session = 0;
    std::string payload;
    jobs::ResourceVector demand;
    Milliseconds estimate { 0 };
    std::uint32_t priority = 0;
    Time until {};
};

// One entry's connection.
struct Session
{
    std::string owner;
    Time lastReceivedAt {};
    bool accepted = false;

    // Closed; kept until its runs have stopped.
    bool closed = false;
    std::uint64_t heartbeat = 0;
    std::uint64_t startsHandled = 0;
    std::uint64_t reportedHeartbeat = 0;
    std::uint64_t reportedStarts = 0;

    // A start was refused for lack of capacity: more of it is reported at once.
    bool refusedForCapacity = false;

    // Work waits for capacity at the entry.
    bool needsCapacity = false;

    // There is something to report at once.
    bool dirty = false;
    Time lastSentAt {};
    jobs::ResourceVector reportedFree;
    std::uint32_t reportedMaxStarts = 0;
    bool reportedLeaving = false;
    std::uint64_t reportedViewVersion = 0;
    std::vector<jobs::RunReport> ended;
    std::vector<jobs::StragglerReport> stragglers;

    // The last crash that was reported to it
    std::uint64_t reportedCrash = 0;
};

// A task that ran when the endpoint crashed.
struct CrashedTask
{
    jobs::TaskId task;
    std::uint32_t crashes = 0;

    // The last of these crashes, and its number among all crashes
    Time crashedAt {};
    std::uint64_t number = 0;
};

// Where an agent gets the cordons from.
enum class CordonSource {
    Control,

    // May be out of date: an entry passes on the last cordons that it got from control.
    Entry,
};

// State within one incarnation of the endpoint, reset for the next one: heartbeat and end numbers
// start anew, so comparing them across incarnations would drop heartbeats and lose ends.
struct IncarnationState
{
    // A heartbeat has reported its service and capacity; before that it is known only from a list
    // of runs.
    bool described = false;

    // It has replied to a poll.
    bool responded = false;

    // No runs of earlier agents are left; those are stopped before anything is started.
    bool clean = false;
    std::set<jobs::RunId> orphans;

    // Latest reading of the endpoint's clock, and when it arrived here
    std::optional<Milliseconds> clockSample;
    Time clockSampledAt {};

    // Latest end of the lease that any command may have set, on the endpoint's clock
    Milliseconds leaseUntil { 0 };

    // Highest number of an ended run that has been handled
    std::uint64_t lastSeenEnd = 0;

    // Consecutive failed polls, and the last failure
    std::uint32_t failedPolls = 0;
    std::optional<Time> pollFailedAt;

    // Health: fault score from 0 to 1, the last fault, and the mean of run time to estimate
    double faultScore = 0;
    Time lastFaultAt {};
    double slowdown = 1.0;
};

struct RunnerState
{
    RunnerSettings settings;

    // Of this agent
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0;

    // Consecutive rejections of the fence; each one doubles the next raise.
    std::uint32_t fenceRejections = 0;

    // The endpoint; its id is empty while none is known.
    EndpointReport endpoint;
    IncarnationState incarnationState;

    // Previous incarnations, the last one at the end; delayed heartbeats of theirs are ignored.
    std::deque<IncarnationId> previousIncarnations;

    // The newest ignored heartbeat that may be from the next incarnation. It may also be delayed or
    // stray; the next poll shows which. candidateAfterPoll is the last poll that was sent before it
    // arrived.
    std::optional<EndpointReport> candidate;
    std::uint64_t candidateAfterPoll = 0;

    // Version of the endpoint's description; entries get the description again when it changes.
    std::uint64_t viewVersion = 1;
    bool stopping = false;

    // Tasks that ran in a crash of any incarnation of the endpoint, the last one at the end
    std::deque<CrashedTask> crashedTasks;
    std::uint64_t lastCrash = 0;

    // The newest known cordons; nothing is started before they are known.
    catalog::Cordons cordons;
    bool cordonsKnown = false;
    bool cordonsFromEntry = false;
    Time firstTickAt {};

    std::map<jobs::RunId, Run> runs;
    std::map<std::uint64_t, Session> sessions;

    // By priority, then in the order of arrival
    std::vector<WaitingStart> waiting;

    // Capacity freed by ended runs, in millicores
    DecayingSum freed;

    // Polls: number of the last one sent; results of polls up to lastAnsweredPoll are ignored.
    std::uint64_t pollNumber = 0;
    std::uint64_t lastAnsweredPoll = 0;
    bool pollPending = false;
    Time nextPollAt {};
    bool wasOnProbation = false;

    // Counters for metrics
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t ignoredHeartbeats = 0;

    // Log lines about ignored heartbeats in the second that started at ignoredHeartbeatSecond
    Time ignoredHeartbeatSecond {};
    std::uint32_t ignoredHeartbeatLines = 0;
};

struct RunnerActions
{
    std::vector<StartCommand> starts;
    std::vector<StopCommand> stops;
    std::optional<PollCommand> poll;
    std::vector<std::pair<std::uint64_t, jobs::SessionAccepted>> acceptances;
    std::vector<std::pair<std::uint64_t, jobs::AgentUpdate>> updates;

    // Numbers of sessions whose connections are to be closed
    std::vector<std::uint64_t> closes;
    std::vector<eventlog::Event> events;
};

// [SECTION] Functions

// The fence should be above those of the agent's earlier incarnations; if it isn't, the endpoint
// rejects it and it is raised.
RunnerState makeRunner(const RunnerSettings &settings, std::uint64_t incarnation,
                       std::uint64_t fence);

// Heartbeats of the endpoint, and the notice that it has shut down.
RunnerActions handleHeartbeat(RunnerState &runner, const EndpointReport &report, Time now);
RunnerActions handleDeregistration(RunnerState &runner, const IncarnationId &endpointIncarnation,
                                   Time now);

// Older cordons than the known ones are ignored.
RunnerActions handleCordons(RunnerState &runner, const catalog::Cordons &cordons,
                            CordonSource source, Time now);

// Whether the endpoint's data centre is cordoned.
bool isCordoned(const RunnerState &runner);

// Messages of entries. Session numbers are never reused.
RunnerActions openSession(RunnerState &runner, std::uint64_t session, const std::string &owner,
                          Time now);
RunnerActions closeSession(RunnerState &runner, std::uint64_t session, Time now);
RunnerActions startTasks(RunnerState &runner, std::uint64_t session,
                         const jobs::StartTasks &message, Time now);
RunnerActions stopRuns(RunnerState &runner, std::uint64_t session, const jobs::StopRuns &message,
                       Time now);
RunnerActions handleSessionHeartbeat(RunnerState &runner, std::uint64_t session,
                                     const jobs::SessionHeartbeat &message, Time now);

// Results of commands. Each command gets exactly one result, which may be None.
RunnerActions handleStartResult(RunnerState &runner, const jobs::RunId &id,
                                const CommandResult &result, Time now);
RunnerActions handleStopResult(RunnerState &runner, const jobs::RunId &id,
                               const CommandResult &result, Time now);
RunnerActions handlePollResult(RunnerState &runner, std::uint64_t number, const PollResult &poll,
                               Time now);

RunnerActions tick(RunnerState &runner, Time now);

// Planned shutdown: no new starts are accepted. Complete once isShutDown() returns true.
RunnerActions beginShutdown(RunnerState &runner, Time now);
RunnerActions stopAllRuns(RunnerState &runner, Time now);
bool isShutDown(const RunnerState &runner);

// Age of the oldest run that holds capacity; zero if there is none.
Microseconds oldestRunAge(const RunnerState &runner, Time now);

// The endpoint as reported to entries.
jobs::EndpointView makeEndpointView(const RunnerState &runner, Time now);

} // namespace foxwing::runner
