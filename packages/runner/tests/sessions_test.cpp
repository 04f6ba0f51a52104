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
    look.ended = { { 1, runId(1), RunOutcome::Stopped } };
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
        bench.runner.runs[runId(1000)].demand.milliCores = turn;
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
    EXPECT_EQ(wants.updates[0].second.startsHandled, 1U);
}

TEST(RunnerSessions, EndsAreToldAtOnceAndStartsWithTheNextNews)
{
    Bench bench;
    EXPECT_TRUE(bench.start(1).updates.empty());
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    const RunnerActions actions = bench.end(1);
    ASSERT_EQ(actions.updates.size(), 1U);
    EXPECT_EQ(actions.updates[0].second.ended.size(), 1U);
    EXPECT_EQ(actions.updates[0].second.startsHandled, 1U);
}

// What the next update to the entry says.
jobs::AgentUpdate nextUpdate(Bench &bench)
{
    bench.pass(bench.runner.settings.calmInterval);
    const RunnerActions actions = sessionBeat(bench.runner, Entry, { ++bench.lastBeat, true },
                                              bench.now);
    return actions.updates.empty() ? jobs::AgentUpdate() : actions.updates.back().second;
}

struct WaitingRowsCase
{
    const char *name;
    std::size_t mostRows;

    // Of starts of 100 thousandths of a core each
    std::vector<std::uint32_t> priorities;
    std::vector<std::pair<std::uint32_t, std::int64_t>> rows;
};

class WaitingRows : public testing::TestWithParam<WaitingRowsCase>
{ };

TEST_P(WaitingRows, TellWhatWaitsByPriority)
{
    Bench bench;
    bench.runner.settings.mostWaitingRows = GetParam().mostRows;
    bench.start(0, 4000);
    std::uint32_t index = 0;
    for (const std::uint32_t priority : GetParam().priorities) {
        jobs::StartTasks message;
        message.job = "job";
        message.demand = { 100, 10, 0 };
        message.estimate = Milliseconds(100);
        message.priority = priority;
        message.maxWait = Milliseconds(1000);
        message.starts = { { ++index, 1 } };
        startTasks(bench.runner, Entry, message, bench.now);
    }
    std::vector<std::pair<std::uint32_t, std::int64_t>> rows;
    for (const jobs::PriorityBacklog &row : nextUpdate(bench).waiting)
        rows.emplace_back(row.priority, row.milliCores);
    EXPECT_EQ(rows, GetParam().rows);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, WaitingRows,
        testing::Values(
                WaitingRowsCase { "None", 8, {}, {} },
                WaitingRowsCase { "OneQueue", 8, { 1, 1 }, { { 1, 200 } } },
                WaitingRowsCase {
                        "ThreeQueues", 8, { 2, 0, 1, 0 }, { { 0, 200 }, { 1, 100 }, { 2, 100 } } },
                WaitingRowsCase {
                        "MoreQueuesThanRows", 2, { 0, 1, 2, 3 }, { { 0, 100 }, { 1, 300 } } }),
        [](const auto &tested) { return tested.param.name; });

struct FreedCase
{
    const char *name;
    RunOutcome end;

    // From the end to the update
    Milliseconds after;
    double perSecond;
};

class FreedPace : public testing::TestWithParam<FreedCase>
{ };

// A run of 900 thousandths of a core gives its room back: 3000 a second over 300 ms.
TEST_P(FreedPace, IsToldAndFades)
{
    Bench bench;
    bench.start(1, 900);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    Look look;
    look.ended = { { 1, runId(1), GetParam().end } };
    bench.answerLook(look);
    bench.pass(GetParam().after - bench.runner.settings.calmInterval);
    EXPECT_NEAR(nextUpdate(bench).freedPerSecond, GetParam().perSecond, 2);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, FreedPace,
        testing::Values(FreedCase { "Done", RunOutcome::Done, Milliseconds(100), 3000 * 0.7165 },
                        FreedCase { "LongAgo", RunOutcome::Done, Milliseconds(300), 3000 * 0.3679 },
                        FreedCase { "Stopped", RunOutcome::Stopped, Milliseconds(100),
                                    3000 * 0.7165 },
                        FreedCase { "Failed", RunOutcome::Failed, Milliseconds(100), 0 }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::runner
