/*
    When a host without contact to a leader requests votes.

    [SECTION] Helpers
    [SECTION] Tests
*/
#include <gtest/gtest.h>

#include <foxwing/quorum/quorum.h>

namespace foxwing::quorum {
namespace {

// [SECTION] Helpers

const Time Start { Seconds(100) };

// One of three voters, with three log entries of term 2.
QuorumState makeVoter()
{
    QuorumSettings settings;
    settings.self = "a";
    settings.firstElectionTimeout = Milliseconds(20);
    settings.electionTimeout = Milliseconds(400);
    RecoveredQuorum recovered;
    recovered.vote.term = 2;
    recovered.vote.joined = true;
    recovered.snapshot.members.voters = { "a", "b", "c" };
    for (std::uint64_t index = 1; index <= 3; ++index) {
        LogEntry entry;
        entry.index = index;
        entry.term = 2;
        recovered.entries.push_back(entry);
    }
    return makeQuorum(settings, recovered, Start);
}

VoteRequest askedBefore(std::uint64_t lastIndex)
{
    VoteRequest request;
    request.from = "b";
    request.term = 3;
    request.lastIndex = lastIndex;
    request.lastTerm = 2;
    request.preVote = true;
    return request;
}

// A first pre-vote without an answer; the next is at least one election timeout away.
Time tryInVain(QuorumState &quorum)
{
    const Time later = Start + Milliseconds(40);
    tick(quorum, later);
    EXPECT_EQ(quorum.role, Role::PreCandidate);
    EXPECT_GE(quorum.electionDeadline, later + Milliseconds(400));
    return later;
}

bool asks(const QuorumActions &actions)
{
    for (const Outgoing &send : actions.sends) {
        if (std::holds_alternative<VoteRequest>(send.message))
            return true;
    }
    return false;
}

// [SECTION] Tests

enum class Happens {
    Nothing,
    ShorterLogAsks,
    EqualLogAsks,
    VoterIsReached,
    EqualLogAsksAndVoterIsReached,
};

struct AskingCase
{
    const char *name;
    bool hearsLeader;
    Happens happens;

    // Time from the event to the check
    Milliseconds after;
    bool asks;
};

class Asking : public testing::TestWithParam<AskingCase>
{ };

void letHappen(QuorumState &quorum, Happens what, Time now)
{
    if (what == Happens::ShorterLogAsks)
        handle(quorum, askedBefore(2), now);
    if (what == Happens::EqualLogAsks || what == Happens::EqualLogAsksAndVoterIsReached)
        handle(quorum, askedBefore(3), now);
    if (what == Happens::VoterIsReached || what == Happens::EqualLogAsksAndVoterIsReached)
        voterConnected(quorum, now);
}

TEST_P(Asking, FollowsWhatChanged)
{
    QuorumState quorum = makeVoter();
    const Time now = tryInVain(quorum);
    if (GetParam().hearsLeader) {
        Append append;
        append.from = "c";
        append.term = 2;
        append.previousIndex = 3;
        append.previousTerm = 2;
        handle(quorum, append, now);
    }
    letHappen(quorum, GetParam().happens, now);
    EXPECT_EQ(asks(tick(quorum, now + GetParam().after)), GetParam().asks);
}

INSTANTIATE_TEST_SUITE_P(
        Quorum, Asking,
        testing::Values(
                AskingCase { "NothingNew", false, Happens::Nothing, Milliseconds(100), false },
                AskingCase { "OwnLogIsLonger", false, Happens::ShorterLogAsks, Milliseconds(20),
                             true },
                AskingCase { "VoterIsReached", false, Happens::VoterIsReached, Milliseconds(20),
                             true },
                AskingCase { "LongerLogButALeader", true, Happens::ShorterLogAsks,
                             Milliseconds(100), false },
                AskingCase { "ReachedButALeader", true, Happens::VoterIsReached, Milliseconds(100),
                             false },
                AskingCase { "OtherIsHelped", false, Happens::EqualLogAsks, Milliseconds(100),
                             false },
                AskingCase { "HelpedOneGoesFirst", false, Happens::EqualLogAsksAndVoterIsReached,
                             Milliseconds(40), false },
                AskingCase { "HelpedOneHadItsTime", false, Happens::EqualLogAsksAndVoterIsReached,
                             Milliseconds(50), true }),
        [](const auto &tested) { return tested.param.name; });

// Guards against a group that is stuck because only a learner has the last entries of a leader that
// lost its disk.
TEST(QuorumElection, ALearnerWithTheNewestLogLeadsUntilVotersHaveIt)
{
    QuorumState quorum = makeVoter();
    quorum.settings.self = "d";
    quorum.members = { { "a", "b", "c" }, { "d" } };
    const Time later = Start + Milliseconds(200);
    EXPECT_FALSE(asks(tick(quorum, later)));
    handle(quorum, askedBefore(2), later);
    EXPECT_TRUE(asks(tick(quorum, later + Milliseconds(20))));
    for (const bool preVote : { true, false }) {
        for (const char *voter : { "a", "b" }) {
            VoteReply reply;
            reply.from = voter;
            reply.term = 3;
            reply.granted = true;
            reply.preVote = preVote;
            handle(quorum, reply, later + Milliseconds(25));
        }
    }
    EXPECT_TRUE(isLeader(quorum));
    tick(quorum, later + Milliseconds(30));
    EXPECT_TRUE(isLeader(quorum));
}

// Its removal is committed, so that a vote request with an older log makes no difference.
TEST(QuorumElection, ARemovedHostNeverAsks)
{
    QuorumState quorum = makeVoter();
    quorum.settings.self = "d";
    quorum.commitIndex = 3;
    handle(quorum, askedBefore(2), Start);
    EXPECT_FALSE(asks(tick(quorum, Start + Seconds(2))));
}

// Guards against split votes between hosts that start at the same moment.
TEST(QuorumElection, AHostThatHelpedAnotherPutsItsOwnFirstTryOff)
{
    QuorumState quorum = makeVoter();
    const Time helped = Start + Milliseconds(19);
    handle(quorum, askedBefore(3), helped);
    EXPECT_FALSE(asks(tick(quorum, helped + quorum.settings.preVoteBackoff - Milliseconds(1))));
    EXPECT_TRUE(asks(tick(quorum, helped + quorum.settings.preVoteBackoff)));
}

} // namespace
} // namespace foxwing::quorum
