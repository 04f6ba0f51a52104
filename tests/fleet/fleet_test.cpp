/*
    Invariants of a simulated fleet under random faults, and that they are violated when a guard is
    disabled.

    FOXWING_SEEDS sets the number of seeds for each row, FOXWING_FIRST_SEED the first one.

    [SECTION] Without faults
    [SECTION] Invariants
    [SECTION] Crashing tasks
    [SECTION] Guards
*/
#include <cstdlib>
#include <gtest/gtest.h>

#include "simulation.h"

namespace foxwing::test {
namespace {

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// [SECTION] Without faults

TEST(FleetWithoutFaults, CompletesAllJobs)
{
    SimulationSettings settings;
    settings.jobInterval = Milliseconds(60);
    const SimulationReport report = Simulation(settings).run();
    EXPECT_GT(report.submitted, 100U);
    EXPECT_EQ(report.completed, report.submitted);
    EXPECT_EQ(report.firstViolation, "");
}

TEST(FleetWithoutFaults, RefusesUnderOverloadWithoutViolations)
{
    SimulationSettings settings;
    settings.jobInterval = Milliseconds(8);
    const SimulationReport report = Simulation(settings).run();
    EXPECT_GT(report.notRun, 0U);
    EXPECT_GT(report.completed, 0U);
    EXPECT_EQ(report.falseNotRun, 0U);
    EXPECT_EQ(report.firstViolation, "");
}

// [SECTION] Invariants

struct FaultCase
{
    const char *name;
    std::vector<Fault> faults;

    // Minimum of completed jobs relative to the same seeds without faults, in percent
    std::uint64_t minPercent;

