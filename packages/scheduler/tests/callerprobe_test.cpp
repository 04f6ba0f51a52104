/*
    Which callers are probed after the loss of sessions, and when.

    [SECTION] Looks
*/
#include <foxwing/scheduler/callerprobe.h>

#include "bench.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Looks

struct LookCase
{
    const char *name;

    // Time since the loss of a session; none: no session was lost
    std::optional<Milliseconds> after;

    // Jobs of one task; the only endpoint fits four
    int jobs;

    // Time since an earlier probe
    std::optional<Milliseconds> lookedBefore;

    // Whether the lost agent is the one with the jobs
    bool agentLost;
    std::size_t toSee;
};

std::ostream &operator<<(std::ostream &out, const LookCase &tested)
{
    return out << tested.name;
}

class Looks : public testing::TestWithParam<LookCase>
{ };

TEST_P(Looks, AreAtWhatMayBePlaced)
{
    Bench bench({ 4000 });
    CallerProbeState watch;
    for (int i = 0; i < GetParam().jobs; ++i)
        bench.submit("job-" + std::to_string(i), 1);
    if (GetParam().agentLost)
        agentLost(bench.scheduler, "agent-0", bench.now);
    if (GetParam().after) {
        recordSessionLost(watch, bench.now);
        bench.now += *GetParam().after;
    }
    if (GetParam().lookedBefore)
        callersToProbe(watch, bench.scheduler, bench.now - *GetParam().lookedBefore);
    EXPECT_EQ(callersToProbe(watch, bench.scheduler, bench.now).size(), GetParam().toSee);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Looks,
        testing::Values(
                LookCase { "NothingWasLost", {}, 6, {}, false, 0 },
                LookCase { "WorkWaits", Milliseconds(10), 6, {}, false, 2 },
                LookCase { "AllRunsAreUncertain", Milliseconds(10), 6, {}, true, 6 },
                LookCase { "AllIsPlaced", Milliseconds(10), 3, {}, false, 0 },
                LookCase { "LookedJustNow", Milliseconds(10), 6, Milliseconds(4), false, 0 },
                LookCase { "LookedLongAgo", Milliseconds(10), 6, Milliseconds(5), false, 2 },
                LookCase { "LongAfterTheLoss", Milliseconds(2000), 6, {}, false, 0 }),
        [](const auto &tested) { return tested.param.name; });

TEST(CallerLooks, AreDueAnewAfterEachLossButNotForEachOfMany)
{
    Bench bench({ 1000 });
    bench.submit("placed", 1);
    bench.submit("waits", 1);
    CallerProbeState watch;
    recordSessionLost(watch, bench.now);
    EXPECT_EQ(callersToProbe(watch, bench.scheduler, bench.now).size(), 1U);
    recordSessionLost(watch, bench.now + Milliseconds(1));
    EXPECT_EQ(callersToProbe(watch, bench.scheduler, bench.now + Milliseconds(1)).size(), 0U);
    EXPECT_EQ(callersToProbe(watch, bench.scheduler, bench.now + Milliseconds(9)).size(), 1U);
    recordSessionLost(watch, bench.now + Milliseconds(10));
    EXPECT_EQ(callersToProbe(watch, bench.scheduler, bench.now + Milliseconds(10)).size(), 1U);
}

} // namespace
} // namespace foxwing::scheduler
