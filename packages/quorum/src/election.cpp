/*
    Elections with a pre-vote: a host that returns from a network partition disrupts no leader.

    [SECTION] Roles
    [SECTION] Candidates
    [SECTION] Voting
*/
#include "internal.h"

#include <algorithm>

#include <foxwing/base/guards.h>

namespace foxwing::quorum {

// [SECTION] Roles

void scheduleElection(QuorumState &quorum, Time now, Microseconds timeout)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, timeout.count());
    quorum.electionDeadline = now + timeout + Microseconds(jitter(quorum.random));
}

void becomeFollower(QuorumState &quorum, std::uint64_t term, const std::string &leader, Time now,
                    QuorumActions &actions)
{
    if (term > quorum.term)
        setVote(quorum, term, {}, actions);
    if (quorum.role == Role::Leader) {
        for (const PendingRead &read : quorum.reads)
            actions.failedReads.push_back(read.id);
        quorum.reads.clear();
    }
    quorum.role = Role::Follower;
    quorum.leader = leader;
    quorum.refusedOlderLog = quorum.refusedOlderLog && leader.empty();
    quorum.votes.clear();
    scheduleElection(quorum, now, quorum.settings.electionTimeout);
}

// [SECTION] Candidates

// Besides voters: a host removed by a membership change that it does not know to be committed, and
// a learner with a newer log than a voter that requested its vote. Either may have the only copy of
// the newest entries. Only voters' votes count. A host whose removal is committed must not become a
// candidate, as it would become leader and step down repeatedly.
static bool canBeCandidate(const QuorumState &quorum)
{
    const std::vector<std::string> &learners = quorum.members.learners;
    const bool isLearner = std::find(learners.begin(), learners.end(), quorum.settings.self)
            != learners.end();
    return quorum.joined
            && (isVoter(quorum, quorum.settings.self) || quorum.membersIndex > quorum.commitIndex
                || (isLearner && quorum.refusedOlderLog));
}

namespace {

// Brings the next election forward, without waiting for the end of the election timeout. Shortens
// recovery when all hosts restart at once: the first task then starts 0.15 s sooner.
void retryElectionSoon(QuorumState &quorum, Time now)
{
    if (!quorum.leader.empty() || quorum.role == Role::Leader || quorum.role == Role::Candidate)
        return;
    std::uniform_int_distribution<std::int64_t>
            jitter(0, Microseconds(quorum.settings.firstElectionTimeout).count());
    const Time soon = std::max(now + Microseconds(jitter(quorum.random)), quorum.backoffUntil);
    quorum.electionDeadline = std::min(quorum.electionDeadline, soon);
}

void recordOlderLog(QuorumState &quorum, Time now)
{
    quorum.refusedOlderLog = true;
    retryElectionSoon(quorum, now);
}

void delayElection(QuorumState &quorum, Time now)
{
    if (!quorum.leader.empty())
        return;
    quorum.backoffUntil = now + quorum.settings.preVoteBackoff;
    quorum.electionDeadline = std::max(quorum.electionDeadline, quorum.backoffUntil);
}

void requestVotes(QuorumState &quorum, bool preVote, QuorumActions &actions)
{
    VoteRequest request;
    request.from = quorum.settings.self;
    request.term = preVote ? quorum.term + 1 : quorum.term;
    request.lastIndex = lastIndex(quorum);
    request.lastTerm = lastTerm(quorum);
    request.preVote = preVote;
    quorum.votes = { quorum.settings.self };
    for (const std::string &voter : quorum.members.voters) {
        if (voter != quorum.settings.self)
            sendAfterSync(quorum, voter, request, actions);
    }
}

bool hasWon(const QuorumState &quorum)
{
    return majority(quorum,
                    [&](const std::string &voter) { return quorum.votes.count(voter) != 0; });
}

void startElection(QuorumState &quorum, Time now, QuorumActions &actions)
{
    quorum.role = Role::Candidate;
    setVote(quorum, quorum.term + 1, quorum.settings.self, actions);
    requestVotes(quorum, false, actions);
    scheduleElection(quorum, now, quorum.settings.electionTimeout);
    if (hasWon(quorum))
        becomeLeader(quorum, now, actions);
}

} // namespace

void voterConnected(QuorumState &quorum, Time now)
{
    retryElectionSoon(quorum, now);
}

void tickElection(QuorumState &quorum, Time now, QuorumActions &actions)
{
    if (now < quorum.electionDeadline || !canBeCandidate(quorum))
        return;
    quorum.role = Role::PreCandidate;
    quorum.leader.clear();
    scheduleElection(quorum, now, quorum.settings.electionTimeout);
    requestVotes(quorum, true, actions);
    if (hasWon(quorum))
        startElection(quorum, now, actions);
}

void handleVoteReply(QuorumState &quorum, const VoteReply &reply, Time now, QuorumActions &actions)
{
    if (reply.term > quorum.term && !(reply.preVote && reply.granted))
        return becomeFollower(quorum, reply.term, {}, now, actions);
    const bool expected = reply.granted
            && (reply.preVote ? quorum.role == Role::PreCandidate && reply.term == quorum.term + 1
                              : quorum.role == Role::Candidate && reply.term == quorum.term);
    if (!expected)
        return;
    quorum.votes.insert(reply.from);
    if (!hasWon(quorum))
        return;
    if (reply.preVote)
        startElection(quorum, now, actions);
    else
        becomeLeader(quorum, now, actions);
}

// [SECTION] Voting

namespace {

bool isUpToDate(const QuorumState &quorum, const VoteRequest &request)
{
    if (request.lastTerm != lastTerm(quorum))
        return request.lastTerm > lastTerm(quorum);
    return request.lastIndex >= lastIndex(quorum);
}

// A host in contact with its leader grants no votes for a new term.
bool hasLeaderContact(const QuorumState &quorum, Time now)
{
    if (quorum.role == Role::Leader)
        return true;
    return !quorum.leader.empty()
            && now < quorum.lastLeaderContact + quorum.settings.electionTimeout;
}

} // namespace

void handleVoteRequest(QuorumState &quorum, const VoteRequest &request, Time now,
                       QuorumActions &actions)
{
    if (!quorum.joined || (hasLeaderContact(quorum, now) && request.term > quorum.term))
        return;
    VoteReply reply;
    reply.from = quorum.settings.self;
    reply.preVote = request.preVote;
    if (request.preVote) {
        reply.term = request.term;
        reply.granted = request.term > quorum.term && isUpToDate(quorum, request);
        if (!reply.granted)
            reply.term = quorum.term;
        if (reply.granted)
            delayElection(quorum, now);
        else if (!isUpToDate(quorum, request))
            recordOlderLog(quorum, now);
        return sendAfterSync(quorum, request.from, reply, actions);
    }
    if (request.term > quorum.term)
        becomeFollower(quorum, request.term, {}, now, actions);
    const bool voteAvailable = quorum.votedFor.empty() || quorum.votedFor == request.from;
    reply.granted = request.term == quorum.term && voteAvailable && isUpToDate(quorum, request)
            && quorum.role == Role::Follower;
    if (reply.granted) {
        setVote(quorum, quorum.term, request.from, actions);
        scheduleElection(quorum, now, quorum.settings.electionTimeout);
    }
    reply.term = quorum.term;
    sendAfterSync(quorum, request.from, reply, actions);
}

} // namespace foxwing::quorum
