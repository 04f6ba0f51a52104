/*
    The log, its records on disk, and commits.

    [SECTION] Reading
    [SECTION] Writing
    [SECTION] Commit
*/
#include "internal.h"

#include <algorithm>

#include <foxwing/base/guards.h>

namespace foxwing::quorum {

// [SECTION] Reading

std::uint64_t lastIndex(const QuorumState &quorum)
{
    return quorum.snapshot.index + quorum.log.size();
}

std::uint64_t lastTerm(const QuorumState &quorum)
{
    return quorum.log.empty() ? quorum.snapshot.term : quorum.log.back().term;
}

const LogEntry *entryAt(const QuorumState &quorum, std::uint64_t index)
{
    if (index <= quorum.snapshot.index || index > lastIndex(quorum))
        return nullptr;
    return &quorum.log[index - quorum.snapshot.index - 1];
}

std::uint64_t termAt(const QuorumState &quorum, std::uint64_t index)
{
    if (index == quorum.snapshot.index)
        return quorum.snapshot.term;
    const LogEntry *entry = entryAt(quorum, index);
    return entry ? entry->term : 0;
}

// [SECTION] Writing

void writeRecord(QuorumState &quorum, Record record, QuorumActions &actions)
{
    actions.records.push_back(std::move(record));
    actions.syncNumber = ++quorum.lastSyncNumber;
    quorum.syncMarks.push_back({ quorum.lastSyncNumber, lastIndex(quorum), lastTerm(quorum) });
}

void storeEntry(QuorumState &quorum, const LogEntry &entry, QuorumActions &actions)
{
    const bool truncates = entry.index <= lastIndex(quorum);
    while (lastIndex(quorum) >= entry.index)
        quorum.log.pop_back();
    quorum.log.push_back(entry);
    quorum.syncedIndex = std::min(quorum.syncedIndex, entry.index - 1);
    // Truncation may undo a membership change.
    if (truncates || entry.kind == EntryKind::Members)
        refreshMembers(quorum);
    writeRecord(quorum, EntryRecord { entry }, actions);
}

void setVote(QuorumState &quorum, std::uint64_t term, const std::string &votedFor,
             QuorumActions &actions)
{
    if (term == quorum.term && votedFor == quorum.votedFor)
        return;
    quorum.term = term;
    quorum.votedFor = votedFor;
    writeRecord(quorum, VoteRecord { term, votedFor, quorum.joined }, actions);
}

void sendAfterSync(QuorumState &quorum, const std::string &to, QuorumMessage message,
                   QuorumActions &actions)
{
    Outgoing outgoing { to, std::move(message) };
    if (quorum.syncedNumber >= quorum.lastSyncNumber || !isEnabled(Guard::Sync))
        actions.sends.push_back(std::move(outgoing));
    else
        quorum.deferredMessages.push_back({ quorum.lastSyncNumber, std::move(outgoing) });
}

QuorumActions synced(QuorumState &quorum, std::uint64_t syncNumber, Time now)
{
    (void)now;
    QuorumActions actions;
    quorum.syncedNumber = std::max(quorum.syncedNumber, syncNumber);
    while (!quorum.syncMarks.empty()
           && quorum.syncMarks.front().syncNumber <= quorum.syncedNumber) {
        const QuorumState::SyncMark mark = quorum.syncMarks.front();
        quorum.syncMarks.pop_front();
        // If the entry has been replaced since, a later mark covers its replacement.
        if (termAt(quorum, mark.index) == mark.term)
            quorum.syncedIndex = std::max(quorum.syncedIndex, mark.index);
    }
    while (!quorum.deferredMessages.empty()
           && quorum.deferredMessages.front().syncNumber <= quorum.syncedNumber) {
        actions.sends.push_back(std::move(quorum.deferredMessages.front().outgoing));
        quorum.deferredMessages.pop_front();
    }
    if (quorum.role == Role::Leader)
        advanceCommit(quorum, actions);
    return actions;
}

// [SECTION] Commit

void commitUpTo(QuorumState &quorum, std::uint64_t index, QuorumActions &actions)
{
    quorum.commitIndex = std::max(quorum.commitIndex, std::min(index, lastIndex(quorum)));
    while (quorum.appliedIndex < quorum.commitIndex) {
        const LogEntry *entry = entryAt(quorum, quorum.appliedIndex + 1);
        if (!entry)
            return;
        ++quorum.appliedIndex;
        actions.committed.push_back(*entry);
    }
}

QuorumActions compact(QuorumState &quorum, std::string state)
{
    QuorumActions actions;
    if (quorum.appliedIndex <= quorum.snapshot.index)
        return actions;
    SnapshotRecord snapshot;
    snapshot.index = quorum.appliedIndex;
    snapshot.term = termAt(quorum, quorum.appliedIndex);
    snapshot.state = std::move(state);
    snapshot.members = quorum.snapshot.members;
    while (!quorum.log.empty() && quorum.log.front().index <= snapshot.index) {
        if (quorum.log.front().kind == EntryKind::Members)
            snapshot.members = quorum.log.front().members;
        quorum.log.pop_front();
    }
    quorum.snapshot = std::move(snapshot);
    writeRecord(quorum, quorum.snapshot, actions);
    return actions;
}

} // namespace foxwing::quorum
