/*
    What an agent remembers of the tasks under which its endpoint crashed, and whom it tells.

    [SECTION] Crashes
*/
#include "bench.h"

namespace foxwing::runner {
namespace {

// [SECTION] Crashes

constexpr std::uint64_t OtherEntry = 2;

// What an entry was told: crashes by the task's index
std::map<std::uint32_t, std::uint32_t> toldTo(std::uint64_t session, const RunnerActions &actions)
{
    std::map<std::uint32_t, std::uint32_t> told;
    const auto add = [&](std::uint64_t to, const std::vector<jobs::CrashReport> &crashed) {
        for (const jobs::CrashReport &report : crashed) {
            if (to == session)
                told[report.task.index] = report.crashes;
        }
    };
    for (const auto &[to, message] : actions.acceptances)
        add(to, message.crashed);
    for (const auto &[to, message] : actions.updates)
        add(to, message.crashed);
    return told;
}

// Another life comes without a word, and shows that nothing runs there.
RunnerActions crash(Bench &bench, const std::string &nextLife)
{
    const RunnerActions actions = bench.replacedBy(nextLife);
    bench.answerLook({});
    return actions;
}

using Crashes = std::map<std::uint32_t, std::uint32_t>;

TEST(RunnerCrashes, AreToldToAllEntriesOnce)
{
    Bench bench;
    openSession(bench.runner, OtherEntry, "entry-2", bench.now);
    bench.start(1);
    bench.start(2);
    const RunnerActions actions = crash(bench, "life-2");
    EXPECT_EQ(toldTo(Entry, actions), Crashes({ { 1, 1 }, { 2, 1 } }));
    EXPECT_EQ(toldTo(OtherEntry, actions), Crashes({ { 1, 1 }, { 2, 1 } }));
    EXPECT_EQ(toldTo(OtherEntry, bench.pass(Milliseconds(200))), Crashes());
}

TEST(RunnerCrashes, AreToldToEntriesThatComeLater)
{
    Bench bench;
    bench.start(1);
    crash(bench, "life-2");
    bench.start(1, 1000, 2);
    crash(bench, "life-3");
    const RunnerActions actions = openSession(bench.runner, OtherEntry, "entry-2", bench.now);
    EXPECT_EQ(toldTo(OtherEntry, actions), Crashes({ { 1, 2 } }));
}

struct MemoryCase
{
    const char *name;
    std::size_t most;
    Milliseconds after;
    Crashes told;
};

std::ostream &operator<<(std::ostream &out, const MemoryCase &tested)
{
    return out << tested.name;
}

class Memory : public testing::TestWithParam<MemoryCase>
{ };

TEST_P(Memory, OfCrashesIsBounded)
{
    Bench bench;
    bench.runner.settings.mostCrashedTasks = GetParam().most;
    bench.start(1);
    bench.start(2);
    crash(bench, "life-2");
    bench.now += GetParam().after;
    const RunnerActions actions = openSession(bench.runner, OtherEntry, "entry-2", bench.now);
    EXPECT_EQ(toldTo(OtherEntry, actions), GetParam().told);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Memory,
        testing::Values(MemoryCase { "InTime", 256, Milliseconds(0), { { 1, 1 }, { 2, 1 } } },
                        MemoryCase { "LaterThanItIsKept", 256, Milliseconds(60000), {} },
                        MemoryCase { "MoreThanAreKept", 1, Milliseconds(0), { { 2, 1 } } }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::runner
