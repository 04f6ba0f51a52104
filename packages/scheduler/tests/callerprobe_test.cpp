/*
    Which callers are probed after the loss of sessions, and when.

    [SECTION] Probes
*/
#include <foxwing/scheduler/callerprobe.h>

#include "fixture.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Probes

struct ProbeCase
{
    const char *name;

    // Time since the loss of a session; none: no session was lost
    std::optional<Milliseconds> after;

    // Jobs of one task; the only endpoint fits four
    int jobs;

    // Time since an earlier probe
    std::optional<Milliseconds> probedBefore;

    // Whether the lost agent is the one with the jobs
    bool agentLost;
    std::size_t toProbe;
};

std::ostream &operator<<(std::ostream &out, const ProbeCase &tested)
{
    return out << tested.name;
}

class CallerProbes : public testing::TestWithParam<ProbeCase>
{ };

TEST_P(CallerProbes, CoverWhatMayBePlaced)
{
    SchedulerFixture fixture({ 4000 });
    CallerProbeState probes;
    for (int i = 0; i < GetParam().jobs; ++i)
        fixture.submit("job-" + std::to_string(i), 1);
    if (GetParam().agentLost)
        agentLost(fixture.scheduler, "agent-0", fixture.now);
    if (GetParam().after) {
        recordSessionLost(probes, fixture.now);
        fixture.now += *GetParam().after;
    }
    if (GetParam().probedBefore)
        callersToProbe(probes, fixture.scheduler, fixture.now - *GetParam().probedBefore);
    EXPECT_EQ(callersToProbe(probes, fixture.scheduler, fixture.now).size(), GetParam().toProbe);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, CallerProbes,
        testing::Values(
                ProbeCase { "NothingWasLost", {}, 6, {}, false, 0 },
                ProbeCase { "WorkWaits", Milliseconds(10), 6, {}, false, 2 },
                ProbeCase { "AllRunsAreUncertain", Milliseconds(10), 6, {}, true, 6 },
                ProbeCase { "AllIsPlaced", Milliseconds(10), 3, {}, false, 0 },
                ProbeCase { "ProbedJustNow", Milliseconds(10), 6, Milliseconds(4), false, 0 },
                ProbeCase { "ProbedLongAgo", Milliseconds(10), 6, Milliseconds(5), false, 2 },
                ProbeCase { "LongAfterTheLoss", Milliseconds(2000), 6, {}, false, 0 }),
        [](const auto &tested) { return tested.param.name; });

TEST(CallerProbe, IsDueAfterEachLossButOnceForManyLosses)
{
    SchedulerFixture fixture({ 1000 });
    fixture.submit("placed", 1);
    fixture.submit("waits", 1);
    CallerProbeState probes;
    recordSessionLost(probes, fixture.now);
    EXPECT_EQ(callersToProbe(probes, fixture.scheduler, fixture.now).size(), 1U);
    recordSessionLost(probes, fixture.now + Milliseconds(1));
    EXPECT_EQ(callersToProbe(probes, fixture.scheduler, fixture.now + Milliseconds(1)).size(), 0U);
    EXPECT_EQ(callersToProbe(probes, fixture.scheduler, fixture.now + Milliseconds(9)).size(), 1U);
    recordSessionLost(probes, fixture.now + Milliseconds(10));
    EXPECT_EQ(callersToProbe(probes, fixture.scheduler, fixture.now + Milliseconds(10)).size(), 1U);
}

} // namespace
} // namespace foxwing::scheduler
