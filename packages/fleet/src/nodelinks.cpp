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
    if (!frame && !node.link->introduced())
        return node.link->close();
    if (!frame)
        return;
    const auto *announce = std::get_if<directory::Announce>(&*frame);
    if (announce && bytes.size() > fabric::LinkLimits().maxIntroductionBytes)
        return node.link->close();
    if (announce)
        announced(connection, node, *announce);
    else
        m_events.received(connection, *frame);
}

void NodeLinks::announced(std::uint64_t connection, Node &node, const directory::Announce &announce)
{
    // A process announces itself again when its attributes change, but never another address.
    const bool isOther = node.announced && node.info.address != announce.node.address;
    if (isOther || !directory::nodeAnnounced(m_directory, connection, announce.node)) {
        writeEvent(m_core.log,
                   change("announcement-refused")
                           .with("name", announce.node.name)
                           .with("address", announce.node.address)
                           .with("reason",
                                 isOther ? "the connection announced another address"
                                         : "the directory is full"));
        return node.link->close();
    }
    node.info = announce.node;
    node.announced = true;
    node.link->setIntroduced();
    writeEvent(m_core.log,
               change("node-announced")
                       .with("name", node.info.name)
                       .with("role", toString(node.info.role))
                       .with("address", node.info.address));
    m_events.announced(node.info);
}

void NodeLinks::lost(std::uint64_t connection)
{
    const Node lostNode = m_nodes.at(connection);
    m_nodes.erase(connection);
    directory::connectionLost(m_directory, connection, steadyNow());
    if (lostNode.announced)
        writeEvent(m_core.log,
                   change("node-lost")
                           .with("name", lostNode.info.name)
                           .with("role", toString(lostNode.info.role))
                           .with("heard_ms_ago", steadyNow() - lostNode.lastReceivedAt));
}

// [SECTION] Updates

void NodeLinks::pushDirectory(Time now)
{
    directory::tick(m_directory, now);
    // Most nodes need the same update; it is encoded once for each role and last sent revision.
    std::map<std::pair<directory::Role, std::uint64_t>, std::string> frames;
    for (auto &[connection, node] : m_nodes) {
        const directory::Role role = node.info.role;
        const std::uint64_t sent = node.sentRevision;
        if (!node.announced || sent >= directory::revisionFor(m_directory, role))
            continue;
        node.sentRevision = m_directory.revision;
        std::string &frame = frames[{ role, sent }];
        if (frame.empty())
            frame = encodeFrame(Frame(directory::updateFor(m_directory, role, sent)));
        node.link->send(frame);
    }
}

bool NodeLinks::needsAgreed(const Node &node, const catalog::AgreedState &agreed)
{
    if (!node.announced || node.info.role == directory::Role::Control)
        return false;
    const bool newCatalog = node.info.role == directory::Role::Entry
            && node.sentCatalogVersion < agreed.declared.catalog.version;
    return !node.sentAgreed || newCatalog || node.sentCordonsRevision < agreed.cordons.revision;
}

void NodeLinks::pushAgreed(const catalog::AgreedState &agreed)
{
    std::map<directory::Role, std::string> frames;
    for (auto &[connection, node] : m_nodes) {
        if (!needsAgreed(node, agreed))
            continue;
        std::string &frame = frames[node.info.role];
        if (frame.empty()) {
            const bool isEntry = node.info.role == directory::Role::Entry;
            frame = encodeFrame(Frame(AgreedPush {
                    isEntry ? agreed.declared.catalog : catalog::Catalog {}, agreed.cordons }));
        }
        node.sentAgreed = true;
        node.sentCatalogVersion = agreed.declared.catalog.version;
        node.sentCordonsRevision = agreed.cordons.revision;
        node.link->send(frame);
    }
}

void NodeLinks::sendHeartbeats(const std::string &frame, Time now)
{
    std::vector<std::shared_ptr<fabric::Link>> timedOut;
    for (auto &[connection, node] : m_nodes) {
        if (now >= node.lastReceivedAt + NodeTimeout)
            timedOut.push_back(node.link);
        else
            node.link->send(frame);
    }
    for (const auto &link : timedOut)
        link->close();
}

void NodeLinks::send(std::uint64_t connection, const Frame &frame)
{
    const auto found = m_nodes.find(connection);
    if (found != m_nodes.end())
        found->second.link->send(encodeFrame(frame));
}

} // namespace foxwing::fleet
