/*
    What entries are told, and what ends with them.

    [SECTION] Sessions
*/
#include "bench.h"

namespace foxwing::runner {
namespace {

// [SECTION] Sessions

TEST(RunnerSessions, ASilentEntrysRunsAreStopped)
{
    Bench bench;
    bench.start(1);
    bench.now += bench.runner.settings.ownerSilence;
    const RunnerActions actions = tick(bench.runner, bench.now);
    EXPECT_EQ(actions.stops.size(), 1U);
    EXPECT_EQ(actions.closes, std::vector<std::uint64_t> { Entry });
}

TEST(RunnerSessions, WhatArrivesAfterASilenceIsNotTaken)
{
    Bench bench;
    bench.now += bench.runner.settings.ownerSilence + Milliseconds(1);
    EXPECT_TRUE(bench.start(1).starts.empty());
    EXPECT_TRUE(bench.runner.runs.empty());
}

TEST(RunnerSessions, AnEntryIsWelcomedOnceItsEarlierRunsAreOver)
{
    Bench bench;
    bench.start(1);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    RunnerActions actions = openSession(bench.runner, 2, "entry-1", bench.now);
    EXPECT_EQ(actions.stops.size(), 1U);
    EXPECT_TRUE(actions.welcomes.empty());
    Look look;
    look.ended = { { 1, runId(1), RunEnd::Stopped } };
    actions = bench.answerLook(look);
    ASSERT_EQ(actions.welcomes.size(), 1U);
    EXPECT_EQ(actions.welcomes[0].first, 2U);
}

// Fifteen entries, and a second in which the room changes every 10 ms: what each is told.
struct TellingCase
{
    const char *name;
    std::uint64_t wanting;
    std::size_t leastWanting;
    std::size_t mostWanting;
    std::size_t mostOthers;
};

class Telling : public testing::TestWithParam<TellingCase>
{ };

TEST_P(Telling, OfRoomFollowsWhoWantsIt)
{
    constexpr std::uint64_t Entries = 15;
    Bench bench;
    for (std::uint64_t entry = 2; entry <= Entries; ++entry)
        openSession(bench.runner, entry, "entry-" + std::to_string(entry), bench.now);
    for (std::uint64_t entry = 1; entry <= GetParam().wanting; ++entry)
        sessionBeat(bench.runner, entry, { 1, true }, bench.now);
    std::map<std::uint64_t, std::size_t> told;
    const auto count = [&](const RunnerActions &actions) {
        for (const auto &[entry, update] : actions.updates)
            ++told[entry];
    };
    for (std::int64_t turn = 0; turn < 100; ++turn) {
        bench.runner.runs[runId(1000)].room.milliCores = turn;
        count(bench.pass(Milliseconds(5)));
        count(bench.pass(Milliseconds(5)));
    }
    for (std::uint64_t entry = 1; entry <= Entries; ++entry) {
        const bool wants = entry <= GetParam().wanting;
        EXPECT_GE(told[entry], wants ? GetParam().leastWanting : 8) << entry;
        EXPECT_LE(told[entry], wants ? GetParam().mostWanting : GetParam().mostOthers) << entry;
    }
}

INSTANTIATE_TEST_SUITE_P(Runner, Telling,
                         testing::Values(TellingCase { "Nobody", 0, 0, 0, 11 },
                                         TellingCase { "One", 1, 90, 101, 11 },
                                         TellingCase { "Four", 4, 90, 101, 11 },
                                         TellingCase { "All", 15, 25, 40, 0 }),
                         [](const auto &tested) { return tested.param.name; });

TEST(RunnerSessions, AnEntryThatBeginsToWantRoomIsToldAtOnce)
{
    Bench bench;
    bench.start(1);
    bench.now += Milliseconds(5);
    const RunnerActions calm = sessionBeat(bench.runner, Entry, { 1, false }, bench.now);
    EXPECT_TRUE(calm.updates.empty());
    const RunnerActions wants = sessionBeat(bench.runner, Entry, { 2, true }, bench.now);
    ASSERT_EQ(wants.updates.size(), 1U);
    EXPECT_EQ(wants.updates[0].second.free.milliCores, 3000);
    EXPECT_EQ(wants.updates[0].second.startsTaken, 1U);
}

TEST(RunnerSessions, EndsAreToldAtOnceAndStartsWithTheNextNews)
{
    Bench bench;
    EXPECT_TRUE(bench.start(1).updates.empty());
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    const RunnerActions actions = bench.end(1);
    ASSERT_EQ(actions.updates.size(), 1U);
    EXPECT_EQ(actions.updates[0].second.ended.size(), 1U);
    EXPECT_EQ(actions.updates[0].second.startsTaken, 1U);
}

} // namespace
} // namespace foxwing::runner
