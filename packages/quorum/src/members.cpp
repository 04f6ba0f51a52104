/*
    Members of the group and their changes.

    [SECTION] Current members
    [SECTION] Changes
    [SECTION] Self-managed groups
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::quorum {

// [SECTION] Current members

bool isVoter(const QuorumState &quorum, const std::string &id)
{
    const std::vector<std::string> &voters = quorum.members.voters;
    return std::find(voters.begin(), voters.end(), id) != voters.end();
}

void refreshMembers(QuorumState &quorum)
{
    quorum.members = quorum.snapshot.members;
    quorum.membersIndex = quorum.snapshot.index;
    for (const LogEntry &entry : quorum.log) {
        if (entry.kind != EntryKind::Members)
            continue;
        quorum.members = entry.members;
        quorum.membersIndex = entry.index;
    }
    if (quorum.members.voters.empty() && lastIndex(quorum) == 0)
        quorum.members.voters = quorum.settings.initialVoters;
}

// [SECTION] Changes

namespace {

bool contains(const std::vector<std::string> &list, const std::string &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

std::vector<std::string> missingFrom(const std::vector<std::string> &list,
                                     const std::vector<std::string> &other)
{
    std::vector<std::string> missing;
    for (const std::string &id : list) {
        if (!contains(other, id))
            missing.push_back(id);
    }
    return missing;
}

bool refuse(Error *reason, const std::string &message)
{
    fail(reason, ErrorKind::Conflict, message);
    return false;
}

bool hasCaughtUp(const QuorumState &quorum, const std::string &id)
{
    const auto peer = quorum.peers.find(id);
    return contains(quorum.members.learners, id) && peer != quorum.peers.end()
            && peer->second.joined && peer->second.matchIndex >= quorum.commitIndex;
}

bool canChange(const QuorumState &quorum, const Members &wanted, Error *reason)
{
    const auto added = missingFrom(wanted.voters, quorum.members.voters);
    const auto removed = missingFrom(quorum.members.voters, wanted.voters);
    if (quorum.role != Role::Leader)
        return refuse(reason, "this host is not the leader of the group; ask the leader");
    if (quorum.membersIndex > quorum.commitIndex || quorum.commitIndex < quorum.termStartIndex)
        return refuse(reason, "the last change of members is not committed yet; try again soon");
    if (wanted.voters.empty())
        return refuse(reason, "a group needs at least one voter");
    if (added.size() + removed.size() > 1)
        return refuse(reason, "only one voter can be added or removed at a time");
    if (!added.empty() && !hasCaughtUp(quorum, added[0]))
        return refuse(reason,
                      added[0] + " has not caught up; add it as a learner and wait until it has");
    // An even number is allowed only while a host is being replaced: a learner was promoted, and
    // the next change removes another voter.
    const bool even = wanted.voters.size() % 2 == 0;
    if (even && added.empty() && !quorum.settings.selfManaged)
        return refuse(reason,
                      "an even number of voters tolerates no more failures than one fewer but "
                      "needs a larger quorum; add a replacement before you remove a voter");
    return true;
}

} // namespace

std::optional<QuorumActions> proposeMembers(QuorumState &quorum, const Members &members, Time now,
                                            Error *reason)
{
    if (!canChange(quorum, members, reason))
        return std::nullopt;
    QuorumActions actions;
    LogEntry entry;
    entry.index = lastIndex(quorum) + 1;
    entry.term = quorum.term;
    entry.kind = EntryKind::Members;
    entry.members = members;
    storeEntry(quorum, entry, actions);
    replicateAll(quorum, false, now, actions);
    advanceCommit(quorum, actions);
    return actions;
}

// [SECTION] Self-managed groups

namespace {

// An id is an address, a slash, and a part that differs for each new disk at that address.
std::string addressOf(const std::string &id)
{
    return id.substr(0, id.find('/'));
}

bool isReplaced(const std::string &id, const std::vector<AvailableHost> &availableHosts)
{
    return std::any_of(availableHosts.begin(), availableHosts.end(),
                       [&](const AvailableHost &host) {
                           return host.address == addressOf(id) && host.id != id;
                       });
}

bool receivedWithin(const QuorumState &quorum, const std::string &id, Milliseconds timeout,
                    Time now)
{
    const auto peer = quorum.peers.find(id);
    return id == quorum.settings.self
            || (peer != quorum.peers.end() && now <= peer->second.lastReceivedAt + timeout);
}

// Whether a voter is silent and enough others are up to remove it.
bool isRemovable(const QuorumState &quorum, const std::string &id, Time now)
{
    const QuorumSettings &settings = quorum.settings;
    const std::vector<std::string> &voters = quorum.members.voters;
    const auto activeVoters = static_cast<std::size_t>(
            std::count_if(voters.begin(), voters.end(), [&](const std::string &voter) {
                return receivedWithin(quorum, voter, settings.voterTimeout, now);
            }));
    const std::size_t majority = voters.size() / 2 + 1;
    const bool toleratesMore = activeVoters >= majority + settings.minVoters / 2;
    const Milliseconds timeout = toleratesMore ? settings.longVoterTimeout : settings.voterTimeout;
    return !receivedWithin(quorum, id, timeout, now) && activeVoters >= settings.minVoters;
}

bool isAvailable(const std::string &id, const std::vector<AvailableHost> &availableHosts)
{
    return std::any_of(availableHosts.begin(), availableHosts.end(),
                       [&](const AvailableHost &host) { return host.id == id; });
}

void removeFrom(std::vector<std::string> &list, const std::string &id)
{
    list.erase(std::remove(list.begin(), list.end(), id), list.end());
}

} // namespace

std::optional<Members> nextMembers(const QuorumState &quorum,
                                   const std::vector<AvailableHost> &availableHosts, Time now)
{
    const bool canChangeNow = quorum.role == Role::Leader
            && quorum.membersIndex <= quorum.commitIndex
            && quorum.commitIndex >= quorum.termStartIndex;
    if (!canChangeNow)
        return std::nullopt;
    Members members = quorum.members;
    for (const std::string &id : members.voters) {
        if (id == quorum.settings.self
            || (!isReplaced(id, availableHosts) && !isRemovable(quorum, id, now)))
            continue;
        Members changed = members;
        removeFrom(changed.voters, id);
        return changed;
    }
    for (const std::string &id : members.learners) {
        Members changed = members;
        removeFrom(changed.learners, id);
        if (isReplaced(id, availableHosts)
            || !receivedWithin(quorum, id, quorum.settings.learnerTimeout, now))
            return changed;
        changed.voters.push_back(id);
        if (hasCaughtUp(quorum, id) && isAvailable(id, availableHosts))
            return changed;
    }
    for (const AvailableHost &host : availableHosts) {
        if (contains(members.voters, host.id) || contains(members.learners, host.id))
            continue;
        members.learners.push_back(host.id);
        return members;
    }
    return std::nullopt;
}

} // namespace foxwing::quorum
