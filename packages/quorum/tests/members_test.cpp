/*
    Membership changes of a self-managed group.

    [SECTION] Helpers
    [SECTION] Tests
*/
#include <gtest/gtest.h>

#include <foxwing/quorum/quorum.h>

namespace foxwing::quorum {
namespace {

// [SECTION] Helpers

const Time Now { Seconds(100) };

// A leader that has committed everything and just received a message from all members.
QuorumState makeLeader(const std::vector<std::string> &voters,
                       const std::vector<std::string> &learners = {})
{
    QuorumSettings settings;
    settings.self = voters[0];
    settings.selfManaged = true;
    QuorumState quorum = makeQuorum(settings, {}, Now);
    quorum.role = Role::Leader;
    quorum.members = { voters, learners };
    quorum.commitIndex = 5;
    quorum.termStartIndex = 5;
    for (const std::string &id : voters)
        quorum.peers[id].lastReceivedAt = Now;
    for (const std::string &id : learners) {
        quorum.peers[id].lastReceivedAt = Now;
        quorum.peers[id].matchIndex = 5;
    }
    return quorum;
}

std::vector<AvailableHost> availableHosts(const std::vector<std::string> &ids)
{
    std::vector<AvailableHost> result;
    result.reserve(ids.size());
    for (const std::string &id : ids)
        result.push_back({ id, id.substr(0, id.find('/')) });
    return result;
}

// [SECTION] Tests

struct NextMembersCase
{
    const char *name;
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    std::vector<std::string> available;
    std::vector<std::string> expectedVoters;
    std::vector<std::string> expectedLearners;
};

std::ostream &operator<<(std::ostream &out, const NextMembersCase &testCase)
{
    return out << testCase.name;
}

class NextMembers : public testing::TestWithParam<NextMembersCase>
{ };

TEST_P(NextMembers, ReturnsTheNextChange)
{
    const QuorumState quorum = makeLeader(GetParam().voters, GetParam().learners);
    const auto members = nextMembers(quorum, availableHosts(GetParam().available), Now);
    ASSERT_EQ(members.has_value(), !GetParam().expectedVoters.empty());
    if (!members)
        return;
    EXPECT_EQ(members->voters, GetParam().expectedVoters);
    EXPECT_EQ(members->learners, GetParam().expectedLearners);
}

INSTANTIATE_TEST_SUITE_P(Quorum, NextMembers,
                         testing::Values(NextMembersCase { "AllHostsAreMembers",
                                                           { "a/1", "b/1", "c/1" },
                                                           {},
                                                           { "b/1", "c/1" },
                                                           {},
                                                           {} },
                                         NextMembersCase { "NewHostBecomesLearner",
                                                           { "a/1", "b/1", "c/1" },
                                                           {},
                                                           { "b/1", "c/1", "d/1" },
                                                           { "a/1", "b/1", "c/1" },
                                                           { "d/1" } },
                                         NextMembersCase { "LearnerBecomesVoter",
                                                           { "a/1", "b/1", "c/1" },
                                                           { "d/1" },
                                                           { "d/1" },
                                                           { "a/1", "b/1", "c/1", "d/1" },
                                                           {} },
                                         NextMembersCase { "DisconnectedLearnerStays",
                                                           { "a/1", "b/1", "c/1" },
                                                           { "d/1" },
                                                           {},
                                                           {},
                                                           {} },
                                         NextMembersCase { "VoterWithLostDiskIsRemovedFirst",
                                                           { "a/1", "b/1", "c/1" },
                                                           {},
                                                           { "b/1", "c/2" },
                                                           { "a/1", "b/1" },
                                                           {} },
                                         NextMembersCase { "LearnerWithLostDiskIsRemoved",
                                                           { "a/1", "b/1", "c/1" },
                                                           { "d/1" },
                                                           { "d/2" },
                                                           { "a/1", "b/1", "c/1" },
                                                           {} }),
                         [](const auto &testCase) { return testCase.param.name; });

struct SilentVotersCase
{
    const char *name;
    std::size_t voters;