    // With more than one the load is higher, so that starts wait at agents for capacity.
    std::uint32_t priorities = 1;
};

std::ostream &operator<<(std::ostream &out, const FaultCase &given)
{
    return out << given.name;
}

std::vector<Fault> allFaults()
{
    std::vector<Fault> faults;
    faults.reserve(CommonFaults);
    for (int i = 0; i < CommonFaults; ++i)
        faults.push_back(static_cast<Fault>(i));
    return faults;
}

std::vector<Fault> allFaultsAndCancels()
{
    std::vector<Fault> faults = allFaults();
    faults.insert(faults.end(), 4, Fault::CallerCancels);
    return faults;
}

class Invariants : public testing::TestWithParam<FaultCase>
{ };

std::uint64_t firstSeed()
{
    return numberFromEnvironment("FOXWING_FIRST_SEED", 1);
}

std::uint64_t endSeed()
{
    return firstSeed() + numberFromEnvironment("FOXWING_SEEDS", 12);
}

// Without faults
SimulationSettings settingsFor(std::uint64_t seed, std::uint32_t priorities)
{
    constexpr Milliseconds ShortJobInterval { 15 };
    SimulationSettings settings;
    settings.seed = seed;
    settings.priorities = priorities;
    if (priorities > 1)
        settings.jobInterval = ShortJobInterval;
    return settings;
}

std::uint64_t completedWithoutFaults(std::uint32_t priorities)
{
    static std::map<std::uint32_t, std::uint64_t> completed;
    const auto known = completed.find(priorities);
    if (known != completed.end())
        return known->second;
    std::uint64_t sum = 0;
    for (std::uint64_t seed = firstSeed(); seed < endSeed(); ++seed)
        sum += Simulation(settingsFor(seed, priorities)).run().completed;
    completed[priorities] = sum;
    return sum;
}

TEST_P(Invariants, HoldOnEverySchedule)
{
    std::uint64_t completed = 0;
    for (std::uint64_t seed = firstSeed(); seed < endSeed(); ++seed) {
        SimulationSettings settings = settingsFor(seed, GetParam().priorities);
        settings.faults = GetParam().faults;
        const SimulationReport report = Simulation(settings).run();
        ASSERT_EQ(report.firstViolation, "") << "seed " << seed;
        ASSERT_EQ(report.falseNotRun, 0U) << "seed " << seed;
        completed += report.completed;
    }
    EXPECT_GE(completed * 100,
              completedWithoutFaults(GetParam().priorities) * GetParam().minPercent);
}

INSTANTIATE_TEST_SUITE_P(
        Fleet, Invariants,
        testing::Values(
                FaultCase { "EntryKill", { Fault::EntryKill }, 90 },
                FaultCase { "EntrySuspend", { Fault::EntrySuspend }, 78 },
                FaultCase { "AgentKill", { Fault::AgentKill }, 83 },
                FaultCase { "AgentSuspend", { Fault::AgentSuspend }, 81 },
                FaultCase { "Partition", { Fault::Partition }, 81 },
                FaultCase { "LateCommands", { Fault::LateCommands }, 95 },
                FaultCase { "EndpointCrash", { Fault::EndpointCrash }, 90 },
                FaultCase { "EndpointRestart", { Fault::EndpointRestart }, 90 },
                FaultCase { "EndpointLeaves", { Fault::EndpointLeaves }, 80 },
                FaultCase { "EndpointRestartAndLateCommands",
                            { Fault::EndpointRestart, Fault::LateCommands },
                            88 },
                FaultCase { "EndpointRestartAndAgentKill",
                            { Fault::EndpointRestart, Fault::EndpointLeaves, Fault::AgentKill },
                            80 },
                FaultCase { "SessionsReleased", { Fault::SessionsReleased }, 95 },
                FaultCase { "SessionsReleasedAndAll",
                            { Fault::SessionsReleased, Fault::EntryKill, Fault::EntrySuspend,
                              Fault::AgentKill, Fault::AgentSuspend, Fault::Partition,
                              Fault::LateCommands },
                            80 },
                FaultCase { "SessionsReleasedAndWaiting",
                            { Fault::SessionsReleased, Fault::Partition, Fault::AgentSuspend },
                            80,
                            2 },
                FaultCase { "HostsSuspended",
                            { Fault::AgentSuspend, Fault::EntrySuspend, Fault::Partition,
                              Fault::AgentKill },
                            78 },
                FaultCase { "EndpointUnreachable", { Fault::EndpointUnreachable }, 83 },
                FaultCase { "EndpointStall", { Fault::EndpointStall }, 82 },
                FaultCase { "EndpointSlow", { Fault::EndpointSlow }, 79 },
                FaultCase { "EndpointFails", { Fault::EndpointFails }, 81 },
                FaultCase { "CallerReconnects", { Fault::CallerReconnects }, 96 },
                FaultCase { "LateCommandsAndKills",
                            { Fault::LateCommands, Fault::AgentKill, Fault::EntryKill },
                            91 },
                FaultCase { "PartitionsAndLateCommands",
                            { Fault::Partition, Fault::LateCommands },
                            88 },
                FaultCase { "All", allFaults(), 85 },
                FaultCase { "CancelAndLateCommands",
                            { Fault::CallerCancels, Fault::LateCommands },
                            95 },
                FaultCase { "CancelAndAgentKill", { Fault::CallerCancels, Fault::AgentKill }, 83 },
                FaultCase { "CancelAndEntryKill", { Fault::CallerCancels, Fault::EntryKill }, 88 },
                FaultCase { "CancelAndPartition", { Fault::CallerCancels, Fault::Partition }, 81 },
                FaultCase { "CancelAndEndpointCrash",
                            { Fault::CallerCancels, Fault::EndpointCrash },
                            90 },
                FaultCase { "CancelAndAll", allFaultsAndCancels(), 83 },
                FaultCase { "ConnectionsReset", { Fault::ConnectionsReset }, 89 },
                FaultCase { "ConnectionsResetAndWaiting", { Fault::ConnectionsReset }, 88, 2 },
                FaultCase { "CallsDelayed", { Fault::CallsDelayed }, 65 },
                FaultCase { "CallsDelayedAndConnectionsReset",
                            { Fault::CallsDelayed, Fault::ConnectionsReset },
                            50 },
                FaultCase { "Cordon", { Fault::Cordon }, 77 },
                FaultCase { "CordonAndAgentKill", { Fault::Cordon, Fault::AgentKill }, 78 },
                FaultCase { "CordonAndEntryKill", { Fault::Cordon, Fault::EntryKill }, 84 },
                FaultCase { "CordonAndPartition", { Fault::Cordon, Fault::Partition }, 79 },
                FaultCase { "CordonAndSuspends",
                            { Fault::Cordon, Fault::AgentSuspend, Fault::EntrySuspend },
                            79 },
                FaultCase { "CordonAndEndpointCrash",
                            { Fault::Cordon, Fault::EndpointCrash, Fault::LateCommands },
                            86 },
                FaultCase { "CordonAndControlUnavailable",
                            { Fault::Cordon, Fault::ControlUnavailable, Fault::AgentKill,
                              Fault::EntryKill },
                            85 },
                FaultCase {
                        "WaitingAndSuspends", { Fault::AgentSuspend, Fault::EntrySuspend }, 85, 2 },
                FaultCase {
                        "WaitingAndPartitions", { Fault::Partition, Fault::AgentSuspend }, 83, 2 },
                FaultCase { "WaitingAndAll", allFaults(), 86, 2 }),
        [](const auto &given) { return given.param.name; });

// [SECTION] Crashing tasks

// A few of many jobs crash the endpoints that run them, and are resent after each answer.
SimulationSettings crashingSettings(std::uint64_t seed)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.entries = 6;
    settings.agents = 12;
    settings.maxTaskTime = 300;
    settings.crashingEvery = 200;
    return settings;
}

struct CrashingCase
{
    const char *name;
    std::vector<Fault> faults;
};

std::ostream &operator<<(std::ostream &out, const CrashingCase &given)
{
    return out << given.name;
}

class CrashingTasks : public testing::TestWithParam<CrashingCase>
{ };

TEST_P(CrashingTasks, AreGivenUpByAllEntries)
{
    for (std::uint64_t seed = firstSeed(); seed < endSeed(); ++seed) {
        SimulationSettings settings = crashingSettings(seed);
        settings.faults = GetParam().faults;
        const SimulationReport report = Simulation(settings).run();
        ASSERT_EQ(report.firstViolation, "") << "seed " << seed;
        ASSERT_EQ(report.falseNotRun, 0U) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleet, CrashingTasks,
                         testing::Values(CrashingCase { "NoFaults", {} },
                                         CrashingCase { "EntryKill", { Fault::EntryKill } },
                                         CrashingCase { "ConnectionsReset",
                                                        { Fault::ConnectionsReset } },
                                         CrashingCase { "Partition", { Fault::Partition } }),
                         [](const auto &given) { return given.param.name; });

// Without crash reports of agents, jobs that crash endpoints are retried at each entry, and make
// more than twice as many other jobs time out.
TEST(CrashReports, LimitCrashesOfOtherJobs)
{
    SimulationReport reported;
    SimulationReport unreported;
    for (std::uint64_t seed = firstSeed(); seed < endSeed(); ++seed) {
        SimulationSettings settings = crashingSettings(seed);
        reported.othersTimedOut += Simulation(settings).run().othersTimedOut;
        settings.crashesNotReported = true;
        const SimulationReport report = Simulation(settings).run();
        unreported.othersTimedOut += report.othersTimedOut;
        unreported.startsCrashing += report.startsCrashing;
    }
    EXPECT_GT(unreported.startsCrashing, 0U);
    EXPECT_LT(reported.othersTimedOut * 2, unreported.othersTimedOut);
}

// [SECTION] Guards

struct GuardCase
{
    const char *name;
    std::function<void(SimulationSettings &)> disable;
    std::vector<Fault> faults;
};

std::ostream &operator<<(std::ostream &out, const GuardCase &given)
{
    return out << given.name;
}

class Guards : public testing::TestWithParam<GuardCase>
{ };

TEST_P(Guards, AreNeededForInvariants)
{
    for (std::uint64_t seed = 1; seed < 400; ++seed) {
        SimulationSettings settings;
        settings.seed = seed;
        settings.faults = GetParam().faults;
        // Long enough to be still running when its caller resends it
        settings.maxTaskTime = 3000;
        settings.jobInterval = Milliseconds(60);
        GetParam().disable(settings);
        if (!Simulation(settings).run().firstViolation.empty())
            return;
    }
    FAIL() << "no invariant was violated without the guard";
}

INSTANTIATE_TEST_SUITE_P(
        Fleet, Guards,
        testing::Values(
                // Without a session timeout an agent continues the runs of a killed entry.
                GuardCase { "SessionTimeout",
                            [](SimulationSettings &s) {
                                s.runner.sessionTimeout = std::chrono::hours(1);
                            },
                            { Fault::EntryKill } },
                // An entry that has not read that its callers disconnected places their jobs again.
                GuardCase { "CallerProbes",
                            [](SimulationSettings &s) { s.callersNotProbed = true; },
                            { Fault::ConnectionsReset } },
                // The same with calls that arrive after their callers timed out
                GuardCase { "CallerProbesAtArrival",
                            [](SimulationSettings &s) { s.callersNotProbed = true; },
                            { Fault::CallsDelayed } },
                // A lost agent's tasks are restarted elsewhere before it has stopped their runs.
                GuardCase { "LostRunTimeout",
                            [](SimulationSettings &s) {
                                s.scheduler.lostRunTimeout = Milliseconds(50);
                            },
                            { Fault::Partition } },
                // An agent that does not check cordons starts tasks in a cordoned data centre.
                GuardCase { "Cordons",
                            [](SimulationSettings &s) { s.agentsIgnoreCordons = true; },
                            { Fault::Cordon, Fault::EntrySuspend } },
                // Without start times, counters of one incarnation are compared with those of the
                // next.
                GuardCase { "StartTime",
                            [](SimulationSettings &s) { s.startTimesNotReported = true; },
                            { Fault::EndpointRestart } },
                // Commands sent to the previous incarnation are executed by the next one.
                GuardCase { "FenceOfIncarnation",
                            [](SimulationSettings &s) { s.fencesIgnored = true; },
                            { Fault::EndpointRestart, Fault::LateCommands } },
                // A long lease outlives a killed agent.
                GuardCase {
                        "Lease",
                        [](SimulationSettings &s) { s.runner.leaseDuration = Milliseconds(5000); },
                        { Fault::AgentKill } },
                // With a clock that stops while the host is suspended, a resumed agent takes old
                // messages of its entries and its endpoint for recent ones.
                GuardCase { "ClockCountsSuspension",
                            [](SimulationSettings &s) { s.clocksStopWhenSuspended = true; },
                            { Fault::AgentSuspend, Fault::EntrySuspend } },
                // The same when the cancelled job is not resent
                GuardCase { "LeaseAfterCancel",
                            [](SimulationSettings &s) {
                                s.runner.leaseDuration = Milliseconds(5000);
                                s.maxFaults = 12;
                            },
                            { Fault::CallerCancels, Fault::AgentKill } },
                // Start commands of a previous incarnation of the agent are executed late.
                GuardCase { "Deadline",
                            [](SimulationSettings &s) {
                                s.runner.leaseDuration = std::chrono::minutes(1);
                                s.fenceIncreases = false;
                            },
                            { Fault::LateCommands, Fault::AgentKill } }),
        [](const auto &given) { return given.param.name; });

} // namespace
} // namespace foxwing::test
