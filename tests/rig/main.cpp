/*
    Plays the load replay under several ways of deciding, and prints a table of each spell.

        policy_rig [seeds]

    [SECTION] Ways
    [SECTION] Main
*/
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "rig.h"

namespace {

using foxwing::test::RigReport;
using foxwing::test::RigSettings;

// [SECTION] Ways

struct Way
{
    const char *name;
    std::function<void(RigSettings &)> change;
};

std::vector<Way> ways()
{
    using foxwing::scheduler::Order;
    return {
        { "as it stands", [](RigSettings &) {} },
        { "late jobs wait on", [](RigSettings &s) { s.scheduler.refuseLate = false; } },
        { "nothing waits at agents", [](RigSettings &s) { s.scheduler.waitPercent = 0; } },
        { "endpoints are not judged", [](RigSettings &s) { s.runner.judgeEndpoint = false; } },
        { "any endpoint",
          [](RigSettings &s) { s.scheduler.placement = foxwing::scheduler::Placement::Random; } },
        { "order: first come", [](RigSettings &s) { s.scheduler.order = Order::FirstCome; } },
        { "order: latest begin", [](RigSettings &s) { s.scheduler.order = Order::LatestBegin; } },
        { "order: least work", [](RigSettings &s) { s.scheduler.order = Order::LeastWork; } },
        { "margin 30 percent", [](RigSettings &s) { s.scheduler.marginPercent = 30; } },
        { "margin 80 percent", [](RigSettings &s) { s.scheduler.marginPercent = 80; } },
        { "refused at arrival from 100 percent",
          [](RigSettings &s) { s.scheduler.refuseAtArrivalPercent = 100; } },
        { "room told every 5 ms",
          [](RigSettings &s) { s.runner.roomInterval = foxwing::Milliseconds(5); } },
        { "64 jobs looked through", [](RigSettings &s) { s.scheduler.mostPassedOver = 64; } },
        { "entries turn every 5 ms", [](RigSettings &s) { s.tick = foxwing::Milliseconds(5); } },
    };
}

// The reports of all seeds, added up.
RigReport playSeeds(RigSettings (*spell)(std::uint64_t), const Way &way, std::uint64_t seeds)
{
    RigReport sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RigSettings settings = spell(seed);
        way.change(settings);
        const RigReport one = foxwing::test::play(settings);
        const auto part = 1.0 / static_cast<double>(seeds);
        sum.creditPercent += part * one.creditPercent;
        sum.startsPerTask += part * one.startsPerTask;
        sum.idleWhileWaiting += part * one.idleWhileWaiting;
        sum.refusedWithRoom += one.refusedWithRoom;
        for (const auto &[name, queue] : one.queues) {
            foxwing::test::QueueReport &total = sum.queues[name];
            total.asked += queue.asked;
            total.inAim += queue.inAim;
            total.late += queue.late;
            total.refused += queue.refused;
            total.failed += queue.failed;
            total.largeAsked += queue.largeAsked;
            total.largeInAim += queue.largeInAim;
            total.refusedAfter.insert(total.refusedAfter.end(), queue.refusedAfter.begin(),
                                      queue.refusedAfter.end());
        }
    }
    return sum;
}

void printSpell(const char *name, RigSettings (*spell)(std::uint64_t), std::uint64_t seeds)
{
    std::vector<std::pair<std::string, RigReport>> rows;
    for (const Way &way : ways())
        rows.emplace_back(way.name, playSeeds(spell, way, seeds));
    std::printf("%s, %llu seeds\n\n%s\n", name, static_cast<unsigned long long>(seeds),
                foxwing::test::table(rows).c_str());
}

} // namespace

// [SECTION] Main

int main(int count, char **arguments)
{
    const std::uint64_t seeds = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 3;
    printSpell("Busy spell", foxwing::test::busySpell, seeds);
    printSpell("A third cordoned", foxwing::test::cordonedThird, seeds);
    return 0;
}
