/*
    Sessions of entries and the updates that they get.

    [SECTION] Sessions
    [SECTION] Updates
*/
#include "fixture.h"

namespace foxwing::runner {
namespace {

// [SECTION] Sessions

TEST(RunnerSessions, RunsOfATimedOutEntryAreStopped)
{
    RunnerFixture fixture;
    fixture.start(1);
    fixture.now += fixture.runner.settings.sessionTimeout;
    const RunnerActions actions = tick(fixture.runner, fixture.now);
    EXPECT_EQ(actions.stops.size(), 1U);
    EXPECT_EQ(actions.closes, std::vector<std::uint64_t> { EntrySession });
}

TEST(RunnerSessions, MessagesAfterATimeoutAreIgnored)
{
    RunnerFixture fixture;
    fixture.now += fixture.runner.settings.sessionTimeout + Milliseconds(1);
    EXPECT_TRUE(fixture.start(1).starts.empty());
    EXPECT_TRUE(fixture.runner.runs.empty());
}

TEST(RunnerSessions, SessionIsAcceptedOnceEarlierRunsHaveEnded)
{
    RunnerFixture fixture;
    fixture.start(1);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    RunnerActions actions = openSession(fixture.runner, 2, "entry-1", fixture.now);
    EXPECT_EQ(actions.stops.size(), 1U);
    EXPECT_TRUE(actions.acceptances.empty());
    PollResult poll;
    poll.ended = { { 1, runId(1), RunOutcome::Stopped } };
    actions = fixture.completePoll(poll);
    ASSERT_EQ(actions.acceptances.size(), 1U);
    EXPECT_EQ(actions.acceptances[0].first, 2U);
}

// [SECTION] Updates

// Number of updates to each of 15 entries in one second, with free capacity changing every 10 ms.
struct CapacityUpdateCase
{
    const char *name;
    std::uint64_t waitingEntries;
    std::size_t minWaiting;
    std::size_t maxWaiting;
    std::size_t maxOthers;
};

class CapacityUpdates : public testing::TestWithParam<CapacityUpdateCase>
{ };

TEST_P(CapacityUpdates, DependOnTheNumberOfWaitingEntries)
{
    constexpr std::uint64_t Entries = 15;
    RunnerFixture fixture;
    for (std::uint64_t entry = 2; entry <= Entries; ++entry)
        openSession(fixture.runner, entry, "entry-" + std::to_string(entry), fixture.now);
    for (std::uint64_t entry = 1; entry <= GetParam().waitingEntries; ++entry)
        handleSessionHeartbeat(fixture.runner, entry, { 1, true }, fixture.now);
    std::map<std::uint64_t, std::size_t> updates;
    const auto count = [&](const RunnerActions &actions) {
        for (const auto &[entry, update] : actions.updates)
            ++updates[entry];
    };
    for (std::int64_t turn = 0; turn < 100; ++turn) {
        fixture.runner.runs[runId(1000)].demand.milliCores = turn;
        count(fixture.advance(Milliseconds(5)));
        count(fixture.advance(Milliseconds(5)));
    }
    for (std::uint64_t entry = 1; entry <= Entries; ++entry) {
        const bool waits = entry <= GetParam().waitingEntries;
        EXPECT_GE(updates[entry], waits ? GetParam().minWaiting : 8) << entry;
        EXPECT_LE(updates[entry], waits ? GetParam().maxWaiting : GetParam().maxOthers) << entry;
    }
}

INSTANTIATE_TEST_SUITE_P(Runner, CapacityUpdates,
                         testing::Values(CapacityUpdateCase { "Nobody", 0, 0, 0, 11 },
                                         CapacityUpdateCase { "One", 1, 90, 101, 11 },
                                         CapacityUpdateCase { "Four", 4, 90, 101, 11 },
                                         CapacityUpdateCase { "All", 15, 25, 40, 0 }),
                         [](const auto &tested) { return tested.param.name; });

TEST(RunnerSessions, EntryThatStartsToNeedCapacityGetsAnUpdateAtOnce)
{
    RunnerFixture fixture;
    fixture.start(1);
    fixture.now += Milliseconds(5);
    const RunnerActions idle = handleSessionHeartbeat(fixture.runner, EntrySession, { 1, false },
                                                      fixture.now);
    EXPECT_TRUE(idle.updates.empty());
    const RunnerActions waiting = handleSessionHeartbeat(fixture.runner, EntrySession, { 2, true },
                                                         fixture.now);
    ASSERT_EQ(waiting.updates.size(), 1U);
    EXPECT_EQ(waiting.updates[0].second.free.milliCores, 3000);
    EXPECT_EQ(waiting.updates[0].second.startsHandled, 1U);
}

TEST(RunnerSessions, EndsAreReportedAtOnceAndStartsWithTheNextUpdate)
{
    RunnerFixture fixture;
    EXPECT_TRUE(fixture.start(1).updates.empty());
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    const RunnerActions actions = fixture.end(1);
    ASSERT_EQ(actions.updates.size(), 1U);
    EXPECT_EQ(actions.updates[0].second.ended.size(), 1U);
    EXPECT_EQ(actions.updates[0].second.startsHandled, 1U);
}

// The next update to the entry.
jobs::AgentUpdate nextUpdate(RunnerFixture &fixture)
{
    fixture.advance(fixture.runner.settings.idleUpdateInterval);
    const RunnerActions actions = handleSessionHeartbeat(fixture.runner, EntrySession,
                                                         { ++fixture.lastHeartbeat, true },
                                                         fixture.now);
    return actions.updates.empty() ? jobs::AgentUpdate() : actions.updates.back().second;
}

struct WaitingRowsCase
{
    const char *name;
    std::size_t maxRows;

