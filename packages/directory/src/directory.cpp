/*
    The table of nodes.

    [SECTION] Functions
*/
#include <foxwing/directory/directory.h>

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

void nodeAnnounced(DirectoryState &directory, std::uint64_t connection, const NodeInfo &node)
{
    KnownNode &known = directory.nodes[node.address];
    const bool same = known.connected && known.info.incarnation == node.incarnation
            && known.info.groupId == node.groupId;
    known.info = node;
    known.connection = connection;
    known.connected = true;
    if (!same)
        ++directory.revision;
}

void connectionLost(DirectoryState &directory, std::uint64_t connection, Time now)
{
    for (auto &[address, known] : directory.nodes) {
        if (known.connection != connection || !known.connected)
            continue;
        known.connected = false;
        known.goneAt = now;
        ++directory.revision;
    }
}

void tick(DirectoryState &directory, Time now)
{
    for (auto item = directory.nodes.begin(); item != directory.nodes.end();) {
        const KnownNode &known = item->second;
        const bool forget = !known.connected && now >= known.goneAt + directory.settings.keepGone;
        if (forget)
            ++directory.revision;
        item = forget ? directory.nodes.erase(item) : std::next(item);
    }
}

DirectoryUpdate updateFor(const DirectoryState &directory, Role role)
{
    DirectoryUpdate update;
    for (const auto &[address, known] : directory.nodes) {
        if (known.info.role == Role::Entry && known.connected)
            ++update.entries;
        const bool wanted = known.info.role == Role::Control
                || (known.info.role == Role::Agent && role == Role::Entry);
        if (wanted)
            update.nodes.push_back(known.info);
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
