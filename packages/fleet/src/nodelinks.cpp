/*
    A control host's connections from the nodes of the fleet.

    [SECTION] Connections
    [SECTION] Updates
*/
#include "nodelinks.h"

namespace foxwing::fleet {

using eventlog::change;

// [SECTION] Connections

NodeLinks::NodeLinks(Core &core, NodeEvents events)
    : m_core(core)
    , m_events(std::move(events))
{ }

void NodeLinks::connected(const std::shared_ptr<fabric::Link> &link)
{
    const std::uint64_t connection = ++m_lastConnection;
    Node &node = m_nodes[connection];
    node.link = link;
    node.lastReceivedAt = steadyNow();
    link->start([this, connection](std::string_view bytes) { received(connection, bytes); },
                [this, connection] { lost(connection); });
}

void NodeLinks::received(std::uint64_t connection, std::string_view bytes)
{
    Node &node = m_nodes.at(connection);
    node.lastReceivedAt = steadyNow();
    const auto frame = readFrame(m_core, node.link->remote(), bytes);
    if (!frame)
        return;
    if (const auto *announce = std::get_if<directory::Announce>(&*frame))
        announced(connection, node, *announce);
    else
        m_events.received(connection, *frame);
}

void NodeLinks::announced(std::uint64_t connection, Node &node, const directory::Announce &announce)
{
    node.info = announce.node;
    node.announced = true;
    directory::nodeAnnounced(m_directory, connection, node.info);
    writeEvent(m_core.log,
               change("node-announced")
                       .with("name", node.info.name)
                       .with("role", toString(node.info.role))
                       .with("address", node.info.address));
    m_events.announced(node.info);
}

void NodeLinks::lost(std::uint64_t connection)
{
    const Node gone = m_nodes.at(connection);
    m_nodes.erase(connection);
    directory::connectionLost(m_directory, connection, steadyNow());
    if (gone.announced)
        writeEvent(m_core.log,
                   change("node-lost")
                           .with("name", gone.info.name)
                           .with("role", toString(gone.info.role))
                           .with("heard_ms_ago", steadyNow() - gone.lastReceivedAt));
}

// [SECTION] Updates

void NodeLinks::tellDirectory(Time now)
{
    directory::tick(m_directory, now);
    // Most nodes need the same update; it is encoded once for each role and last sent revision.
    std::map<std::pair<directory::Role, std::uint64_t>, std::string> frames;
    for (auto &[connection, node] : m_nodes) {
        const directory::Role role = node.info.role;
        const std::uint64_t told = node.toldRevision;
        if (!node.announced || told >= directory::revisionFor(m_directory, role))
            continue;
        node.toldRevision = m_directory.revision;
        std::string &frame = frames[{ role, told }];
        if (frame.empty())
            frame = encodeFrame(Frame(directory::updateFor(m_directory, role, told)));
        node.link->send(frame);
    }
}

bool NodeLinks::needsTelling(const Node &node, const catalog::AgreedState &agreed)
{
    if (!node.announced || node.info.role == directory::Role::Control)
        return false;
    const bool newCatalog = node.info.role == directory::Role::Entry
            && node.toldCatalog < agreed.declared.catalog.version;
    return !node.toldAgreed || newCatalog || node.toldCordons < agreed.cordons.revision;
}

void NodeLinks::tellAgreed(const catalog::AgreedState &agreed)
{
    std::map<directory::Role, std::string> frames;
    for (auto &[connection, node] : m_nodes) {
        if (!needsTelling(node, agreed))
            continue;
        std::string &frame = frames[node.info.role];
        if (frame.empty()) {
            const bool isEntry = node.info.role == directory::Role::Entry;
            frame = encodeFrame(Frame(AgreedPush {
                    isEntry ? agreed.declared.catalog : catalog::Catalog {}, agreed.cordons }));
        }
        node.toldAgreed = true;
        node.toldCatalog = agreed.declared.catalog.version;
        node.toldCordons = agreed.cordons.revision;
        node.link->send(frame);
    }
}

void NodeLinks::heartbeat(const std::string &frame, Time now)
{
    std::vector<std::shared_ptr<fabric::Link>> silent;
    for (auto &[connection, node] : m_nodes) {
        if (now >= node.lastReceivedAt + NodeSilence)
            silent.push_back(node.link);
        else
            node.link->send(frame);
    }
    for (const auto &link : silent)
        link->close();
}

void NodeLinks::send(std::uint64_t connection, const Frame &frame)
{
    const auto found = m_nodes.find(connection);
    if (found != m_nodes.end())
        found->second.link->send(encodeFrame(frame));
}

} // namespace foxwing::fleet
