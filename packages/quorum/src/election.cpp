/*
    Elections with a vote before the vote: a host that was cut off disturbs nobody when it returns.

    [SECTION] Roles
    [SECTION] Asking
    [SECTION] Voting
*/
#include "internal.h"

#include <foxwing/base/guards.h>

namespace foxwing::quorum {

// [SECTION] Roles

void setElectionTime(QuorumState &quorum, Time now, Microseconds span)
{
    std::uniform_int_distribution<std::int64_t> extra(0, span.count());
    quorum.electionAt = now + span + Microseconds(extra(quorum.random));
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
    quorum.votes.clear();
    setElectionTime(quorum, now, quorum.settings.electionSpan);
}

// [SECTION] Asking

namespace {

void askForVotes(QuorumState &quorum, bool pre, QuorumActions &actions)
{
    VoteRequest request;
    request.from = quorum.settings.self;
    request.term = pre ? quorum.term + 1 : quorum.term;
    request.lastIndex = lastIndex(quorum);
    request.lastTerm = lastTerm(quorum);
    request.pre = pre;
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
    askForVotes(quorum, false, actions);
    setElectionTime(quorum, now, quorum.settings.electionSpan);
    if (hasWon(quorum))
        startLeading(quorum, now, actions);
}

} // namespace

// Also a host that a change of members removes, as long as it does not know that the change is
// committed: it may be the only one with the longest log.
static bool mayLead(const QuorumState &quorum)
{
    return quorum.joined
            && (isVoter(quorum, quorum.settings.self) || quorum.membersIndex > quorum.commit);
}

void tickElection(QuorumState &quorum, Time now, QuorumActions &actions)
{
    if (now < quorum.electionAt || !mayLead(quorum))
        return;
    quorum.role = Role::PreCandidate;
    quorum.leader.clear();
    setElectionTime(quorum, now, quorum.settings.electionSpan);
    askForVotes(quorum, true, actions);
    if (hasWon(quorum))
        startElection(quorum, now, actions);
}

void handleVoteReply(QuorumState &quorum, const VoteReply &reply, Time now, QuorumActions &actions)
{
    if (reply.term > quorum.term && !(reply.pre && reply.granted))
        return becomeFollower(quorum, reply.term, {}, now, actions);
    const bool awaited = reply.granted
            && (reply.pre ? quorum.role == Role::PreCandidate && reply.term == quorum.term + 1
                          : quorum.role == Role::Candidate && reply.term == quorum.term);
    if (!awaited)
        return;
    quorum.votes.insert(reply.from);
    if (!hasWon(quorum))
        return;
    if (reply.pre)
        startElection(quorum, now, actions);
    else
        startLeading(quorum, now, actions);
}

// [SECTION] Voting

namespace {

bool upToDate(const QuorumState &quorum, const VoteRequest &request)
{
    if (request.lastTerm != lastTerm(quorum))
        return request.lastTerm > lastTerm(quorum);
    return request.lastIndex >= lastIndex(quorum);
}

// A host that hears its leader helps nobody to replace it.
bool hearsLeader(const QuorumState &quorum, Time now)
{
    if (quorum.role == Role::Leader)
        return true;
    return !quorum.leader.empty() && now < quorum.leaderHeardAt + quorum.settings.electionSpan;
}

} // namespace

void handleVoteRequest(QuorumState &quorum, const VoteRequest &request, Time now,
                       QuorumActions &actions)
{
    if (!quorum.joined || (hearsLeader(quorum, now) && request.term > quorum.term))
        return;
    VoteReply reply;
    reply.from = quorum.settings.self;
    reply.pre = request.pre;
    if (request.pre) {
        reply.term = request.term;
        reply.granted = request.term > quorum.term && upToDate(quorum, request);
        if (!reply.granted)
            reply.term = quorum.term;
        return sendAfterSync(quorum, request.from, reply, actions);
    }
    if (request.term > quorum.term)
        becomeFollower(quorum, request.term, {}, now, actions);
    const bool free = quorum.votedFor.empty() || quorum.votedFor == request.from;
    reply.granted = request.term == quorum.term && free && upToDate(quorum, request)
            && quorum.role == Role::Follower;
    if (reply.granted) {
        setVote(quorum, quorum.term, request.from, actions);
        setElectionTime(quorum, now, quorum.settings.electionSpan);
    }
    reply.term = quorum.term;
    sendAfterSync(quorum, request.from, reply, actions);
}

} // namespace foxwing::quorum
