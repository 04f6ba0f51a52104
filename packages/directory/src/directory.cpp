/*
    The node table and its incremental updates.

    [SECTION] Functions
*/
#include <foxwing/directory/directory.h>

#include <algorithm>

namespace foxwing::directory {

// [SECTION] Functions

const char *toString(Role role)
{
    switch (role) {
    case Role::Control:
        return "control";
    case Role::Entry:
        return "entry";
    case Role::Agent:
        break;
    }
    return "agent";
}

bool sameAttributes(const NodeInfo &left, const NodeInfo &right)
{
    return left.dataCentre == right.dataCentre && left.service == right.service
            && left.labels == right.labels;
}

namespace {

// Entries receive agents, all roles receive control hosts. Entries are only counted, never listed.
bool isInterestedIn(Role role, Role listed)
{
    return listed == Role::Control || (listed == Role::Agent && role == Role::Entry);
}

void recordChange(DirectoryState &directory, Role changed)
{
    ++directory.revision;
    if (changed == Role::Control)
        directory.controlRevision = directory.revision;
}

void recordRemoval(DirectoryState &directory, const NodeInfo &node)
{
    recordChange(directory, node.role);
    directory.removed.push_back({ node.address, node.role, directory.revision });
    if (directory.removed.size() <= directory.settings.maxRemovals)
        return;
    directory.compactedRevision = directory.removed.front().revision;
    directory.removed.pop_front();
}

std::uint32_t countConnectedEntries(const DirectoryState &directory)
{
    return static_cast<std::uint32_t>(
            std::count_if(directory.nodes.begin(), directory.nodes.end(), [](const auto &item) {
                return item.second.info.role == Role::Entry && item.second.connected;
            }));
}

} // namespace

bool nodeAnnounced(DirectoryState &directory, std::uint64_t connection, const NodeInfo &node)
{
    const auto previous = directory.nodes.find(node.address);
    const bool isNew = previous == directory.nodes.end();
    if (isNew && directory.nodes.size() >= directory.settings.maxNodes)
        return false;
    const bool roleChanged = !isNew && previous->second.info.role != node.role;
    if (roleChanged)
        recordRemoval(directory, previous->second.info);
    KnownNode &known = directory.nodes[node.address];
    const bool countChanged = node.role == Role::Entry && !known.connected;
    const bool attributesChanged = !isNew && !sameAttributes(known.info, node);
    known.info = node;
    known.connection = connection;
    known.connected = true;
    if (isNew || roleChanged || attributesChanged || countChanged)
        recordChange(directory, node.role);
    if (isNew || roleChanged || attributesChanged)
        known.listedRevision = directory.revision;
    return true;
}

void connectionLost(DirectoryState &directory, std::uint64_t connection, Time now)
{
    for (auto &[address, known] : directory.nodes) {
        if (known.connection != connection || !known.connected)
            continue;
        known.connected = false;
        known.disconnectedAt = now;
        if (known.info.role == Role::Entry)
            recordChange(directory, Role::Entry);
    }
}

void tick(DirectoryState &directory, Time now)
{
    for (auto item = directory.nodes.begin(); item != directory.nodes.end();) {
        const KnownNode &known = item->second;
        const bool expired = !known.connected
                && now >= known.disconnectedAt + directory.settings.disconnectedRetention;
        if (expired)
            recordRemoval(directory, known.info);
        item = expired ? directory.nodes.erase(item) : std::next(item);
    }
}

std::uint64_t revisionFor(const DirectoryState &directory, Role role)
{
    return role == Role::Entry ? directory.revision : directory.controlRevision;
}

DirectoryUpdate updateFor(const DirectoryState &directory, Role role, std::uint64_t sentRevision)
{
    DirectoryUpdate update;
    update.full = sentRevision == 0 || sentRevision < directory.compactedRevision;
    update.entries = countConnectedEntries(directory);
    for (const auto &[address, known] : directory.nodes) {
        if (isInterestedIn(role, known.info.role)
            && (update.full || known.listedRevision > sentRevision))
            update.nodes.push_back(known.info);
    }
    for (const RemovedNode &removed : directory.removed) {
        const bool listedAgain = directory.nodes.count(removed.address) != 0
                && isInterestedIn(role, directory.nodes.at(removed.address).info.role);
        if (!update.full && removed.revision > sentRevision && !listedAgain
            && isInterestedIn(role, removed.role))
            update.removed.push_back(removed.address);
    }
    return update;
}

std::vector<NodeInfo> connectedControls(const DirectoryState &directory)
{
    std::vector<NodeInfo> controls;
    for (const auto &[address, known] : directory.nodes) {
        if (known.info.role == Role::Control && known.connected)
            controls.push_back(known.info);
    }
    return controls;
}

} // namespace foxwing::directory
