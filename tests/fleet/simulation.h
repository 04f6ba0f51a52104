/*
    A small fleet in virtual time: entries, agents and pretended endpoints, with callers that send a
    job again after they have lost their entry, and faults drawn from a seed.

    Everything that decides is the code that the daemon runs. After each step the promises are
    checked from what the endpoints run: room is never exceeded, no task has two runs at once, and
    none goes on once nobody waits for its job.

    [SECTION] Settings
    [SECTION] World
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
    EntryFreeze,
    AgentKill,
    AgentFreeze,
    Cut,
    LateOrders,
    EndpointCrash,
    EndpointDark,
    EndpointHang,
    EndpointSlow,
    EndpointFails,
    CallerLeaves,

    // A caller goes and does not come back.
    CallerCancels,

    // A data centre is cordoned for a while.
    Cordon,

    // Control tells nobody anything, and agrees on nothing.
    ControlAway,

    // An endpoint crashes and begins again under its name, with all counts and its clock anew.
    EndpointAgain,

    // It says that it leaves, serves on for a while, and begins again.
    EndpointLeaves,

    // An entry gives up its idle sessions, again and again, as one does whose subset changes.
    SessionsReleased,

    // Callers lose their entries without a sign to these; as they are about to send their jobs
    // again, all connections are reset. Entries read late or never which callers are gone, and
    // their sessions come back one by one.
    AllReset,

    // Calls come to their entries only after their callers have given them up.
    CallsHeldUp,
};

// Drawn together as "all": those after which every job is sent again until it is answered
constexpr int Faults = 12;

struct WorldSettings
{
    std::uint64_t seed = 1;
    int entries = 2;
    int agents = 4;
    Milliseconds length { 12000 };
    Milliseconds betweenJobs { 25 };

    // In milliseconds
    int longestTask = 600;

    // Queues of different priorities; with more than one, starts of the most urgent wait at agents.
    std::uint32_t priorities = 1;

    // Every so manieth job crashes each endpoint that runs it; 0: none does.
    std::uint64_t crashingEvery = 0;

    // None in a calm world
    std::vector<Fault> faults;
    int mostFaults = 6;

    // Guards that a test takes away to see them missed
    runner::RunnerSettings runner;
    scheduler::SchedulerSettings scheduler;
    bool fenceRises = true;

    // Agents do not look at cordons.
    bool agentsIgnoreCordons = false;

    // Endpoints do not tell when their lives began, though ids come again.
    bool livesHaveNoDate = false;

    // Processes tell time by a clock that stops while their host is suspended.
    bool clocksStopAsleep = false;

    // Agents do not tell under which tasks their endpoints crashed.
    bool crashesNotTold = false;

    // Entries take in calls, and place work after a loss of sessions, without a look whether the
    // caller is there.
    bool callersNotSeen = false;

    // Endpoints carry out what has a lower fence than what they have seen.
    bool fencesIgnored = false;
};

struct WorldOutcome
{
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t timedOut = 0;

    // Calls answered as not run though a task of theirs had begun
    std::uint64_t falseNotRun = 0;
    std::uint64_t roomExceeded = 0;
    std::uint64_t runsOverlapped = 0;

    // Runs that went on long after nobody waited for their job
    std::uint64_t runsUnwanted = 0;

    // Starts in a data centre that had been cordoned for longer than the news of it takes
    std::uint64_t startsCordoned = 0;

    // Starts at an endpoint long after its agent had acknowledged that it leaves
    std::uint64_t startsLeaving = 0;

    // Runs for which an agent held room long after they were over
    std::uint64_t runsHeld = 0;

    // Starts of a task under which three endpoints had crashed, beyond two
    std::uint64_t startsCrashing = 0;

    // Begun jobs given up that crash nothing themselves
    std::uint64_t othersTimedOut = 0;
    std::string firstViolation;
};

// [SECTION] World

class World
{
public:
    explicit World(const WorldSettings &settings);
    ~World();

    WorldOutcome play();

private:
    struct Process;
    struct Entry;
    struct Agent;
    struct Call;
    struct Session;

    void at(Time when, std::function<void()> job);
    void on(Process &process, Milliseconds delay, std::function<void()> job);
    Time clockOf(const Process &process) const;
    void suspend(Process &process, Milliseconds span);

    void submitJobs();
    void submit(const jobs::JobSpec &spec, Time firstSent);
    Milliseconds wayOfCall(std::uint64_t call, int entry);
    void takeIn(int entry, std::uint64_t call, const jobs::JobSpec &spec);
    void callerLost(std::uint64_t call);
    void closeCall(std::uint64_t call);
    void callerGoes(int entry, bool comesBack);
    void callersLostInSilence();
    void resetAll();
    void resetCallers(int entry);
    void resetSessions(int entry);
    void readEndLater(int entry, std::uint64_t job, std::uint64_t call);
    void readEnd(int entry, std::uint64_t job, std::uint64_t call);
    void seeCallers(int entry);
    void tickEntry(int entry);
    void tickAgent(int agent);
    void connect(int entry, int agent);
    void disconnect(int entry, int agent);
    void releaseSessions(int entry, int turns);
    bool pathOpen(int entry, int agent) const;
    void carryOut(int entry, const scheduler::SchedulerActions &actions);
    void carryOut(int agent, const runner::RunnerActions &actions);
    void sendToAgent(int entry, const scheduler::AgentSend &send);
    void answered(int entry, const scheduler::JobAnswer &answer);
    template<class Order, class Do, class Answered>
    void order(int agent, const Order &order, Milliseconds wait, Do run, Answered back);
    void heartbeat(int agent);
    void report(int agent);

    // Control, which knows the cordons
    std::string dataCentreOf(int agent) const;
    void changeCordon(const std::string &dataCentre, bool cordoned);
    void tellAgent(int agent);
    void tellEntry(int entry);
    void noteStart(int agent);
    bool isCrashing(const std::string &job) const;
    void noteCrashing(int agent, const jobs::RunId &id);
    void crashUnder(int agent, const jobs::RunId &id);

    void drawFaults();
    void strike(Fault fault);
    void restartEntry(int entry, Milliseconds after);
    void restartAgent(int agent, Milliseconds after);
    void endpointBeginsAgain(int agent);
    void check();
    void checkHeldRuns(Agent &agent);
    void violate(std::uint64_t &counter, const std::string &what);

    WorldSettings m_settings;
    std::mt19937_64 m_random;
    Time m_now { Seconds(1000) };
    Time m_end {};
    std::uint64_t m_order = 0;
    struct Event
    {
        Time when {};
        std::uint64_t order = 0;
        std::function<void()> job;
        bool operator<(const Event &other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<Agent>> m_agents;
    std::map<std::uint64_t, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastSession = 0;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastLife = 0;
    std::uint64_t m_lastFence = 1000;

    // Tasks' rooms and work, by job
    std::map<std::string, jobs::JobSpec> m_specs;
    std::set<std::string> m_began;

    // Crashes of endpoints under a task that crashes them, and its starts after the third
    std::map<jobs::TaskId, int> m_crashes;
    std::map<jobs::TaskId, int> m_startsBeyond;

    // By job: callers that wait for it, and when the last one ceased to
    std::map<std::string, int> m_callers;
    std::map<std::string, Time> m_unwantedSince;

    // Control: what is agreed, since when each data centre is cordoned, and until when it is away
    catalog::Cordons m_cordons;
    std::map<std::string, Time> m_cordonedSince;
    Time m_controlAwayUntil {};
    Time m_callsHeldUntil {};
    WorldOutcome m_outcome;
};

} // namespace foxwing::test
