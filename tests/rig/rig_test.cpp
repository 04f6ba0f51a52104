/*
    Checks on the load replay that each scheduling mechanism improves results under the load that it
    is meant for.

    [SECTION] Helpers
    [SECTION] Replay
    [SECTION] Mechanisms
    [SECTION] Forecast
    [SECTION] Guaranteed share
    [SECTION] Cordons
*/
#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

#include "rig.h"

namespace foxwing::test {
namespace {

// [SECTION] Helpers

constexpr std::uint64_t Seeds = 3;

// Mean credit of all seeds, in percent of the credit of all jobs.
double meanCredit(RigSettings (*scenario)(std::uint64_t),
                  const std::function<void(RigSettings &)> &change)
{
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        RigSettings settings = scenario(seed);
        change(settings);
        sum += replay(settings).creditPercent;
    }
    return sum / Seeds;
}

void defaultPolicy(RigSettings &) { }

// [SECTION] Replay

TEST(RigReplay, IsTheSameForTheSameSeed)
{
    const RigReport first = replay(longOverload(7));
    const RigReport second = replay(longOverload(7));
    EXPECT_EQ(table({ { "", first } }), table({ { "", second } }));
    EXPECT_GT(first.queues.at("middle").refused, 0U);
}

// [SECTION] Mechanisms

struct MechanismCase
{
    const char *name;
    std::function<void(RigSettings &)> switchOff;

    // Minimum loss of credit without the mechanism, in percentage points
    double minCreditLoss;
};

std::ostream &operator<<(std::ostream &out, const MechanismCase &testCase)
{
    return out << testCase.name;
}

class Mechanisms : public testing::TestWithParam<MechanismCase>
{ };

TEST_P(Mechanisms, RaiseCreditDuringOverload)
{
    static const double baseline = meanCredit(longOverload, defaultPolicy);
    const double without = meanCredit(longOverload, GetParam().switchOff);
    EXPECT_GE(baseline - without, GetParam().minCreditLoss) << baseline << " with the mechanism";
}

INSTANTIATE_TEST_SUITE_P(
        Rig, Mechanisms,
        testing::Values(
                MechanismCase { "LateJobsAreRefused",
                                [](RigSettings &s) { s.scheduler.refuseLate = false; }, 0.3 },
                MechanismCase { "UrgentJobsQueueAtAgents",
                                [](RigSettings &s) { s.scheduler.maxShortfallPercent = 0; }, 0.4 },
                MechanismCase { "FailingEndpointsGoOnProbation",
                                [](RigSettings &s) { s.runner.probationEnabled = false; }, 7.0 },
                MechanismCase { "FasterEndpointsFirst",
                                [](RigSettings &s) {
                                    s.scheduler.placement = scheduler::Placement::Random;
                                },
                                0.5 }),
        [](const auto &testCase) { return testCase.param.name; });

// [SECTION] Forecast

struct ScenarioCase
{
    const char *name;
    RigSettings (*scenario)(std::uint64_t);
};

std::ostream &operator<<(std::ostream &out, const ScenarioCase &testCase)
{
    return out << testCase.name;
}

class Forecasts : public testing::TestWithParam<ScenarioCase>
{ };

struct Means
{
    double credit = 0;
    double served = 0;
    double refusedImmediately = 0;
};

// Means of all seeds, in percent.
Means meansOf(RigSettings (*scenario)(std::uint64_t),
              const std::function<void(RigSettings &)> &change)
{
    Means means;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        RigSettings settings = scenario(seed);
        change(settings);
        const RigReport report = replay(settings);
        means.credit += report.creditPercent / Seeds;
        means.served += report.servedPercent / Seeds;
        means.refusedImmediately += report.refusedImmediatelyPercent / Seeds;
    }
    return means;
}

// Refusing jobs that can't be on time as soon as they arrive lets more calls be served.
TEST_P(Forecasts, RefuseImmediatelyAndServeMore)
{
    const Means without = meansOf(GetParam().scenario, defaultPolicy);
    const Means with = meansOf(GetParam().scenario, [](RigSettings &settings) {
        settings.scheduler.forecast = true;
        settings.scheduler.maxWaitPercent = 100;
    });
    EXPECT_GE(with.refusedImmediately, 50);
    EXPECT_GT(with.served, without.served);
}

