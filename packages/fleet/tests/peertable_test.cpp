/*
    Which control hosts get the few places for connections.

    [SECTION] Helpers
    [SECTION] Places
*/
#include <gtest/gtest.h>

#include "../src/peertable.h"

namespace foxwing::fleet {
namespace {

// [SECTION] Helpers

struct Desk
{
    Desk()
    {
        book.settings.mostPeers = 3;
        for (const std::string &seed : seeds)
            keep(book, seed, now);
    }

    std::vector<std::string> told(const std::string &from, const std::vector<std::string> &controls,
                                  const std::vector<std::string> &removed = {}, bool full = false)
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
        return applyUpdate(book, from, update, now);
    }

    PeerChanges pass(Milliseconds span)
    {
        now += span;
        return tick(book, seeds, now);
    }

    PeerBook book;
    std::vector<std::string> seeds { "a" };
    Time now { Seconds(100) };
};

// [SECTION] Places

TEST(PeerBookPlaces, GoToHostsAsTheyAreListed)
{
    Desk desk;
    connected(desk.book, "a", desk.now);
    EXPECT_EQ(desk.told("a", { "a", "b", "c", "d" }, {}, true),
              (std::vector<std::string> { "b", "c" }));
    EXPECT_EQ(desk.book.peers.count("d"), 0U);
}

// "d" was listed while the places were taken; nobody names it again.
TEST(PeerBookPlaces, ThatComeFreeGoToWhoWasListedBefore)
{
    Desk desk;
    connected(desk.book, "a", desk.now);
    desk.told("a", { "a", "b", "c", "d" }, {}, true);
    desk.told("a", {}, { "b" });
    EXPECT_TRUE(desk.pass(desk.book.settings.forgetAfter - Milliseconds(1)).dropped.empty());
    const PeerChanges changes = desk.pass(Milliseconds(1));
    EXPECT_EQ(changes.dropped, std::vector<std::string> { "b" });
    EXPECT_EQ(changes.added, std::vector<std::string> { "d" });
}

struct ForgetCase
{
    const char *name;
    const char *address;
    bool connected;
    bool listed;
    bool forgotten;
};

class Forgets : public testing::TestWithParam<ForgetCase>
{ };

TEST_P(Forgets, OnlyWhoIsGoneForGood)
{
    Desk desk;
    connected(desk.book, "a", desk.now);
    desk.told("a", { "b" }, {}, true);
    if (!GetParam().listed)
        desk.told("a", {}, { "b" });
    if (GetParam().connected)
        connected(desk.book, GetParam().address, desk.now);
    else
        connectionLost(desk.book, GetParam().address);
    desk.pass(desk.book.settings.forgetAfter);
    EXPECT_EQ(desk.book.peers.count(GetParam().address) == 0, GetParam().forgotten);
}

INSTANTIATE_TEST_SUITE_P(Fleet, Forgets,
                         testing::Values(ForgetCase { "Gone", "b", false, false, true },
                                         ForgetCase { "Listed", "b", false, true, false },
                                         ForgetCase { "Connected", "b", true, false, false },
                                         ForgetCase { "Seed", "a", false, true, false }),
                         [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::fleet
