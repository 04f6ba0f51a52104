/*
    Inside the agreement group: what its files share.

    [SECTION] Log
    [SECTION] Members
    [SECTION] Elections
    [SECTION] Replication
*/
#pragma once

#include <foxwing/quorum/quorum.h>

namespace foxwing::quorum {

// [SECTION] Log

// The term of an entry; 0 if it is not known here.
std::uint64_t termAt(const QuorumState &quorum, std::uint64_t index);

const LogEntry *entryAt(const QuorumState &quorum, std::uint64_t index);

// Puts an entry at its index; whatever stood there and after it goes.
void putEntry(QuorumState &quorum, const LogEntry &entry, QuorumActions &actions);

// Term and vote change together and are kept on disk.
void setVote(QuorumState &quorum, std::uint64_t term, const std::string &votedFor,
             QuorumActions &actions);

// Hands out a record for the disk.
void writeRecord(QuorumState &quorum, Record record, QuorumActions &actions);

// Sends once all that was handed out so far is synced.
void sendAfterSync(QuorumState &quorum, const std::string &to, QuorumMessage message,
                   QuorumActions &actions);

// Moves the commit index and hands out what is to be applied.
void commitUpTo(QuorumState &quorum, std::uint64_t index, QuorumActions &actions);

// [SECTION] Members

bool isVoter(const QuorumState &quorum, const std::string &id);

// Works members out anew from snapshot and log.
void refreshMembers(QuorumState &quorum);

// Whether the voters for which the test holds are a majority.
template<class Test>
bool majority(const QuorumState &quorum, Test test)
{
    std::size_t count = 0;
    for (const std::string &voter : quorum.members.voters)
        count += test(voter) ? 1 : 0;
    return count * 2 > quorum.members.voters.size();
}

// [SECTION] Elections

void becomeFollower(QuorumState &quorum, std::uint64_t term, const std::string &leader, Time now,
                    QuorumActions &actions);
void handleVoteRequest(QuorumState &quorum, const VoteRequest &request, Time now,
                       QuorumActions &actions);
void handleVoteReply(QuorumState &quorum, const VoteReply &reply, Time now, QuorumActions &actions);
void tickElection(QuorumState &quorum, Time now, QuorumActions &actions);
// The next election is due after the span, up to twice of it.
void setElectionTime(QuorumState &quorum, Time now, Microseconds span);

// [SECTION] Replication

void startLeading(QuorumState &quorum, Time now, QuorumActions &actions);
void handleAppend(QuorumState &quorum, const Append &append, Time now, QuorumActions &actions);
void handleAppendReply(QuorumState &quorum, const AppendReply &reply, Time now,
                       QuorumActions &actions);
void handleInstall(QuorumState &quorum, const InstallSnapshot &install, Time now,
                   QuorumActions &actions);
void tickLeader(QuorumState &quorum, Time now, QuorumActions &actions);

// Sends what each peer lacks, or a heartbeat where it is due.
void replicateAll(QuorumState &quorum, bool heartbeat, Time now, QuorumActions &actions);

// The leader commits what a quorum has on disk.
void advanceCommit(QuorumState &quorum, QuorumActions &actions);
void confirmReads(QuorumState &quorum, QuorumActions &actions);

} // namespace foxwing::quorum