    // How many of them are silent, and for how long
    std::size_t silentVoters;
    Milliseconds silence;
    bool removed;
};

class SilentVoters : public testing::TestWithParam<SilentVotersCase>
{ };

TEST_P(SilentVoters, OneIsRemovedOnlyIfEnoughAreUp)
{
    std::vector<std::string> voters;
    for (std::size_t i = 0; i < GetParam().voters; ++i)
        voters.push_back(std::string(1, static_cast<char>('a' + i)) + "/1");
    QuorumState quorum = makeLeader(voters);
    const Time later = Now + GetParam().silence;
    for (std::size_t i = 0; i < voters.size(); ++i)
        quorum.peers[voters[i]].lastReceivedAt = i >= 1 && i <= GetParam().silentVoters ? Now
                                                                                        : later;
    const auto members = nextMembers(quorum, {}, later);
    ASSERT_EQ(members.has_value(), GetParam().removed);
    if (members) {
        EXPECT_EQ(members->voters.size(), GetParam().voters - 1);
        EXPECT_EQ(std::count(members->voters.begin(), members->voters.end(), "b/1"), 0);
    }
}

// With a minimum of five voters, two of which may be lost at once.
INSTANTIATE_TEST_SUITE_P(
        Quorum, SilentVoters,
        testing::Values(SilentVotersCase { "Five", 5, 1, Seconds(60), false },
                        SilentVotersCase { "SixForAMinute", 6, 1, Seconds(60), true },
                        SilentVotersCase { "SixAfterAReplacement", 6, 1, Seconds(2), true },
                        SilentVotersCase { "SixBriefly", 6, 1, Milliseconds(1400), false },
                        SilentVotersCase { "SixWithTwoSilent", 6, 2, Seconds(60), false },
                        SilentVotersCase { "SevenWithTwoSilent", 7, 2, Seconds(60), true },
                        SilentVotersCase { "SevenWithTwoSilentBriefly", 7, 2, Seconds(2), true },
                        SilentVotersCase { "TenWithOneSilentBriefly", 10, 1, Seconds(2), false },
                        SilentVotersCase { "TenWithTwoSilentBriefly", 10, 2, Seconds(2), false },
                        SilentVotersCase { "TenWithThreeSilentBriefly", 10, 3, Seconds(2), true },
                        SilentVotersCase { "TenWithOneSilentForLong", 10, 1, Seconds(31), true }),
        [](const auto &testCase) { return testCase.param.name; });

// Hosts that join a group of three must all become voters, so that any majority of the hosts is a
// quorum.
TEST(QuorumMembers, AllAvailableHostsBecomeVoters)
{
    constexpr std::size_t Hosts = 10;
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < Hosts; ++i)
        hosts.push_back("host-" + std::to_string(i) + "/1");
    QuorumState quorum = makeLeader({ hosts[0], hosts[1], hosts[2] });
    for (const std::string &host : hosts) {
        quorum.peers[host].lastReceivedAt = Now;
        quorum.peers[host].matchIndex = quorum.commitIndex;
    }
    for (std::size_t change = 0; change < 3 * Hosts; ++change) {
        const auto members = nextMembers(quorum, availableHosts(hosts), Now);
        if (!members)
            break;
        quorum.members = *members;
    }
    EXPECT_EQ(quorum.members.voters.size(), Hosts);
    EXPECT_TRUE(quorum.members.learners.empty());
}

TEST(QuorumMembers, NoChangeWhileOneIsPendingOrAsFollower)
{
    QuorumState quorum = makeLeader({ "a/1", "b/1", "c/1" });
    quorum.membersIndex = 6;
    EXPECT_FALSE(nextMembers(quorum, availableHosts({ "d/1" }), Now));
    quorum.membersIndex = 5;
    EXPECT_TRUE(nextMembers(quorum, availableHosts({ "d/1" }), Now));
    quorum.role = Role::Follower;
    EXPECT_FALSE(nextMembers(quorum, availableHosts({ "d/1" }), Now));
}

} // namespace
} // namespace foxwing::quorum
