/*
    A load replay in virtual time: many entries and agents, three queues of jobs that come as
   callers send them, and more work than room for a while. The decisions are those that the daemon
   runs; links have a delay, endpoints differ in speed, some fail all that they start or are out of
   reach.

    The same settings and seed give the same report.

        RigSettings settings;
        settings.scheduler.order = scheduler::Order::FirstCome;
        const RigReport report = play(settings);

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

// Jobs of one queue.
struct QueueLoad
{
    std::string name;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 4;
    double perSecond = 0;

    // Of a task at an endpoint of speed 1; of one job to the next with the spread below
    Milliseconds work { 200 };

    // Tasks of a job, with the spread below
    double taskCount = 2;
    std::uint32_t maxTaskCount = 8;

    // Credit of a job of mean size, for sums over queues
    double credit = 1;

    // Thousandths of a core that a task takes, with a spread
    double milliCores = 1500;

    // Part of the jobs whose work is so many times as long, as their callers' guesses say too
    double tailShare = 0;
    double tailFactor = 1;
};

// More work than usual for a while.
struct Burst
{
    Milliseconds from { 0 };
    Milliseconds until { 0 };
    double factor = 1;

    // Of this queue alone; empty: of all
    std::string queue;
};

// Endpoints that are of no use for a while.
struct EndpointFault
{
    enum class Kind {
        // All that they start fails at once.
        Fails,

        // Nobody reaches their agents.
        Unreachable,
    };
    Kind kind = Kind::Fails;
    Milliseconds from { 0 };
    Milliseconds until { 0 };

    // Part of all endpoints, in percent
    int percent = 10;
};

struct CordonPeriod
{
    Milliseconds from { 0 };
    Milliseconds until { 0 };
    int dataCentre = 0;
};

struct RigSettings
{
    std::uint64_t seed = 1;

    // By data centre
    std::vector<int> entries { 4, 4, 3 };
    std::vector<int> agents { 22, 22, 21 };
    std::vector<double> callers { 0.32, 0.38, 0.30 };

    // By turns
    std::vector<double> speeds { 0.8, 1.0, 1.25 };
    std::vector<std::int64_t> cores { 16000, 16000, 24000 };

    std::vector<QueueLoad> queues {
        { "short", 0, 2, 166, Milliseconds(60), 8, 32, 2.9 },
        { "middle", 1, 4, 486, Milliseconds(200), 2, 8, 1 },
        { "long", 2, 4, 66, Milliseconds(900), 4, 16, 16 },
    };
    Milliseconds duration { 8000 };

    // Callers wait so long beyond their job's objective, if they say so at all.
    std::optional<Milliseconds> callerTimeout;

    // Between the entries' turns
    Milliseconds tick { 20 };
    std::vector<Burst> bursts;
    std::vector<EndpointFault> faults;
    std::vector<CordonPeriod> cordons;
    Microseconds nearDelay { 200 };
    Microseconds farDelay { 900 };
    scheduler::SchedulerSettings scheduler;
    runner::RunnerSettings runner;
};

// [SECTION] Report

// What one entry was asked for and refused.
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

    // The same of the tenth of jobs with most work
    std::uint64_t largeSubmitted = 0;
    std::uint64_t largeOnTime = 0;
    std::uint64_t largeRefused = 0;

    // By entry
    std::map<std::size_t, EntryReport> entries;

    // From the call to its refusal
    std::vector<Microseconds> refusalDelays;
};

struct RigReport
{
    std::map<std::string, QueueReport> queues;

    // Credit of jobs on time, of all that was asked, in percent
    double creditPercent = 0;

    // Calls that were completed, late ones included, in percent
    double servedPercent = 0;

    // Refusals that came within 5 ms, in percent of all refusals
    double refusedImmediatelyPercent = 0;

    // Of these, those that hindsight shows as wrong, if that was asked for
    double wronglyRefusedPercent = 0;

    // Starts that were ordered for each task, refused ones included
    double startsPerTask = 0;

    // Refusals when an endpoint that could run a task of the job had room for it
    std::uint64_t refusedDespiteCapacity = 0;

    // Calls that were refused within 5 ms, and those that were completed in time or late
    std::set<std::string> refusedImmediately;
    std::set<std::string> completed;

    // Room of sound endpoints that stood idle while jobs waited, in percent
    double idleWhileWaitingPercent = 0;
};

// [SECTION] Functions

RigReport replay(const RigSettings &settings);

// Of the calls that were refused at once, how many are completed in the same load if none is
// refused at arrival, in percent.
double wronglyRefusedPercent(const RigSettings &settings, const RigReport &report);

// Load that is above the room for 4 s, with endpoints that fail and others out of reach.
RigSettings longOverload(std::uint64_t seed);

// The same load above the room for little more than a second.
RigSettings shortOverload(std::uint64_t seed);

// A third of the endpoints is cordoned for 4 s, at the usual load.
RigSettings cordonedDataCentre(std::uint64_t seed);

// Queues of three priorities compete: twice the usual jobs of the least urgent one for 6 s, while a
// quarter of the endpoints is out of reach.
RigSettings competingQueues(std::uint64_t seed);

// Endpoints whose speeds differ by 2.7, jobs of which 3 in 100 take seven times as long, and half
// as much again of everything for 4 s.
RigSettings unevenEndpoints(std::uint64_t seed);

// The entry that refused the least and the one that refused the most of the queue's jobs, in
// percent of those that it was asked for.
std::pair<double, double> refusedByEntry(const QueueReport &queue);

// A table of the reports, a row each.
std::string table(const std::vector<std::pair<std::string, RigReport>> &rows);

} // namespace foxwing::test
