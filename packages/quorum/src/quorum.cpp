/*
    Public functions of the consensus group.

    [SECTION] Start
    [SECTION] Messages and ticks
    [SECTION] Proposals and reads
*/
#include <foxwing/quorum/quorum.h>

#include <foxwing/base/digest.h>
#include <foxwing/base/guards.h>

#include "internal.h"

namespace foxwing::quorum {

// [SECTION] Start

void replay(RecoveredQuorum &recovered, const Record &record)
{
    if (const auto *vote = std::get_if<VoteRecord>(&record)) {
        recovered.vote = *vote;
    } else if (const auto *snapshot = std::get_if<SnapshotRecord>(&record)) {
        std::vector<LogEntry> remaining;
        for (const LogEntry &entry : recovered.entries) {
            if (entry.index > snapshot->index)
                remaining.push_back(entry);
        }
        recovered.snapshot = *snapshot;
        recovered.entries = std::move(remaining);
    } else {
        const LogEntry &entry = std::get<EntryRecord>(record).entry;
        while (!recovered.entries.empty() && recovered.entries.back().index >= entry.index)
            recovered.entries.pop_back();
        recovered.entries.push_back(entry);
    }
}

QuorumState makeQuorum(const QuorumSettings &settings, const RecoveredQuorum &recovered, Time now)
{
    QuorumState quorum;
    quorum.settings = settings;
    quorum.random.seed(settings.seed ^ hash64(settings.self));
    quorum.term = recovered.vote.term;
    quorum.votedFor = recovered.vote.votedFor;
    const bool newGroup = !settings.initialVoters.empty() && lastIndex(quorum) == 0;
    quorum.joined = recovered.vote.joined || newGroup || !isEnabled(Guard::CatchUp);
    quorum.snapshot = recovered.snapshot;
    quorum.log.assign(recovered.entries.begin(), recovered.entries.end());
    quorum.commitIndex = quorum.snapshot.index;
    quorum.appliedIndex = quorum.snapshot.index;
    quorum.syncedIndex = lastIndex(quorum);
    refreshMembers(quorum);
    scheduleElection(quorum, now, settings.firstElectionTimeout);
    return quorum;
}

bool isLeader(const QuorumState &quorum)
{
    return quorum.role == Role::Leader;
}

// [SECTION] Messages and ticks

QuorumActions handle(QuorumState &quorum, const QuorumMessage &message, Time now)
{
    QuorumActions actions;
    if (const auto *request = std::get_if<VoteRequest>(&message))
        handleVoteRequest(quorum, *request, now, actions);
    else if (const auto *vote = std::get_if<VoteReply>(&message))
        handleVoteReply(quorum, *vote, now, actions);
    else if (const auto *append = std::get_if<Append>(&message))
        handleAppend(quorum, *append, now, actions);
    else if (const auto *reply = std::get_if<AppendReply>(&message))
        handleAppendReply(quorum, *reply, now, actions);
    else if (const auto *install = std::get_if<InstallSnapshot>(&message))
        handleInstall(quorum, *install, now, actions);
    return actions;
}

QuorumActions tick(QuorumState &quorum, Time now)
{
    QuorumActions actions;
    if (quorum.role == Role::Leader)
        tickLeader(quorum, now, actions);
    else
        tickElection(quorum, now, actions);
    return actions;
}

// [SECTION] Proposals and reads

std::optional<QuorumActions> propose(QuorumState &quorum, const std::string &payload, Time now,
                                     std::uint64_t *index)
{
    if (quorum.role != Role::Leader)
        return std::nullopt;
    QuorumActions actions;
    LogEntry entry;
    entry.index = lastIndex(quorum) + 1;
    entry.term = quorum.term;
    entry.payload = payload;
    *index = entry.index;
    storeEntry(quorum, entry, actions);
    replicateAll(quorum, false, now, actions);
    advanceCommit(quorum, actions);
    return actions;
}

QuorumActions requestRead(QuorumState &quorum, std::uint64_t id, Time now)
{
    QuorumActions actions;
    if (quorum.role != Role::Leader) {
        actions.failedReads.push_back(id);
        return actions;
    }
    if (!isEnabled(Guard::QuorumCheck)) {
        actions.confirmedReads.push_back(id);
        return actions;
    }
    quorum.reads.push_back({ id, ++quorum.round, quorum.commitIndex });
    replicateAll(quorum, true, now, actions);
    confirmReads(quorum, actions);
    return actions;
}

} // namespace foxwing::quorum
