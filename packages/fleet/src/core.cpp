/*
    Frames, and connections to control hosts.

    [SECTION] Frames
    [SECTION] Control links
*/
#include "core.h"

#include "listeners.h"

namespace foxwing::fleet {

using eventlog::change;

// [SECTION] Frames

std::optional<Frame> readFrame(Core &core, const std::string &from, std::string_view bytes)
{
    Error reason;
    auto frame = decodeFrame<Frame>(bytes, &reason);
    if (!frame)
        writeEvent(core.log,
                   change("frame-unreadable").with("from", from).with("reason", reason.message));
    return frame;
}

std::string joinNames(const catalog::Cordons &cordons)
{
    std::string joined;
    for (const std::string &name : cordons.dataCentres)
        joined += (joined.empty() ? "" : " ") + name;
    return joined;
}

// [SECTION] Control links

namespace {

// Heartbeats go both ways; after four missed ones the connection is closed and redialled.
constexpr Milliseconds ControlHeartbeatInterval { 500 };
constexpr Milliseconds ControlTimeout { 2000 };

} // namespace

struct ControlLinks::Peer
{
    std::unique_ptr<fabric::Dialer> dialer;
    std::shared_ptr<fabric::Link> link;
    Time lastReceivedAt {};
    Time lastSentAt {};
    bool wasLost = false;
};

ControlLinks::ControlLinks(Core &core, ControlEvents events)
    : m_core(core)
    , m_events(std::move(events))
{
    reloadSeeds();
}

ControlLinks::~ControlLinks() = default;

void ControlLinks::reloadSeeds()
{
    for (const std::string &seed : seedAddresses(m_core.settings))
        addPeer(seed);
}

void ControlLinks::addPeer(const std::string &address)
{
    if (fleet::addPeer(m_peerTable, address, steadyNow()))
        dial(address);
}

void ControlLinks::dial(const std::string &address)
{
    Peer &peer = *m_peers.emplace(address, std::make_unique<Peer>()).first->second;
    peer.dialer =
            std::make_unique<fabric::Dialer>(m_core.io, address, dialerSettings(m_core),
                                             [this,
                                              &peer](const std::shared_ptr<fabric::Link> &link) {
                                                 connected(peer, link);
                                             });
}

void ControlLinks::connected(Peer &peer, const std::shared_ptr<fabric::Link> &link)
{
    const Time now = steadyNow();
    peer.link = link;
    peer.lastReceivedAt = now;
    peer.lastSentAt = now;
    fleet::connected(m_peerTable, peer.dialer->address(), now);
    link->start([this, &peer](std::string_view bytes) { received(peer, bytes); },
                [this, &peer] {
                    writeEvent(m_core.log,
                               change("control-lost")
                                       .with("host", peer.dialer->address())
                                       .with("heard_ms_ago", steadyNow() - peer.lastReceivedAt));
                    peer.link.reset();
                    connectionLost(m_peerTable, peer.dialer->address());
                    peer.wasLost = true;
                    peer.dialer->redial();
                });
    link->send(encodeFrame(Frame(directory::Announce { m_core.self })));
    writeEvent(m_core.log,
               change(peer.wasLost ? "control-regained" : "control-connected")
                       .with("host", peer.dialer->address()));
}

void ControlLinks::received(Peer &peer, std::string_view bytes)
{
    peer.lastReceivedAt = steadyNow();
    const std::string from = peer.dialer->address();
    recordReceived(m_peerTable, from, peer.lastReceivedAt);
    if (!bytes.empty() && bytes == m_lastAgreed)
        return;
    const auto frame = readFrame(m_core, from, bytes);
    if (!frame)
        return;
    if (const auto *update = std::get_if<directory::DirectoryUpdate>(&*frame)) {
        for (const std::string &address :
             applyUpdate(m_peerTable, from, *update, peer.lastReceivedAt))
            dial(address);
        m_events.directory(from, *update);
    } else if (const auto *push = std::get_if<AgreedPush>(&*frame)) {
        m_lastAgreed = bytes;
        m_events.agreed(*push);
    }
}

void ControlLinks::updatePeers(Time now)
{
    const PeerChanges changes = fleet::tick(m_peerTable, seedAddresses(m_core.settings), now);
    for (const std::string &address : changes.dropped) {
        m_peers.erase(address);
        if (m_events.removed)
            m_events.removed(address);
    }
    for (const std::string &address : changes.added)
        dial(address);
}

void ControlLinks::tick(Time now)
{
    updatePeers(now);
    for (auto &[address, peer] : m_peers) {
        if (!peer->link)
            continue;
        if (now >= peer->lastReceivedAt + ControlTimeout) {
            peer->link->close();
        } else if (now >= peer->lastSentAt + ControlHeartbeatInterval) {
            peer->lastSentAt = now;
            peer->link->send(encodeFrame(Frame(directory::NodeHeartbeat {})));
        }
    }
}

void ControlLinks::announce()
{
    const std::string frame = encodeFrame(Frame(directory::Announce { m_core.self }));
    for (auto &[address, peer] : m_peers) {
        if (peer->link)
            peer->link->send(frame);
    }
}

std::size_t ControlLinks::connected() const
{
    std::size_t count = 0;
    for (const auto &[address, peer] : m_peers)
        count += peer->link ? 1 : 0;
    return count;
}

} // namespace foxwing::fleet
