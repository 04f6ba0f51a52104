/*
    What every role of a fleet's process stands on: the loop, the log, the metrics, and the
    connections to control.

    [SECTION] Core
    [SECTION] Role
    [SECTION] Listening
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
#include "peerbook.h"

namespace foxwing::fleet {

// [SECTION] Core

struct Core
{
    explicit Core(FleetSettings with)
        : settings(std::move(with))
        , log(settings.name, settings.log)
    { }

    // One thread runs it; a second one, of the journal, only posts to it.
    fabric::asio::io_context io { 1 };
    FleetSettings settings;
    eventlog::EventLog log;
    metrics::Metrics metrics;
    directory::NodeInfo self;
};

// [SECTION] Role

// What a role adds to the process.
class RoleShell
{
public:
    virtual ~RoleShell() = default;
    virtual bool start(Error *reason) = 0;

    // Every TickInterval
    virtual void tick(Time now) = 0;

    // The settings were read anew; core.settings holds them.
    virtual void reloaded() = 0;

    // A planned stop begins; done once stopped() holds.
    virtual void beginShutdown(Time now) = 0;
    virtual bool stopped(Time now) = 0;
    virtual std::vector<metrics::Sample> samples() const = 0;
};

// Fine enough for the shortest span that decisions wait for, 40 ms, and coarse enough to cost an
// idle process next to nothing.
constexpr Milliseconds TickInterval { 20 };

// [SECTION] Listening

// Links of other processes of the fleet; nothing, with the reason, if the address can't be had.
std::unique_ptr<fabric::Listener> listenInside(Core &core, fabric::Listener::Accepted onAccepted,
                                               Error *reason);

std::unique_ptr<fabric::HttpServer> serveHttp(Core &core, const std::string &address,
                                              fabric::HttpServer::Handler handler, Error *reason);

// [SECTION] Control links

struct ControlEvents
{
    std::function<void(const std::string &from, const directory::DirectoryUpdate &)> directory;
    std::function<void(const AgreedPush &)> agreed;

    // No longer a peer; what it has told counts no more.
    std::function<void(const std::string &host)> forgotten;
};

// An entry's or agent's connections to every control host it knows of: the seeds, and those that
// the directory tells of.
class ControlLinks
{
public:
    ControlLinks(Core &core, ControlEvents events);
    ~ControlLinks();

    void tick(Time now);
    void reloadSeeds();

    // What this node says of itself has changed.
    void announce();
    std::size_t connected() const;

private:
    struct Peer;
    void keep(const std::string &address);
    void dial(const std::string &address);
    void keepBook(Time now);
    void connected(Peer &peer, const std::shared_ptr<fabric::Link> &link);
    void received(Peer &peer, std::string_view bytes);

    // The last frame of what is agreed that was read. All control hosts send the same, and reading
    // it takes an entry that has just begun longer than anything else.
    std::string m_lastAgreed;

    Core &m_core;
    ControlEvents m_events;
    PeerBook m_book;
    std::map<std::string, std::unique_ptr<Peer>> m_peers;
};

// [SECTION] Frames

// The cordoned data centres in one text, for log lines
std::string joinedNames(const catalog::Cordons &cordons);

// Logs and answers nothing if the bytes are no frame.
std::optional<Frame> readFrame(Core &core, const std::string &from, std::string_view bytes);

std::unique_ptr<RoleShell> makeEntryShell(Core &core, const Dialect &dialect);
std::unique_ptr<RoleShell> makeAgentShell(Core &core, const Dialect &dialect);
std::unique_ptr<RoleShell> makeControlShell(Core &core, const Dialect &dialect);

} // namespace foxwing::fleet
