/*
    A load replay in virtual time: many entries and agents, three queues of jobs from simulated
    callers, and load that exceeds the capacity for some time. Decisions are made by the daemon's
    scheduler and runner; links have a delay, endpoints differ in speed, and some fail every run or
    are unreachable.

    The report is deterministic for given settings and seed.

        RigSettings settings;
        settings.scheduler.order = scheduler::Order::FirstCome;
        const RigReport report = replay(settings);

    [SECTION] Settings
    [SECTION] Report
    [SECTION] Functions
*/
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include <foxwing/runner/runner.h>
#include <foxwing/scheduler/scheduler.h>

namespace foxwing::test {

// [SECTION] Settings

// The load of one queue.
struct QueueLoad
{
    std::string name;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 4;
    double perSecond = 0;

    // Mean run time of a task at an endpoint of speed 1; varies by job
    Milliseconds work { 200 };

    // Mean number of tasks of a job; varies by job
    double taskCount = 2;
    std::uint32_t maxTaskCount = 8;

    // Credit for a job of mean size; weights the queues in sums
    double credit = 1;

    // Mean CPU demand of a task; varies by job
    double milliCores = 1500;

    // Share of jobs whose tasks take tailFactor times as long; their estimates follow
    double tailShare = 0;
    double tailFactor = 1;
};

// A period in which arrival rates are multiplied by a factor.
struct Burst
{
    Milliseconds from { 0 };
    Milliseconds until { 0 };
    double factor = 1;

    // Only this queue; empty: all queues
    std::string queue;
};

// A period in which some endpoints are unusable.
struct EndpointFault
{
    enum class Kind {
        // All their runs fail immediately.
        Fails,

        // Their agents are unreachable.
        Unreachable,
    };
    Kind kind = Kind::Fails;
    Milliseconds from { 0 };
    Milliseconds until { 0 };

    // Share of all endpoints, in percent
    int percent = 10;
};

// A period in which a data centre is cordoned.
struct CordonPeriod
{
    Milliseconds from { 0 };
    Milliseconds until { 0 };
    int dataCentre = 0;
};

struct RigSettings
{
    std::uint64_t seed = 1;

    // Counts of entries and agents, and shares of calls, by data centre
    std::vector<int> entries { 4, 4, 3 };
    std::vector<int> agents { 22, 22, 21 };
    std::vector<double> callers { 0.32, 0.38, 0.30 };

    // Assigned to endpoints in turn
    std::vector<double> speeds { 0.8, 1.0, 1.25 };
    std::vector<std::int64_t> cores { 16000, 16000, 24000 };

    std::vector<QueueLoad> queues {
        { "short", 0, 2, 166, Milliseconds(60), 8, 32, 2.9 },
        { "middle", 1, 4, 486, Milliseconds(200), 2, 8, 1 },
        { "long", 2, 4, 66, Milliseconds(900), 4, 16, 16 },
    };
    Milliseconds duration { 8000 };

    // How long callers wait beyond the objective of their job; unset: callers set no deadline
    std::optional<Milliseconds> callerTimeout;

    // Interval of the scheduler's ticks
    Milliseconds tick { 20 };
    std::vector<Burst> bursts;
    std::vector<EndpointFault> faults;
    std::vector<CordonPeriod> cordons;
    Microseconds localDelay { 200 };
    Microseconds remoteDelay { 900 };
    scheduler::SchedulerSettings scheduler;
    runner::RunnerSettings runner;
};

// [SECTION] Report

// Calls at one entry.
struct EntryReport
{
    std::uint64_t submitted = 0;
    std::uint64_t refused = 0;
};

struct QueueReport
{
    std::uint64_t submitted = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;

    // Counts for the largest tenth of jobs
    std::uint64_t largeSubmitted = 0;
    std::uint64_t largeOnTime = 0;
    std::uint64_t largeRefused = 0;

    // By entry
    std::map<std::size_t, EntryReport> entries;

    // Time from each refused call to its refusal
    std::vector<Microseconds> refusalDelays;
};

struct RigReport
{
    std::map<std::string, QueueReport> queues;

    // Earned credit in percent of the credit of all jobs; late jobs earn a fifth
    double creditPercent = 0;

    // Completed calls, late ones included, in percent of all calls
    double servedPercent = 0;

    // Refusals within 5 ms, in percent of all refusals
    double refusedImmediatelyPercent = 0;

    // Result of wronglyRefusedPercent() for these refusals; set only by callers of that function
    double wronglyRefusedPercent = 0;

    // Start commands per task, including those that agents refused
    double startsPerTask = 0;

    // Refusals while a usable endpoint had free capacity for a task of the job
    std::uint64_t refusedDespiteCapacity = 0;

    // Job ids of calls that were refused within 5 ms, and of those that completed, late or not
    std::set<std::string> refusedImmediately;
    std::set<std::string> completed;

    // Idle capacity of usable endpoints while jobs waited, in percent
    double idleWhileWaitingPercent = 0;
};

// [SECTION] Functions

RigReport replay(const RigSettings &settings);

// Replays the load without refusals at arrival. Returns the percentage of the calls refused
// immediately in the report that complete in this replay.
double wronglyRefusedPercent(const RigSettings &settings, const RigReport &report);

// Overload for 4 s, with endpoints that fail all runs and others that are unreachable.
RigSettings longOverload(std::uint64_t seed);

// The same faults with an overload of 1.2 s.
RigSettings shortOverload(std::uint64_t seed);

// One of three data centres, a third of the endpoints, is cordoned for 4 s at normal load.
RigSettings cordonedDataCentre(std::uint64_t seed);

// Three priorities compete: the least urgent queue has 2.1 times its normal jobs for 6 s, while a
// quarter of the endpoints is unreachable and others fail all runs.
RigSettings competingQueues(std::uint64_t seed);

// Endpoint speeds differ by a factor of 2.7, 3 % of the jobs take seven times as long, and the load
// is 1.5 times the normal one for 4 s.
RigSettings unevenEndpoints(std::uint64_t seed);

// The lowest and the highest share of the queue's jobs that an entry refused, in percent.
std::pair<double, double> refusedByEntry(const QueueReport &queue);

// A Markdown table with a row for each report.
std::string table(const std::vector<std::pair<std::string, RigReport>> &rows);

} // namespace foxwing::test
