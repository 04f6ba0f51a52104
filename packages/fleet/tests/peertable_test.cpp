/*
    Which control hosts get the limited places in the peer table.

    [SECTION] Helpers
    [SECTION] Places
*/
#include <gtest/gtest.h>

#include "../src/peertable.h"

namespace foxwing::fleet {
namespace {

// [SECTION] Helpers

struct TableTest
{
    TableTest()
    {
        table.settings.maxPeers = 3;
        for (const std::string &seed : seeds)
            addPeer(table, seed, now);
    }

    std::vector<std::string> applyLists(const std::string &from,
                                        const std::vector<std::string> &controls,
                                        const std::vector<std::string> &removed = {},
                                        bool full = false)
    {
        directory::DirectoryUpdate update;
        update.full = full;
        update.removed = removed;
        for (const std::string &address : controls) {
            directory::NodeInfo node;
            node.role = directory::Role::Control;
            node.address = address;
            update.nodes.push_back(node);
        }
        return applyUpdate(table, from, update, now);
    }

    PeerChanges advance(Milliseconds duration)
    {
        now += duration;
        return tick(table, seeds, now);
    }

    PeerTable table;
    std::vector<std::string> seeds { "a" };
    Time now { Seconds(100) };
};

// [SECTION] Places

TEST(PeerTablePlaces, AreGivenInOrderOfListing)
{
    TableTest test;
    connected(test.table, "a", test.now);
    EXPECT_EQ(test.applyLists("a", { "a", "b", "c", "d" }, {}, true),
              (std::vector<std::string> { "b", "c" }));
    EXPECT_EQ(test.table.peers.count("d"), 0U);
}

// "d" was listed while the table was full, and is not listed again.
TEST(PeerTablePlaces, AreReusedForHostsListedBefore)
{
    TableTest test;
    connected(test.table, "a", test.now);
    test.applyLists("a", { "a", "b", "c", "d" }, {}, true);
    test.applyLists("a", {}, { "b" });
    EXPECT_TRUE(test.advance(test.table.settings.retention - Milliseconds(1)).dropped.empty());
    const PeerChanges changes = test.advance(Milliseconds(1));
    EXPECT_EQ(changes.dropped, std::vector<std::string> { "b" });
    EXPECT_EQ(changes.added, std::vector<std::string> { "d" });
}

struct RemovalCase
{
    const char *name;
    const char *address;
    bool connected;
    bool listed;
    bool removed;
};

class PeerRemoval : public testing::TestWithParam<RemovalCase>
{ };

TEST_P(PeerRemoval, SparesSeedsListedAndConnectedPeers)
{
    TableTest test;
    connected(test.table, "a", test.now);
    test.applyLists("a", { "b" }, {}, true);
    if (!GetParam().listed)
        test.applyLists("a", {}, { "b" });
    if (GetParam().connected)
        connected(test.table, GetParam().address, test.now);
    else
        connectionLost(test.table, GetParam().address);
    test.advance(test.table.settings.retention);
    EXPECT_EQ(test.table.peers.count(GetParam().address) == 0, GetParam().removed);
}

INSTANTIATE_TEST_SUITE_P(Fleet, PeerRemoval,
                         testing::Values(RemovalCase { "NotListed", "b", false, false, true },
                                         RemovalCase { "Listed", "b", false, true, false },
                                         RemovalCase { "Connected", "b", true, false, false },
                                         RemovalCase { "Seed", "a", false, true, false }),
                         [](const auto &given) { return given.param.name; });

} // namespace
} // namespace foxwing::fleet
