/*
    A control host's connections from the nodes of the fleet, with the version of the directory and
    of the committed state that was sent to each.

        NodeLinks nodes(core, { onAnnounced, onReceived });
        nodes.connected(link);
        nodes.pushDirectory(now);
        nodes.pushAgreed(agreed);

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
    // A node has announced itself and was added to the directory.
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

    // Sends each node the changes of the directory since its last update.
    void pushDirectory(Time now);

    // Sends entries and agents the committed state if they don't have it yet. Also sent while it is
    // still empty: agents start nothing before they know the cordons.
    void pushAgreed(const catalog::AgreedState &agreed);

    // Sends a heartbeat to all nodes, and closes connections that have reached NodeTimeout.
    void sendHeartbeats(const std::string &frame, Time now);

    // Does nothing if the connection is closed.
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
        std::uint64_t sentRevision = 0;

        // Whether the committed state was sent, and which version
        bool sentAgreed = false;
        std::uint64_t sentCatalogVersion = 0;
        std::uint64_t sentCordonsRevision = 0;
    };

    static bool needsAgreed(const Node &node, const catalog::AgreedState &agreed);
    void received(std::uint64_t connection, std::string_view bytes);
    void announced(std::uint64_t connection, Node &node, const directory::Announce &announce);
    void lost(std::uint64_t connection);

    Core &m_core;
    NodeEvents m_events;
    directory::DirectoryState m_directory;

    // By connection number; numbers are never reused.
    std::map<std::uint64_t, Node> m_nodes;
    std::uint64_t m_lastConnection = 0;
};

// Without a message for this long the connection is closed.
constexpr Milliseconds NodeTimeout { 2500 };

} // namespace foxwing::fleet
