/*
    What the roles share: the event loop, the log, the metrics, and the connections to control.

    [SECTION] Core
    [SECTION] Role
    [SECTION] Control links
    [SECTION] Frames
*/
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include <foxwing/base/clock.h>
#include <foxwing/eventlog/eventlog.h>
#include <foxwing/fabric/httpserver.h>
#include <foxwing/fabric/link.h>
#include <foxwing/fleet/settings.h>
#include <foxwing/metrics/metrics.h>

#include "messages.h"
#include "peertable.h"

namespace foxwing::fleet {

// [SECTION] Core

// Bytes that HTTP, and that the connections within the fleet, may hold
std::size_t requestMemoryLimit(const ResourceLimits &limits);
std::size_t linkMemoryLimit(const ResourceLimits &limits);

struct Core
{
    explicit Core(FleetSettings initialSettings)
        : settings(std::move(initialSettings))
        , requestMemory(std::make_shared<fabric::MemoryBudget>(requestMemoryLimit(settings.limits)))
        , linkMemory(std::make_shared<fabric::MemoryBudget>(linkMemoryLimit(settings.limits)))
        , log(settings.name, settings.log)
    { }

    // Run by one thread; the journal's thread only posts to it.
    fabric::asio::io_context io { 1 };
    FleetSettings settings;

    // For the requests and answers of all HTTP listeners, and for connections within the fleet
    std::shared_ptr<fabric::MemoryBudget> requestMemory;
    std::shared_ptr<fabric::MemoryBudget> linkMemory;

    // The listeners that are open, for metrics
    std::vector<std::pair<const char *, const fabric::HttpServer *>> servers;
    const fabric::Listener *listener = nullptr;
    eventlog::EventLog log;
    metrics::Metrics metrics;
    directory::NodeInfo self;
};

// [SECTION] Role

// One role of the process: entry, agent or control.
class NodeRole
{
public:
    virtual ~NodeRole() = default;
    virtual bool start(Error *reason) = 0;

    // Called every TickInterval
    virtual void tick(Time now) = 0;

    // Called after core.settings was reloaded
    virtual void reloaded() = 0;

    // Begins a graceful shutdown; it is complete once stopped() returns true.
    virtual void beginShutdown(Time now) = 0;
    virtual bool stopped(Time now) = 0;
    virtual std::vector<metrics::Sample> samples() const = 0;
};

// At most half of the shortest timeout in use (40 ms), at negligible cost for an idle process.
constexpr Milliseconds TickInterval { 20 };

// [SECTION] Control links

struct ControlEvents
{
    std::function<void(const std::string &from, const directory::DirectoryUpdate &)> directory;
    std::function<void(const AgreedPush &)> agreed;

    // The host is no longer a peer; its directory updates no longer count.
    std::function<void(const std::string &host)> removed;
};

// An entry's or agent's connections to control hosts: the seeds, and those listed in the directory.
class ControlLinks
{
public:
    ControlLinks(Core &core, ControlEvents events);
    ~ControlLinks();

    void tick(Time now);
    void reloadSeeds();

    // Sends core.self to all control hosts, after a change.
    void announce();
    std::size_t connected() const;

private:
    struct Peer;
    void addPeer(const std::string &address);
    void dial(const std::string &address);
    void updatePeers(Time now);
    void connected(Peer &peer, const std::shared_ptr<fabric::Link> &link);
    void received(Peer &peer, std::string_view bytes);

    // The last AgreedPush frame that was decoded. All control hosts send the same bytes, and
    // decoding it is the most expensive step of an entry's start.
    std::string m_lastAgreed;

    Core &m_core;
    ControlEvents m_events;
    PeerTable m_peerTable;
    std::map<std::string, std::unique_ptr<Peer>> m_peers;
};

// [SECTION] Frames

// The cordoned data centres, separated by spaces, for log events
std::string joinNames(const catalog::Cordons &cordons);

// Logs and returns nothing if the bytes can't be decoded.
std::optional<Frame> readFrame(Core &core, const std::string &from, std::string_view bytes);

std::unique_ptr<NodeRole> makeEntryRole(Core &core, const Dialect &dialect);
std::unique_ptr<NodeRole> makeAgentRole(Core &core, const Dialect &dialect);
std::unique_ptr<NodeRole> makeControlRole(Core &core, const Dialect &dialect);

} // namespace foxwing::fleet
