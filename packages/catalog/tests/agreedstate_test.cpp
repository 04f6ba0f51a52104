/*
    Commands of the consensus group: changes of cordons and catalog, and snapshots of the state.

    [SECTION] Helpers
    [SECTION] Commands
    [SECTION] Snapshots
*/
#include <gtest/gtest.h>

#include <foxwing/base/codec.h>
#include <foxwing/catalog/agreedstate.h>

namespace foxwing::catalog {
namespace {

// [SECTION] Helpers

AgreedState stateWith(const std::vector<std::string> &dataCentres, std::uint64_t revision)
{
    AgreedState state;
    state.cordons = { revision, dataCentres };
    return state;
}

// [SECTION] Commands

struct CommandCase
{
    const char *name;
    std::vector<std::string> before;
    CordonCommand command;
    ApplyResult applied;
    std::vector<std::string> after;
};

class CordonCommands : public testing::TestWithParam<CommandCase>
{ };

// The cordons have revision 5.
TEST_P(CordonCommands, ApplyOnlyToTheirBaseRevision)
{
    AgreedState state = stateWith(GetParam().before, 5);
    EXPECT_EQ(apply(state, GetParam().command), GetParam().applied);
    EXPECT_EQ(state.cordons.dataCentres, GetParam().after);
    EXPECT_EQ(state.cordons.revision, GetParam().applied == ApplyResult::Changed ? 6U : 5U);
}

INSTANTIATE_TEST_SUITE_P(
        Agreed, CordonCommands,
        testing::Values(
                CommandCase { "First", {}, { "b", true, 5 }, ApplyResult::Changed, { "b" } },
                CommandCase {
                        "Second", { "b" }, { "a", true, 5 }, ApplyResult::Changed, { "a", "b" } },
                // Outdates earlier commands to uncordon that are still in flight.
                CommandCase { "AlreadyCordoned",
                              { "b" },
                              { "b", true, 5 },
                              ApplyResult::Changed,
                              { "b" } },
                // The answer was lost: a retry for the current state never fails.
                CommandCase { "RetryAfterALostAnswer",
                              { "b" },
                              { "b", true, 4 },
                              ApplyResult::Unchanged,
                              { "b" } },
                CommandCase { "Uncordon",
                              { "a", "b" },
                              { "a", false, 5 },
                              ApplyResult::Changed,
                              { "b" } },
                CommandCase { "RetryOfAnUncordon",
                              { "b" },
                              { "a", false, 3 },
                              ApplyResult::Unchanged,
                              { "b" } },
                // Delayed until after the opposite was acknowledged.
                CommandCase { "OutdatedCordon", {}, { "b", true, 4 }, ApplyResult::Outdated, {} },
                CommandCase { "OutdatedUncordon",
                              { "b" },
                              { "b", false, 4 },
                              ApplyResult::Outdated,
                              { "b" } }),
        [](const auto &tested) { return tested.param.name; });

TEST(AgreedCatalog, DoesNotChangeCordons)
{
    AgreedState state = stateWith({ "b" }, 5);
    DeclaredCatalog declared;
    declared.catalog.version = 3;
    EXPECT_EQ(apply(state, declared), ApplyResult::Changed);
    EXPECT_EQ(apply(state, declared), ApplyResult::Unchanged);
    EXPECT_EQ(state.declared.catalog.version, 3U);
    EXPECT_EQ(state.cordons.revision, 5U);
}

// [SECTION] Snapshots

TEST(AgreedSnapshot, ContainsCatalogAndCordons)
{
    AgreedState state = stateWith({ "a", "odd \"name\"" }, 7);
    state.declared.catalog.version = 9;
    state.declared.text = "{}";
    Error reason;
    const auto json = parseJson(writeJson(toJson(state)), &reason);
    AgreedState read;
    ASSERT_TRUE(json && fromJson(*json, &read, &reason)) << reason.message;
    EXPECT_EQ(read.cordons.dataCentres, state.cordons.dataCentres);
    EXPECT_EQ(read.cordons.revision, 7U);
    EXPECT_EQ(read.declared.catalog.version, 9U);
}

} // namespace
} // namespace foxwing::catalog
