/*
    Replication of the leader's log to the other members.

    [SECTION] Sending
    [SECTION] Receiving
    [SECTION] Replies
    [SECTION] Timers
*/
#include "internal.h"

#include <algorithm>

#include <foxwing/base/guards.h>

namespace foxwing::quorum {

// [SECTION] Sending

namespace {

// An unanswered message is sent again after this many heartbeat intervals.
constexpr int ResendHeartbeats = 2;

void sendSnapshot(QuorumState &quorum, const std::string &to, QuorumActions &actions)
{
    InstallSnapshot install;
    install.from = quorum.settings.self;
    install.term = quorum.term;
    install.round = quorum.round;
    install.snapshot = quorum.snapshot;
    sendAfterSync(quorum, to, std::move(install), actions);
}

void sendEntries(QuorumState &quorum, const std::string &to, const Peer &peer,
                 QuorumActions &actions)
{
    Append append;
    append.from = quorum.settings.self;
    append.term = quorum.term;
    append.previousIndex = peer.nextIndex - 1;
    append.previousTerm = termAt(quorum, append.previousIndex);
    append.commitIndex = quorum.commitIndex;
    append.round = quorum.round;
    const std::vector<std::string> &learners = quorum.members.learners;
    append.asLearner = std::find(learners.begin(), learners.end(), to) != learners.end();
    for (std::uint64_t index = peer.nextIndex; index <= lastIndex(quorum); ++index) {
        if (append.entries.size() == quorum.settings.maxAppendEntries)
            break;
        append.entries.push_back(*entryAt(quorum, index));
    }
    // Needs no sync: the leader counts itself towards the quorum only once the entries are synced.
    actions.sends.push_back({ to, std::move(append) });
}

void replicate(QuorumState &quorum, const std::string &to, bool heartbeat, Time now,
               QuorumActions &actions)
{
    Peer &peer = quorum.peers[to];
    const bool lacksEntries = peer.nextIndex <= lastIndex(quorum);
    const bool overdue = now
            >= peer.lastSentAt + ResendHeartbeats * quorum.settings.heartbeatInterval;
    if (!heartbeat && (!lacksEntries || (peer.awaitingReply && !overdue)))
        return;
    peer.lastSentAt = now;
    peer.awaitingReply = lacksEntries;
    if (peer.nextIndex <= quorum.snapshot.index)
        sendSnapshot(quorum, to, actions);
    else
        sendEntries(quorum, to, peer, actions);
}

std::vector<std::string> otherMembers(const QuorumState &quorum)
{
    std::vector<std::string> ids = quorum.members.voters;
    ids.insert(ids.end(), quorum.members.learners.begin(), quorum.members.learners.end());
    ids.erase(std::remove(ids.begin(), ids.end(), quorum.settings.self), ids.end());
    return ids;
}

} // namespace

void replicateAll(QuorumState &quorum, bool heartbeat, Time now, QuorumActions &actions)
{
    for (const std::string &id : otherMembers(quorum))
        replicate(quorum, id, heartbeat, now, actions);
}

void becomeLeader(QuorumState &quorum, Time now, QuorumActions &actions)
{
    quorum.role = Role::Leader;
    quorum.leader = quorum.settings.self;
    quorum.peers.clear();
    quorum.votes.clear();
    for (const std::string &id : otherMembers(quorum)) {
        quorum.peers[id].nextIndex = lastIndex(quorum) + 1;
        quorum.peers[id].lastReceivedAt = now;
    }
    LogEntry entry;
    entry.index = lastIndex(quorum) + 1;
    entry.term = quorum.term;
    entry.kind = EntryKind::NoOp;
    // The very first entry defines the members.
    if (entry.index == 1) {
        entry.kind = EntryKind::Members;
        entry.members = quorum.members;
    }
    quorum.termStartIndex = entry.index;
    storeEntry(quorum, entry, actions);
    ++quorum.round;
    quorum.nextHeartbeat = now + quorum.settings.heartbeatInterval;
    replicateAll(quorum, true, now, actions);
    advanceCommit(quorum, actions);
}

// [SECTION] Receiving

namespace {

// Stores the entries that are missing or differ. The first that differs truncates the log.
void storeEntries(QuorumState &quorum, const Append &append, QuorumActions &actions)
{
    for (const LogEntry &entry : append.entries) {
        if (entry.index <= quorum.snapshot.index || termAt(quorum, entry.index) == entry.term)
            continue;
        storeEntry(quorum, entry, actions);
    }
}

AppendReply makeReply(const QuorumState &quorum, std::uint64_t round)
{
    AppendReply reply;
    reply.from = quorum.settings.self;
    reply.term = quorum.term;
    reply.round = round;
    reply.joined = quorum.joined;
    return reply;
}

// False if the message is from an earlier term; its sender then gets a reply with the current term.
bool acceptLeader(QuorumState &quorum, const std::string &from, std::uint64_t term,
                  std::uint64_t round, Time now, QuorumActions &actions)
{
    if (term < quorum.term) {
        sendAfterSync(quorum, from, makeReply(quorum, round), actions);
        return false;
    }
    becomeFollower(quorum, term, from, now, actions);
    quorum.lastLeaderContact = now;
    return true;
}

} // namespace

void handleAppend(QuorumState &quorum, const Append &append, Time now, QuorumActions &actions)
{
    if (!acceptLeader(quorum, append.from, append.term, append.round, now, actions))
        return;
    quorum.leaderCommit = append.commitIndex;
    if (append.asLearner && !quorum.joined) {
        quorum.joined = true;
        writeRecord(quorum, VoteRecord { quorum.term, quorum.votedFor, true }, actions);
    }
    AppendReply reply = makeReply(quorum, append.round);
    const bool previousMatches = append.previousIndex <= quorum.snapshot.index
            || termAt(quorum, append.previousIndex) == append.previousTerm;
    if (!previousMatches) {
        reply.index = std::min(append.previousIndex - 1, lastIndex(quorum));
        reply.index = std::max(reply.index, quorum.commitIndex);
        return sendAfterSync(quorum, append.from, reply, actions);
    }
    storeEntries(quorum, append, actions);
    reply.matches = true;
    reply.index = std::max(append.previousIndex + append.entries.size(), quorum.snapshot.index);
    commitUpTo(quorum, std::min(append.commitIndex, reply.index), actions);
    sendAfterSync(quorum, append.from, reply, actions);
}

void handleInstall(QuorumState &quorum, const InstallSnapshot &install, Time now,
                   QuorumActions &actions)
{
    if (!acceptLeader(quorum, install.from, install.term, install.round, now, actions))
        return;
    const SnapshotRecord &snapshot = install.snapshot;
    if (snapshot.index > quorum.commitIndex) {
        const bool matchesLog = termAt(quorum, snapshot.index) == snapshot.term;
        if (!matchesLog)
            quorum.log.clear();
        while (!quorum.log.empty() && quorum.log.front().index <= snapshot.index)
            quorum.log.pop_front();
        quorum.snapshot = snapshot;
        quorum.commitIndex = snapshot.index;
        quorum.appliedIndex = snapshot.index;
        refreshMembers(quorum);
        quorum.syncedIndex = std::min(quorum.syncedIndex, snapshot.index);
        writeRecord(quorum, snapshot, actions);
        actions.installed = snapshot;
    }
    AppendReply reply = makeReply(quorum, install.round);
    reply.matches = true;
    reply.index = snapshot.index;
    sendAfterSync(quorum, install.from, reply, actions);
}

// [SECTION] Replies

void handleAppendReply(QuorumState &quorum, const AppendReply &reply, Time now,
                       QuorumActions &actions)
{
    if (reply.term > quorum.term)
        return becomeFollower(quorum, reply.term, {}, now, actions);
    const auto found = quorum.peers.find(reply.from);
    if (quorum.role != Role::Leader || reply.term < quorum.term || found == quorum.peers.end())
        return;
    Peer &peer = found->second;
    peer.lastReceivedAt = now;
    peer.joined = reply.joined;
    peer.awaitingReply = false;
    peer.ackedRound = std::max(peer.ackedRound, reply.round);
    if (reply.matches) {
        peer.matchIndex = std::max(peer.matchIndex, reply.index);
        peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
    } else {
        peer.nextIndex = std::max(peer.matchIndex, std::min(reply.index, peer.nextIndex - 1)) + 1;
    }
    advanceCommit(quorum, actions);
    confirmReads(quorum, actions);
    replicate(quorum, reply.from, false, now, actions);
}

void advanceCommit(QuorumState &quorum, QuorumActions &actions)
{
    std::uint64_t index = quorum.commitIndex;
    const auto isOnQuorum = [&](std::uint64_t wanted) {
        return majority(quorum, [&](const std::string &voter) {
            if (voter == quorum.settings.self)
                return !isEnabled(Guard::Sync) || quorum.syncedIndex >= wanted;
            const auto peer = quorum.peers.find(voter);
            return peer != quorum.peers.end() && peer->second.joined
                    && peer->second.matchIndex >= wanted;
        });
    };
    while (index < lastIndex(quorum) && isOnQuorum(index + 1))
        ++index;
    // Entries of earlier terms are committed only together with one of the current term.
    if (index >= quorum.termStartIndex)
        commitUpTo(quorum, index, actions);
}

void confirmReads(QuorumState &quorum, QuorumActions &actions)
{
    while (!quorum.reads.empty()) {
        const PendingRead &read = quorum.reads.front();
        const bool confirmed = majority(quorum, [&](const std::string &voter) {
            if (voter == quorum.settings.self)
                return true;
            const auto peer = quorum.peers.find(voter);
            return peer != quorum.peers.end() && peer->second.joined
                    && peer->second.ackedRound >= read.round;
        });
        if (!confirmed || quorum.commitIndex < quorum.termStartIndex)
            return;
        actions.confirmedReads.push_back(read.id);
        quorum.reads.pop_front();
    }
}

// [SECTION] Timers

void tickLeader(QuorumState &quorum, Time now, QuorumActions &actions)
{
    const bool hasQuorum = majority(quorum, [&](const std::string &voter) {
        if (voter == quorum.settings.self)
            return true;
        const auto peer = quorum.peers.find(voter);
        return peer != quorum.peers.end() && peer->second.joined
                && now < peer->second.lastReceivedAt + quorum.settings.electionTimeout;
    });
    const bool removed = !isVoter(quorum, quorum.settings.self)
            && quorum.commitIndex >= std::max(quorum.membersIndex, quorum.termStartIndex);
    if ((!hasQuorum && isEnabled(Guard::QuorumCheck)) || removed)
        return becomeFollower(quorum, quorum.term, {}, now, actions);
    if (now >= quorum.nextHeartbeat) {
        ++quorum.round;
        quorum.nextHeartbeat = now + quorum.settings.heartbeatInterval;
        replicateAll(quorum, true, now, actions);
    } else {
        replicateAll(quorum, false, now, actions);
    }
}

} // namespace foxwing::quorum
