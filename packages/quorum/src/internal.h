/*
    Functions shared by the files of this package.

    [SECTION] Log
    [SECTION] Members
    [SECTION] Elections
    [SECTION] Replication
*/
#pragma once

#include <foxwing/quorum/quorum.h>

namespace foxwing::quorum {

// [SECTION] Log

// The term of an entry; 0 if the entry is neither in the log nor the last one of the snapshot.
std::uint64_t termAt(const QuorumState &quorum, std::uint64_t index);

const LogEntry *entryAt(const QuorumState &quorum, std::uint64_t index);

// Stores an entry at its index and removes the entries from there on.
void storeEntry(QuorumState &quorum, const LogEntry &entry, QuorumActions &actions);

// Sets term and vote and records them on disk.
void setVote(QuorumState &quorum, std::uint64_t term, const std::string &votedFor,
             QuorumActions &actions);

// Numbers a record and adds it to the actions.
void writeRecord(QuorumState &quorum, Record record, QuorumActions &actions);

// Sends once all records so far are synced.
void sendAfterSync(QuorumState &quorum, const std::string &to, QuorumMessage message,
                   QuorumActions &actions);

// Advances the commit index and adds the newly committed entries to the actions.
void commitUpTo(QuorumState &quorum, std::uint64_t index, QuorumActions &actions);

// [SECTION] Members

bool isVoter(const QuorumState &quorum, const std::string &id);

// Recomputes members and membersIndex from snapshot and log.
void refreshMembers(QuorumState &quorum);

// Whether the predicate is true for a majority of the voters.
template<class Predicate>
bool majority(const QuorumState &quorum, Predicate predicate)
{
    std::size_t count = 0;
    for (const std::string &voter : quorum.members.voters)
        count += predicate(voter) ? 1 : 0;
    return count * 2 > quorum.members.voters.size();
}

// [SECTION] Elections

void becomeFollower(QuorumState &quorum, std::uint64_t term, const std::string &leader, Time now,
                    QuorumActions &actions);
void handleVoteRequest(QuorumState &quorum, const VoteRequest &request, Time now,
                       QuorumActions &actions);
void handleVoteReply(QuorumState &quorum, const VoteReply &reply, Time now, QuorumActions &actions);
void tickElection(QuorumState &quorum, Time now, QuorumActions &actions);

// Schedules the next election after one to two timeouts.
void scheduleElection(QuorumState &quorum, Time now, Microseconds timeout);

// [SECTION] Replication

void becomeLeader(QuorumState &quorum, Time now, QuorumActions &actions);
void handleAppend(QuorumState &quorum, const Append &append, Time now, QuorumActions &actions);
void handleAppendReply(QuorumState &quorum, const AppendReply &reply, Time now,
                       QuorumActions &actions);
void handleInstall(QuorumState &quorum, const InstallSnapshot &install, Time now,
                   QuorumActions &actions);
void tickLeader(QuorumState &quorum, Time now, QuorumActions &actions);

// Sends each member the entries it lacks. A heartbeat is also sent to members that lack none or
// have a message in flight.
void replicateAll(QuorumState &quorum, bool heartbeat, Time now, QuorumActions &actions);

// Commits the entries that a quorum has on disk.
void advanceCommit(QuorumState &quorum, QuorumActions &actions);
void confirmReads(QuorumState &quorum, QuorumActions &actions);

} // namespace foxwing::quorum
