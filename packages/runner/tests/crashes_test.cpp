/*
    Records of tasks that ran when the endpoint crashed, and their reports to entries.

    [SECTION] Crashes
*/
#include "fixture.h"

namespace foxwing::runner {
namespace {

// [SECTION] Crashes

constexpr std::uint64_t OtherSession = 2;

// Crash counts that were reported to a session, by task index
std::map<std::uint32_t, std::uint32_t> crashesReportedTo(std::uint64_t session,
                                                         const RunnerActions &actions)
{
    std::map<std::uint32_t, std::uint32_t> reported;
    const auto add = [&](std::uint64_t to, const std::vector<jobs::CrashReport> &crashed) {
        for (const jobs::CrashReport &report : crashed) {
            if (to == session)
                reported[report.task.index] = report.crashes;
        }
    };
    for (const auto &[to, message] : actions.acceptances)
        add(to, message.crashed);
    for (const auto &[to, message] : actions.updates)
        add(to, message.crashed);
    return reported;
}

// A new incarnation without previous notice of leaving; no runs are listed.
RunnerActions crash(RunnerFixture &fixture, const std::string &nextId)
{
    const RunnerActions actions = fixture.replaceEndpoint(nextId);
    fixture.completePoll({});
    return actions;
}

using Crashes = std::map<std::uint32_t, std::uint32_t>;

TEST(RunnerCrashes, AreReportedToAllEntriesOnce)
{
    RunnerFixture fixture;
    openSession(fixture.runner, OtherSession, "entry-2", fixture.now);
    fixture.start(1);
    fixture.start(2);
    const RunnerActions actions = crash(fixture, "incarnation-2");
    EXPECT_EQ(crashesReportedTo(EntrySession, actions), Crashes({ { 1, 1 }, { 2, 1 } }));
    EXPECT_EQ(crashesReportedTo(OtherSession, actions), Crashes({ { 1, 1 }, { 2, 1 } }));
    EXPECT_EQ(crashesReportedTo(OtherSession, fixture.advance(Milliseconds(200))), Crashes());
}

TEST(RunnerCrashes, AreReportedToNewSessions)
{
    RunnerFixture fixture;
    fixture.start(1);
    crash(fixture, "incarnation-2");
    fixture.start(1, 1000, 2);
    crash(fixture, "incarnation-3");
    const RunnerActions actions = openSession(fixture.runner, OtherSession, "entry-2", fixture.now);
    EXPECT_EQ(crashesReportedTo(OtherSession, actions), Crashes({ { 1, 2 } }));
}

struct CrashMemoryCase
{
    const char *name;
    std::size_t limit;
    Milliseconds after;
    Crashes reported;
};

std::ostream &operator<<(std::ostream &out, const CrashMemoryCase &tested)
{
    return out << tested.name;
}

class CrashMemory : public testing::TestWithParam<CrashMemoryCase>
{ };

TEST_P(CrashMemory, IsBounded)
{
    RunnerFixture fixture;
    fixture.runner.settings.maxCrashedTasks = GetParam().limit;
    fixture.start(1);
    fixture.start(2);
    crash(fixture, "incarnation-2");
    fixture.now += GetParam().after;
    const RunnerActions actions = openSession(fixture.runner, OtherSession, "entry-2", fixture.now);
    EXPECT_EQ(crashesReportedTo(OtherSession, actions), GetParam().reported);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, CrashMemory,
        testing::Values(CrashMemoryCase { "InTime", 256, Milliseconds(0), { { 1, 1 }, { 2, 1 } } },
                        CrashMemoryCase { "AfterTheRetention", 256, Milliseconds(60000), {} },
                        CrashMemoryCase { "AboveTheLimit", 1, Milliseconds(0), { { 2, 1 } } }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::runner
