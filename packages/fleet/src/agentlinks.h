/*
    An entry's connections to the agents of its subset.

    Which agents those are is decided in the subset package; here they are dialled and closed.

        AgentLinks agents(core, events);
        agents.applyUpdate(controlHost, update);
        agents.keep(false, now);
        agents.send("10.1.0.7:7720", frame);

    [SECTION] Events
    [SECTION] Links
*/
#pragma once

#include <foxwing/subset/subset.h>

#include "core.h"

namespace foxwing::fleet {

// [SECTION] Events

struct AgentEvents
{
    // The connection stands; nothing was sent on it yet.
    std::function<void(const std::string &agent)> connected;
    std::function<void(const std::string &agent, std::string_view bytes)> received;
    std::function<void(const std::string &agent)> lost;

    // The subset needs the agent no more; false if a run still needs its session.
    std::function<bool(const std::string &agent)> release;
};

// [SECTION] Links

class AgentLinks
{
public:
    AgentLinks(Core &core, AgentEvents events);

    // News from control
    void applyUpdate(const std::string &from, const directory::DirectoryUpdate &update);
    void removeControlHost(const std::string &host);
    void takeCordons(const catalog::Cordons &cordons);

    // Opens and gives up connections, so that they follow the subset. needsCapacity: work has found
    // no room of late.
    void keep(bool needsCapacity, Time now);

    // Whether each step of the job finds an endpoint in the fleet, in the subset or not; where it
    // is not in the subset, connections to some are opened at the next keep().
    bool requireAgents(const jobs::JobSpec &spec, const std::string &service, Time now);

    // Does nothing where there is no connection.
    void send(const std::string &agent, const Frame &frame);
    void close(const std::string &agent);
    void closeAll();

    const subset::SubsetState &subset() const { return m_subset; }

private:
    // Dialled for as long as it is kept
    struct Peer
    {
        std::unique_ptr<fabric::Dialer> dialer;
        std::shared_ptr<fabric::Link> link;
    };

    void dial(const std::string &address);
    void connected(const std::string &address, const std::shared_ptr<fabric::Link> &link);
    void closed(const std::string &address, const fabric::Link *link);
    void drop(const std::string &address);

    Core &m_core;
    AgentEvents m_events;
    subset::SubsetState m_subset;
    std::map<std::string, Peer> m_peers;
};

} // namespace foxwing::fleet
