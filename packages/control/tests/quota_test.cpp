/*
    Shares follow demand, and their sum never exceeds the quota, whichever messages are lost.

    [SECTION] Helpers
    [SECTION] Tests
*/
#include <foxwing/control/quota.h>

#include <gtest/gtest.h>
#include <random>

namespace foxwing::control {
namespace {

// [SECTION] Helpers

constexpr Time StartTime { Milliseconds(1000) };
const std::vector<std::string> Entries { "a", "b", "c" };
const std::vector<TeamQuota> Quotas { { "team", 30 } };

std::uint32_t heartbeat(ShareTable &table, const std::string &entry, ShareReport report, Time now)
{
    report.team = "team";
    applyShareReports(table, entry, { report }, now);
    return grantShares(table, entry, Entries, Quotas, now).at(0).share;
}

// [SECTION] Tests

TEST(Quota, SharesAreEqualWithoutDemand)
{
    ShareTable table;
    for (const std::string &entry : Entries)
        EXPECT_EQ(heartbeat(table, entry, {}, StartTime), 10U);
}

TEST(Quota, UnusedShareMovesWithinTwoHeartbeats)
{
    ShareTable table;
    std::map<std::string, std::uint32_t> shares;
    for (const std::string &entry : Entries)
        shares[entry] = heartbeat(table, entry, {}, StartTime);
    Time now = StartTime;
    for (int round = 0; round < 3; ++round) {
        now += Seconds(1);
        for (const std::string &entry : Entries) {
            const std::uint32_t waiting = entry == "a" ? 100 : 0;
            shares[entry] = heartbeat(table, entry, { "", shares[entry], 0, waiting }, now);
        }
    }
    EXPECT_EQ(shares["a"], 28U);
    EXPECT_EQ(shares["b"], 1U);
}

TEST(Quota, DisconnectedEntryKeepsItsShareForTheLease)
{
    ShareTable table;
    for (const std::string &entry : Entries)
        heartbeat(table, entry, {}, StartTime);
    heartbeat(table, "c", { "", 10, 10, 0 }, StartTime + Milliseconds(500));
    std::uint32_t own = 10;
    std::uint32_t other = 10;
    for (Time now = StartTime + Seconds(1); now < StartTime + Seconds(13); now += Seconds(1)) {
        other = heartbeat(table, "b", { "", other, 0, 0 }, now);
        own = heartbeat(table, "a", { "", own, own, 100 }, now);
        EXPECT_LE(own + other, 20U) << "c may still run 10";
    }
    EXPECT_GT(own, 15U) << "the unused share of b is granted before the lease of c expires";
    heartbeat(table, "b", { "", other, 0, 0 }, StartTime + Milliseconds(13001));
    own = heartbeat(table, "a", { "", own, own, 100 }, StartTime + Milliseconds(13001));
    EXPECT_GT(own, 20U);
}

TEST(Quota, NewLeaderOnlyConfirmsSharesAtFirst)
{
    ShareTable table;
    table.grantsAllowedAt = StartTime + Seconds(13);
    EXPECT_EQ(heartbeat(table, "a", { "", 4, 4, 50 }, StartTime), 4U);
    EXPECT_GT(heartbeat(table, "a", { "", 4, 4, 50 }, StartTime + Seconds(13)), 4U);
}

// Heartbeats and updates are lost at random; entries start tasks up to their current share.
TEST(Quota, SumStaysWithinQuotaWhenMessagesAreLost)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        ShareTable table;
        std::map<std::string, ShareReport> state;
        Time now = StartTime;
        std::map<std::string, Time> lastUpdateAt;
        for (int step = 0; step < 300; ++step) {
            now += Milliseconds(200);
            for (const std::string &entry : Entries) {
                ShareReport &own = state[entry];
                own.team = "team";
                own.waiting = static_cast<std::uint32_t>(random() % 40);
                if (now >= lastUpdateAt[entry] + Seconds(10))
                    own.share = 0;
                if (random() % 3 == 0)
                    own.running = own.running / 2;
                if (own.running < own.share)
                    own.running += static_cast<std::uint32_t>(random()
                                                              % (own.share - own.running + 1));
                if (random() % 4 == 0)
                    continue; // the heartbeat is lost
                applyShareReports(table, entry, { own }, now);
                const auto grants = grantShares(table, entry, Entries, Quotas, now);
                if (random() % 4 == 0)
                    continue; // the update is lost
                own.share = grants.at(0).share;
                lastUpdateAt[entry] = now;
            }
            std::uint32_t sum = 0;
            for (const auto &own : state)
                sum += own.second.running;
            ASSERT_LE(sum, 30U) << "seed " << seed;
        }
    }
}

} // namespace
} // namespace foxwing::control
