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

const Time StartTime { Seconds(100) };

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
    return makeQuorum(settings, recovered, StartTime);
}

VoteRequest makePreVoteRequest(std::uint64_t lastIndex)
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
Time startFailedPreVote(QuorumState &quorum)
{
    const Time later = StartTime + Milliseconds(40);
    tick(quorum, later);
    EXPECT_EQ(quorum.role, Role::PreCandidate);
    EXPECT_GE(quorum.electionDeadline, later + Milliseconds(400));
    return later;
}

bool requestsVotes(const QuorumActions &actions)
{
    for (const Outgoing &outgoing : actions.sends) {
        if (std::holds_alternative<VoteRequest>(outgoing.message))
            return true;
    }
    return false;
}

// [SECTION] Tests

enum class Event {
    Nothing,
    OlderLogRequestsVote,
    EqualLogRequestsVote,
    VoterConnected,
    EqualLogRequestsVoteAndVoterConnected,
};

struct CandidacyCase
{
    const char *name;
    bool hasLeaderContact;
    Event event;

    // Time from the event to the check
    Milliseconds after;
    bool requestsVotes;
};

class Candidacy : public testing::TestWithParam<CandidacyCase>
{ };

void applyEvent(QuorumState &quorum, Event event, Time now)
{
    if (event == Event::OlderLogRequestsVote)
        handle(quorum, makePreVoteRequest(2), now);
    if (event == Event::EqualLogRequestsVote
        || event == Event::EqualLogRequestsVoteAndVoterConnected)
        handle(quorum, makePreVoteRequest(3), now);
    if (event == Event::VoterConnected || event == Event::EqualLogRequestsVoteAndVoterConnected)
        voterConnected(quorum, now);
}

TEST_P(Candidacy, DependsOnEvents)
{
    QuorumState quorum = makeVoter();
    const Time now = startFailedPreVote(quorum);
    if (GetParam().hasLeaderContact) {
        Append append;
        append.from = "c";
        append.term = 2;
        append.previousIndex = 3;
        append.previousTerm = 2;
        handle(quorum, append, now);
    }
    applyEvent(quorum, GetParam().event, now);
    EXPECT_EQ(requestsVotes(tick(quorum, now + GetParam().after)), GetParam().requestsVotes);
}

INSTANTIATE_TEST_SUITE_P(
        Quorum, Candidacy,
        testing::Values(CandidacyCase { "NoEvent", false, Event::Nothing, Milliseconds(100),
                                        false },
                        CandidacyCase { "OlderLogOfTheOther", false, Event::OlderLogRequestsVote,
                                        Milliseconds(20), true },
                        CandidacyCase { "VoterConnected", false, Event::VoterConnected,
                                        Milliseconds(20), true },
                        CandidacyCase { "OlderLogOfTheOtherWithALeader", true,
                                        Event::OlderLogRequestsVote, Milliseconds(100), false },
                        CandidacyCase { "VoterConnectedWithALeader", true, Event::VoterConnected,
                                        Milliseconds(100), false },
                        CandidacyCase { "PreVoteGranted", false, Event::EqualLogRequestsVote,
                                        Milliseconds(100), false },
                        CandidacyCase { "VoterConnectedDuringBackoff", false,
                                        Event::EqualLogRequestsVoteAndVoterConnected,
                                        Milliseconds(40), false },
                        CandidacyCase { "VoterConnectedAfterBackoff", false,
                                        Event::EqualLogRequestsVoteAndVoterConnected,
                                        Milliseconds(50), true }),
        [](const auto &tested) { return tested.param.name; });

// Guards against a group that is stuck because only a learner has the last entries of a leader that
// lost its disk.
TEST(QuorumElection, LearnerWithTheNewestLogBecomesLeader)
{
    QuorumState quorum = makeVoter();
    quorum.settings.self = "d";
    quorum.members = { { "a", "b", "c" }, { "d" } };
    const Time later = StartTime + Milliseconds(200);
    EXPECT_FALSE(requestsVotes(tick(quorum, later)));
    handle(quorum, makePreVoteRequest(2), later);
    EXPECT_TRUE(requestsVotes(tick(quorum, later + Milliseconds(20))));
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

// Its removal is committed, so a vote request of a host with an older log doesn't make it a
// candidate.
TEST(QuorumElection, RemovedHostNeverRequestsVotes)
{
    QuorumState quorum = makeVoter();
    quorum.settings.self = "d";
    quorum.commitIndex = 3;
    handle(quorum, makePreVoteRequest(2), StartTime);
    EXPECT_FALSE(requestsVotes(tick(quorum, StartTime + Seconds(2))));
}

// Guards against split votes between hosts that start at the same moment.
TEST(QuorumElection, HostThatGrantedAPreVoteDelaysItsOwn)
{
    QuorumState quorum = makeVoter();
    const Time grantedAt = StartTime + Milliseconds(19);
    handle(quorum, makePreVoteRequest(3), grantedAt);
    EXPECT_FALSE(requestsVotes(
            tick(quorum, grantedAt + quorum.settings.preVoteBackoff - Milliseconds(1))));
    EXPECT_TRUE(requestsVotes(tick(quorum, grantedAt + quorum.settings.preVoteBackoff)));
}

} // namespace
} // namespace foxwing::quorum
