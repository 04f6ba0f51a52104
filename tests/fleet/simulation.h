/*
    Simulation of a small fleet in virtual time: entries, agents and fake endpoints, callers that
    resend a job after losing their entry, and faults drawn from a seed.

    The scheduler and the runner are those of the daemon. After each step invariants are checked on
    the runs at the endpoints: capacity is never exceeded, no task has two runs at once, and no run
    goes on long after the last caller stopped waiting for its job.

    [SECTION] Settings
    [SECTION] Simulation
*/
#pragma once

#include <memory>
#include <queue>
#include <random>
#include <set>

#include <foxwing/scheduler/callerprobe.h>

#include "endpoint.h"

namespace foxwing::test {

// [SECTION] Settings

enum class Fault {
    EntryKill,
    EntrySuspend,
    AgentKill,
    AgentSuspend,
    Partition,
    LateCommands,
    EndpointCrash,
    EndpointUnreachable,
    EndpointStall,
    EndpointSlow,
    EndpointFails,
    CallerReconnects,

    // A caller disconnects and doesn't resend its job.
    CallerCancels,

    // A data centre is cordoned for a while.
    Cordon,

    // Control commits nothing and sends no updates.
    ControlUnavailable,

    // An endpoint restarts under the same name, with its counters and clock reset.
    EndpointRestart,

    // It reports that it leaves, continues to work for a while, and restarts.
    EndpointLeaves,

    // An entry repeatedly releases its idle sessions, as after changes of its subset.
    SessionsReleased,

    // Callers lose their entries unnoticed; just before they resend their jobs, all connections are
    // reset. Entries learn late or never which callers have disconnected, and their sessions are
    // reopened one by one.
    ConnectionsReset,

    // Calls reach their entries only after their callers have timed out.
    CallsDelayed,
};

// Number of faults at the start of the enumeration, which allFaults() combines: with these, every
// job is resent until it is answered.
constexpr int CommonFaults = 12;

struct SimulationSettings
{
    std::uint64_t seed = 1;
    int entries = 2;
    int agents = 4;
    Milliseconds duration { 12000 };
    Milliseconds jobInterval { 25 };

    // In milliseconds
    int maxTaskTime = 600;

    // Number of priorities; with more than one, starts of the most urgent are queued at agents.
    std::uint32_t priorities = 1;

    // Each job with a number divisible by this crashes the endpoints that run it; 0: none.
    std::uint64_t crashingEvery = 0;

    // Empty: no faults
    std::vector<Fault> faults;
    int maxFaults = 6;

    // Guards: tests change or disable these to check that invariants are violated without them.
    runner::RunnerSettings runner;
    scheduler::SchedulerSettings scheduler;
    bool fenceIncreases = true;

    // Agents ignore cordons.
    bool agentsIgnoreCordons = false;

    // Endpoints don't report when their incarnation started, though names are reused.
    bool startTimesNotReported = false;

    // The clocks of processes stop while their host is suspended.
    bool clocksStopWhenSuspended = false;

    // Agents don't report which tasks were running when their endpoints crashed.
    bool crashesNotReported = false;

    // Entries don't probe callers when a call arrives, or before placing tasks after a loss of
    // sessions.
    bool callersNotProbed = false;

    // Endpoints execute commands with lower fences than they have seen.
    bool fencesIgnored = false;
};

struct SimulationReport
{
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t timedOut = 0;

    // Jobs answered as not run though a task had started
    std::uint64_t falseNotRun = 0;
    std::uint64_t capacityExceeded = 0;
    std::uint64_t runsOverlapped = 0;

    // Runs that went on long after the last caller stopped waiting for their job
    std::uint64_t runsUnwanted = 0;

    // Starts in a data centre that had been cordoned for longer than updates take
    std::uint64_t startsCordoned = 0;

    // Starts at an endpoint long after its agent had acknowledged that it leaves
    std::uint64_t startsLeaving = 0;

    // Runs for which an agent held capacity long after they ended
    std::uint64_t runsHeld = 0;

    // Starts of a task that had crashed CrashLimit endpoints, beyond StartsAfterLimit
    std::uint64_t startsCrashing = 0;

