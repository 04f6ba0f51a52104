/*
    A control host's connections from the nodes of the fleet: who is there, and what each was told
    of the directory and of what is agreed.

        NodeLinks nodes(core, { onAnnounced, onReceived });
        nodes.connected(link);
        nodes.tellDirectory(now);
        nodes.tellAgreed(agreed);

    [SECTION] Events
    [SECTION] Links
*/
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <foxwing/catalog/agreedstate.h>
#include <foxwing/directory/directory.h>

#include "core.h"

namespace foxwing::fleet {

// [SECTION] Events

struct NodeEvents
{
    // A node has said who it is; it is in the directory by now.
    std::function<void(const directory::NodeInfo &node)> announced;

    // Any other frame
    std::function<void(std::uint64_t connection, const Frame &frame)> received;
};

// [SECTION] Links

class NodeLinks
{
public:
    NodeLinks(Core &core, NodeEvents events);

    void connected(const std::shared_ptr<fabric::Link> &link);

    // Tells each node what is new to it in the directory.
    void tellDirectory(Time now);

    // Tells entries and agents what they need of the state and were not told yet. Also when nothing
    // was declared yet: agents start nothing before they know the cordons.
    void tellAgreed(const catalog::AgreedState &agreed);

    // Sends a beat to each node that was heard of late, and closes the connections of the others.
    void heartbeat(const std::string &frame, Time now);

    // Does nothing where the connection is gone.
    void send(std::uint64_t connection, const Frame &frame);

    std::size_t count() const { return m_nodes.size(); }
    const directory::DirectoryState &directory() const { return m_directory; }

private:
    struct Node
    {
        std::shared_ptr<fabric::Link> link;
        directory::NodeInfo info;
        bool announced = false;
        Time lastReceivedAt {};
        std::uint64_t toldRevision = 0;

        // What is agreed as it was sent there: whether at all, version of the catalog, revision of
        // the cordons
        bool toldAgreed = false;
        std::uint64_t toldCatalog = 0;
        std::uint64_t toldCordons = 0;
    };

    static bool needsTelling(const Node &node, const catalog::AgreedState &agreed);
    void received(std::uint64_t connection, std::string_view bytes);
    void announced(std::uint64_t connection, Node &node, const directory::Announce &announce);
    void lost(std::uint64_t connection);

    Core &m_core;
    NodeEvents m_events;
    directory::DirectoryState m_directory;

    // By connection; numbers are never used twice.
    std::map<std::uint64_t, Node> m_nodes;
    std::uint64_t m_lastConnection = 0;
};

// A node or control host that was not heard for this long is taken for lost.
constexpr Milliseconds NodeSilence { 2500 };

} // namespace foxwing::fleet