    // Of starts that need 100 millicores each
    std::vector<std::uint32_t> priorities;
    std::vector<std::pair<std::uint32_t, std::int64_t>> rows;
};

class WaitingRows : public testing::TestWithParam<WaitingRowsCase>
{ };

TEST_P(WaitingRows, ListWaitingStartsByPriority)
{
    RunnerFixture fixture;
    fixture.runner.settings.maxWaitingRows = GetParam().maxRows;
    fixture.start(0, 4000);
    std::uint32_t index = 0;
    for (const std::uint32_t priority : GetParam().priorities) {
        jobs::StartTasks message;
        message.job = "job";
        message.demand = { 100, 10, 0 };
        message.estimate = Milliseconds(100);
        message.priority = priority;
        message.maxWait = Milliseconds(1000);
        message.starts = { { ++index, 1 } };
        startTasks(fixture.runner, EntrySession, message, fixture.now);
    }
    std::vector<std::pair<std::uint32_t, std::int64_t>> rows;
    for (const jobs::PriorityBacklog &row : nextUpdate(fixture).waiting)
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

class FreedRate : public testing::TestWithParam<FreedCase>
{ };

// A run that frees 900 millicores: 3000 per second over the window of 300 ms.
TEST_P(FreedRate, IsReportedAndDecays)
{
    RunnerFixture fixture;
    fixture.start(1, 900);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    PollResult poll;
    poll.ended = { { 1, runId(1), GetParam().end } };
    fixture.completePoll(poll);
    fixture.advance(GetParam().after - fixture.runner.settings.idleUpdateInterval);
    EXPECT_NEAR(nextUpdate(fixture).freedPerSecond, GetParam().perSecond, 2);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, FreedRate,
        testing::Values(FreedCase { "Done", RunOutcome::Done, Milliseconds(100), 3000 * 0.7165 },
                        FreedCase { "LongAgo", RunOutcome::Done, Milliseconds(300), 3000 * 0.3679 },
                        FreedCase { "Stopped", RunOutcome::Stopped, Milliseconds(100),
                                    3000 * 0.7165 },
                        FreedCase { "Failed", RunOutcome::Failed, Milliseconds(100), 0 }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::runner
