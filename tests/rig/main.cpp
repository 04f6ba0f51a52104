/*
    Runs the load replay with several policy variants, and prints a table for each scenario.

        policy_rig [seeds [part of a scenario's name [part of a variant's name]]]

    [SECTION] Variants
    [SECTION] Main
*/
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "rig.h"

namespace {

using foxwing::test::RigReport;
using foxwing::test::RigSettings;

// [SECTION] Variants

struct Variant
{
    const char *name;
    std::function<void(RigSettings &)> change;
};

void serveLate(RigSettings &settings)
{
    settings.scheduler.serveLate = true;
}

Variant guaranteeVariant(const char *name, std::uint32_t percent)
{
    return { name, [percent](RigSettings &s) {
                s.scheduler.waitingQueues = foxwing::scheduler::WaitingQueues::AllButLeast;
                s.scheduler.shares.guaranteedPercent = percent;
            } };
}

std::vector<Variant> variants()
{
    using foxwing::scheduler::Order;
    return {
        { "default policy", [](RigSettings &) {} },
        { "all but the least urgent queue wait at agents",
          [](RigSettings &s) {
              s.scheduler.waitingQueues = foxwing::scheduler::WaitingQueues::AllButLeast;
          } },
        guaranteeVariant("all but the least urgent queue wait at agents, 50 percent guaranteed",
                         50),
        guaranteeVariant("all but the least urgent queue wait at agents, 60 percent guaranteed",
                         60),
        guaranteeVariant("all but the least urgent queue wait at agents, 70 percent guaranteed",
                         70),
        guaranteeVariant("all but the least urgent queue wait at agents, 80 percent guaranteed",
                         80),
        { "late jobs keep waiting", [](RigSettings &s) { s.scheduler.refuseLate = false; } },
        { "forecast", [](RigSettings &s) { s.scheduler.forecast = true; } },
        { "forecast at 100 percent",
          [](RigSettings &s) {
              s.scheduler.forecast = true;
              s.scheduler.maxWaitPercent = 100;
          } },
        { "forecast at 400 percent",
          [](RigSettings &s) {
              s.scheduler.forecast = true;
              s.scheduler.maxWaitPercent = 400;
          } },
        { "late jobs are served last", serveLate },
        { "late jobs are served last, all but the least urgent queue wait at agents",
          [](RigSettings &s) {
              serveLate(s);
              s.scheduler.waitingQueues = foxwing::scheduler::WaitingQueues::AllButLeast;
          } },
        { "nothing waits at agents", [](RigSettings &s) { s.scheduler.maxShortfallPercent = 0; } },
        { "no probation of endpoints", [](RigSettings &s) { s.runner.probationEnabled = false; } },
        { "random placement",
          [](RigSettings &s) { s.scheduler.placement = foxwing::scheduler::Placement::Random; } },
        { "order: first come", [](RigSettings &s) { s.scheduler.order = Order::FirstCome; } },
        { "order: latest start", [](RigSettings &s) { s.scheduler.order = Order::LatestStart; } },
        { "order: least work", [](RigSettings &s) { s.scheduler.order = Order::LeastWork; } },
        { "margin 30 percent", [](RigSettings &s) { s.scheduler.marginPercent = 30; } },
        { "margin 80 percent", [](RigSettings &s) { s.scheduler.marginPercent = 80; } },
        { "refused at arrival from 100 percent",
          [](RigSettings &s) { s.scheduler.maxWaitPercent = 100; } },
        { "capacity updates every 5 ms",
          [](RigSettings &s) { s.runner.capacityUpdateInterval = foxwing::Milliseconds(5); } },
        { "at most 64 unplaced jobs", [](RigSettings &s) { s.scheduler.maxUnplaced = 64; } },
        { "scheduler ticks every 5 ms", [](RigSettings &s) { s.tick = foxwing::Milliseconds(5); } },
    };
}

void addQueue(foxwing::test::QueueReport &total, const foxwing::test::QueueReport &queue)
{
    total.submitted += queue.submitted;
    total.onTime += queue.onTime;
    total.late += queue.late;
    total.refused += queue.refused;
    total.failed += queue.failed;
    total.largeSubmitted += queue.largeSubmitted;
    total.largeOnTime += queue.largeOnTime;
    total.largeRefused += queue.largeRefused;
    for (const auto &[number, entry] : queue.entries) {
        total.entries[number].submitted += entry.submitted;
        total.entries[number].refused += entry.refused;
    }
    total.refusalDelays.insert(total.refusalDelays.end(), queue.refusalDelays.begin(),
                               queue.refusalDelays.end());
}

// Combines the reports of all seeds: means of percentages, sums of counts.
RigReport replaySeeds(RigSettings (*scenario)(std::uint64_t), const Variant &variant,
                      std::uint64_t seeds)
{
    RigReport sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RigSettings settings = scenario(seed);
        variant.change(settings);
        const RigReport one = foxwing::test::replay(settings);
        const double wrong = foxwing::test::wronglyRefusedPercent(settings, one);
        const auto weight = 1.0 / static_cast<double>(seeds);
        sum.creditPercent += weight * one.creditPercent;
        sum.servedPercent += weight * one.servedPercent;
        sum.refusedImmediatelyPercent += weight * one.refusedImmediatelyPercent;
        sum.wronglyRefusedPercent += weight * wrong;
        sum.startsPerTask += weight * one.startsPerTask;
        sum.idleWhileWaitingPercent += weight * one.idleWhileWaitingPercent;
        sum.refusedDespiteCapacity += one.refusedDespiteCapacity;
        for (const auto &[name, queue] : one.queues)
            addQueue(sum.queues[name], queue);
    }
    return sum;
}

// Prints the results of one scenario for the variants whose names contain the filter.
void printScenario(const char *name, RigSettings (*scenario)(std::uint64_t), std::uint64_t seeds,
                   const std::string &filter)
{
    std::vector<std::pair<std::string, RigReport>> rows;
    for (const Variant &variant : variants()) {
        if (std::string(variant.name).find(filter) != std::string::npos)
            rows.emplace_back(variant.name, replaySeeds(scenario, variant, seeds));
    }
    std::printf("%s, %llu seeds\n\n%s\n", name, static_cast<unsigned long long>(seeds),
                foxwing::test::table(rows).c_str());
}

} // namespace

// [SECTION] Main

int main(int count, char **arguments)
{
    struct Scenario
    {
        const char *name;
        RigSettings (*settings)(std::uint64_t);
    };
    const std::vector<Scenario> scenarios {
        { "Long overload", foxwing::test::longOverload },
        { "Cordoned data centre", foxwing::test::cordonedDataCentre },
        { "Short overload", foxwing::test::shortOverload },
        { "Competing queues", foxwing::test::competingQueues },
        { "Uneven endpoints", foxwing::test::unevenEndpoints },
    };
    const std::uint64_t seeds = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 3;
    const std::string scenarioFilter = count > 2 ? arguments[2] : "";
    const std::string variantFilter = count > 3 ? arguments[3] : "";
    for (const Scenario &scenario : scenarios) {
        if (std::string(scenario.name).find(scenarioFilter) != std::string::npos)
            printScenario(scenario.name, scenario.settings, seeds, variantFilter);
    }
    return 0;
}
