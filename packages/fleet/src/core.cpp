/*
    Listeners, and connections to control.

    [SECTION] Frames
    [SECTION] Listening
    [SECTION] Control links
*/
#include "core.h"

#include <algorithm>
#include <set>

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

std::string joinedNames(const catalog::Cordons &cordons)
{
    std::string joined;
    for (const std::string &name : cordons.dataCentres)
        joined += (joined.empty() ? "" : " ") + name;
    return joined;
}

// [SECTION] Listening

std::unique_ptr<fabric::Listener> listenInside(Core &core, fabric::Listener::Accepted onAccepted,
                                               Error *reason)
{
    auto acceptor = fabric::listenAt(core.io, innerListenAddress(core.settings), reason);
    if (!acceptor)
        return nullptr;
    return std::make_unique<fabric::Listener>(core.io, std::move(*acceptor), fabric::LinkLimits(),
                                              std::move(onAccepted));
}

std::unique_ptr<fabric::HttpServer> serveHttp(Core &core, const std::string &address,
                                              fabric::HttpServer::Handler handler, Error *reason)
{
    auto acceptor = fabric::listenAt(core.io, address, reason);
    if (!acceptor)
        return nullptr;
    return std::make_unique<fabric::HttpServer>(core.io, std::move(*acceptor), fabric::HttpLimits(),
                                                std::move(handler));
}

// [SECTION] Control links

namespace {

// A node tells control that it is there twice a second; four of these lost, and the connection is
// dialled anew.
constexpr Milliseconds ControlBeat { 500 };
constexpr Milliseconds ControlSilence { 2000 };

// Control hosts that a node keeps connections to; the group has seven voters at the most, and
// others may be on their way in or out.
constexpr std::size_t MostControlPeers = 12;

// A host that is neither a seed nor listed any more, and was out of reach for this long, is gone
// for good; over a long day hosts that were replaced would take all the places.
constexpr Milliseconds ForgetPeerAfter { 30000 };

} // namespace

struct ControlLinks::Peer
{
    std::unique_ptr<fabric::Dialer> dialer;
    std::shared_ptr<fabric::Link> link;
    Time heardAt {};
    Time sentAt {};

    // The control hosts that it lists
    std::set<std::string> lists;

    // When a control host began to list it
    Time listedAt {};
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
        keep(seed);
}

void ControlLinks::keep(const std::string &address)
{
    const auto known = m_peers.find(address);
    if (known != m_peers.end())
        known->second->listedAt = steadyNow();
    if (known != m_peers.end() || m_peers.size() >= MostControlPeers)
        return;
    Peer &peer = *m_peers.emplace(address, std::make_unique<Peer>()).first->second;
    peer.listedAt = steadyNow();
    peer.dialer =
            std::make_unique<fabric::Dialer>(m_core.io, address, fabric::DialerSettings(),
                                             [this,
                                              &peer](const std::shared_ptr<fabric::Link> &link) {
                                                 connected(peer, link);
                                             });
}

void ControlLinks::connected(Peer &peer, const std::shared_ptr<fabric::Link> &link)
{
    const Time now = steadyNow();
    peer.link = link;
    peer.heardAt = now;
    peer.sentAt = now;
    link->start([this, &peer](std::string_view bytes) { received(peer, bytes); },
                [this, &peer] {
                    writeEvent(m_core.log,
                               change("control-lost")
                                       .with("host", peer.dialer->address())
                                       .with("heard_ms_ago", steadyNow() - peer.heardAt));
                    peer.link.reset();
                    peer.lists.clear();
                    peer.wasLost = true;
                    peer.dialer->lost();
                });
    link->send(encodeFrame(Frame(directory::Announce { m_core.self })));
    writeEvent(m_core.log,
               change(peer.wasLost ? "control-regained" : "control-connected")
                       .with("host", peer.dialer->address()));
}

void ControlLinks::received(Peer &peer, std::string_view bytes)
{
    peer.heardAt = steadyNow();
    const std::string from = peer.dialer->address();
    const auto frame = readFrame(m_core, from, bytes);
    if (!frame)
        return;
    if (const auto *update = std::get_if<directory::DirectoryUpdate>(&*frame)) {
        takeLists(peer, *update);
        m_events.directory(from, *update);
    } else if (const auto *push = std::get_if<AgreedPush>(&*frame)) {
        m_events.agreed(*push);
    }
}

void ControlLinks::takeLists(Peer &peer, const directory::DirectoryUpdate &update)
{
    if (update.whole)
        peer.lists.clear();
    for (const std::string &address : update.gone)
        peer.lists.erase(address);
    for (const directory::NodeInfo &node : update.nodes) {
        if (node.role != directory::Role::Control) {
            peer.lists.erase(node.address);
            continue;
        }
        peer.lists.insert(node.address);
        keep(node.address);
    }
}

bool ControlLinks::isListed(const std::string &address) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const auto &item) { return item.second->lists.count(address) != 0; });
}

void ControlLinks::forgetGone(Time now)
{
    const std::vector<std::string> seeds = seedAddresses(m_core.settings);
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        const Peer &peer = *item->second;
        const bool isSeed = std::find(seeds.begin(), seeds.end(), item->first) != seeds.end();
        const bool gone = !peer.link && !isSeed && !isListed(item->first)
                && now >= peer.listedAt + ForgetPeerAfter && now >= peer.heardAt + ForgetPeerAfter;
        item = gone ? m_peers.erase(item) : std::next(item);
    }
}

void ControlLinks::tick(Time now)
{
    forgetGone(now);
    for (auto &[address, peer] : m_peers) {
        if (!peer->link)
            continue;
        if (now >= peer->heardAt + ControlSilence) {
            peer->link->close();
        } else if (now >= peer->sentAt + ControlBeat) {
            peer->sentAt = now;
            peer->link->send(encodeFrame(Frame(directory::NodeBeat {})));
        }
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