void serveLate(RigSettings &settings)
{
    settings.scheduler.serveLate = true;
}

// Difference of credit between seeds, in percentage points
constexpr double SeedNoise = 0.5;

// In a long overload, serving late jobs doesn't cost other jobs credit, and at least half of the
// refusals come within a quarter of the objective.
TEST_P(Forecasts, RefuseUnservableJobsEarly)
{
    constexpr Microseconds QuarterOfLong = Milliseconds(350);
    std::vector<Microseconds> refusalDelays;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        RigSettings settings = GetParam().scenario(seed);
        serveLate(settings);
        const std::vector<Microseconds> after = replay(settings).queues.at("long").refusalDelays;
        refusalDelays.insert(refusalDelays.end(), after.begin(), after.end());
    }
    std::sort(refusalDelays.begin(), refusalDelays.end());
    ASSERT_FALSE(refusalDelays.empty());
    EXPECT_LE(refusalDelays[refusalDelays.size() / 2], QuarterOfLong);
    const Means without = meansOf(GetParam().scenario, defaultPolicy);
    const Means with = meansOf(GetParam().scenario, serveLate);
    EXPECT_GT(with.served, without.served);
    EXPECT_GT(with.credit, without.credit - SeedNoise);
}

// In a short overload, at least a fifth of the calls that would be refused are served late.
TEST(LateJobs, AreServedAfterAShortOverload)
{
    constexpr double MinGain = 0.2;
    const Means without = meansOf(shortOverload, defaultPolicy);
    const Means with = meansOf(shortOverload, serveLate);
    EXPECT_LT(100 - with.served, (100 - without.served) * (1 - MinGain));
    EXPECT_GT(with.credit, without.credit - SeedNoise);
}

INSTANTIATE_TEST_SUITE_P(Rig, Forecasts,
                         testing::Values(ScenarioCase { "CompetingQueues", competingQueues },
                                         ScenarioCase { "LongOverload", longOverload }),
                         [](const auto &testCase) { return testCase.param.name; });

// [SECTION] Guaranteed share

// Calls of the queue that weren't refused in competingQueues(), in percent
double servedPercent(const std::string &queue, const std::function<void(RigSettings &)> &change)
{
    std::uint64_t submitted = 0;
    std::uint64_t refused = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        RigSettings settings = competingQueues(seed);
        change(settings);
        const RigReport report = replay(settings);
        submitted += report.queues.at(queue).submitted;
        refused += report.queues.at(queue).refused;
    }
    return 100.0 * static_cast<double>(submitted - refused) / static_cast<double>(submitted);
}

std::function<void(RigSettings &)> withGuarantee(std::uint32_t percent)
{
    return [percent](RigSettings &settings) {
        settings.scheduler.waitingQueues = scheduler::WaitingQueues::AllButLeast;
        settings.scheduler.shares.guaranteedPercent = percent;
    };
}

constexpr std::uint32_t GuaranteedPercent = 70;

TEST(RigGuarantee, IsKeptForTheLeastUrgentQueue)
{
    const double served = servedPercent("long", withGuarantee(GuaranteedPercent));
    EXPECT_GE(served, GuaranteedPercent);
    EXPECT_GE(served, servedPercent("long", withGuarantee(0)) + 5);
}

TEST(RigGuarantee, ServesTheMiddleQueueBetterThanNoBacklogAtAgents)
{
    const auto nothingWaits = [](RigSettings &settings) {
        settings.scheduler.maxShortfallPercent = 0;
    };
    EXPECT_GE(servedPercent("middle", withGuarantee(GuaranteedPercent)),
              servedPercent("middle", nothingWaits) + 1);
}

TEST(RigGuarantee, DoesNotAffectTheMostUrgentQueue)
{
    EXPECT_GE(servedPercent("short", withGuarantee(GuaranteedPercent)), 99.0);
}

// [SECTION] Cordons

// At normal load, the other data centres can serve all jobs while a third of the endpoints is
// cordoned.
TEST(RigCordon, LeavesEnoughCapacityForTheNormalLoad)
{
    EXPECT_GE(meanCredit(cordonedDataCentre, defaultPolicy), 99.0);
}

} // namespace
} // namespace foxwing::test