    // Jobs that timed out though they don't crash endpoints themselves
    std::uint64_t othersTimedOut = 0;
    std::string firstViolation;
};

// [SECTION] Simulation

class Simulation
{
public:
    explicit Simulation(const SimulationSettings &settings);
    ~Simulation();

    SimulationReport run();

private:
    struct Process;
    struct Entry;
    struct Agent;
    struct Call;
    struct Session;

    void at(Time when, std::function<void()> callback);
    void on(Process &process, Milliseconds delay, std::function<void()> callback);
    Time clockOf(const Process &process) const;
    void suspend(Process &process, Milliseconds duration);

    void submitJobs();
    void submit(const jobs::JobSpec &spec, Time firstSent);
    Milliseconds callDelay(std::uint64_t call, int entry);
    void receiveCall(int entry, std::uint64_t call, const jobs::JobSpec &spec);
    void closeAndResend(std::uint64_t call);
    void closeCall(std::uint64_t call);
    void disconnectCaller(int entry, bool resends);
    void loseCallersSilently();
    void resetAll();
    void resetCallers(int entry);
    void resetSessions(int entry);
    void handleClosedLater(int entry, std::uint64_t job, std::uint64_t call);
    void handleClosed(int entry, std::uint64_t job, std::uint64_t call);
    void probeCallers(int entry);
    void tickEntry(int entry);
    void tickAgent(int agent);
    void connect(int entry, int agent);
    void disconnect(int entry, int agent);
    void releaseSessions(int entry, int rounds);
    bool isReachable(int entry, int agent) const;
    void execute(int entry, const scheduler::SchedulerActions &actions);
    void execute(int agent, const runner::RunnerActions &actions);
    void sendToAgent(int entry, const scheduler::AgentSend &send);
    void handleAnswer(int entry, const scheduler::JobAnswer &answer);
    template<class Command, class Do, class Handler>
    void sendCommand(int agent, const Command &command, Milliseconds wait, Do run, Handler handle);
    void startHeartbeats(int agent);
    void sendHeartbeat(int agent);

    // Control and cordons
    std::string dataCentreOf(int agent) const;
    void changeCordon(const std::string &dataCentre, bool cordoned);
    void sendCordonsToAgent(int agent);
    void sendCordonsToEntry(int entry);
    void recordStart(int agent);
    bool isCrashing(const std::string &job) const;
    void recordCrashingStart(int agent, const jobs::RunId &id);
    void crashEndpoint(int agent, const jobs::RunId &id);

    void scheduleFaults();
    void injectFault(Fault fault);
    void restartEntry(int entry, Milliseconds after);
    void restartAgent(int agent, Milliseconds after);
    void restartEndpoint(int agent);
    void checkInvariants();
    void checkHeldRuns(Agent &agent);
    void recordViolation(std::uint64_t &counter, const std::string &what);

    SimulationSettings m_settings;
    std::mt19937_64 m_random;
    Time m_now { Seconds(1000) };
    Time m_end {};
    std::uint64_t m_lastSequence = 0;
    struct Event
    {
        Time when {};
        std::uint64_t sequence = 0;
        std::function<void()> callback;
        bool operator<(const Event &other) const
        {
            return std::tie(other.when, other.sequence) < std::tie(when, sequence);
        }
    };
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<Agent>> m_agents;
    std::map<std::uint64_t, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastSession = 0;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastFence = 1000;

    // Tasks' demands and work, by job
    std::map<std::string, jobs::JobSpec> m_specs;
    std::set<std::string> m_startedJobs;

    // By task: endpoints that it crashed, and its starts after CrashLimit crashes
    std::map<jobs::TaskId, int> m_crashes;
    std::map<jobs::TaskId, int> m_startsAfterLimit;

    // By job: callers that wait for it, and when the last one stopped waiting
    std::map<std::string, int> m_callers;
    std::map<std::string, Time> m_unwantedSince;

    // Control: committed cordons, since when each data centre is cordoned, and until when control
    // is unavailable
    catalog::Cordons m_cordons;
    std::map<std::string, Time> m_cordonedSince;
    Time m_controlUnavailableUntil {};
    Time m_callsDelayedUntil {};
    SimulationReport m_report;
};

} // namespace foxwing::test
