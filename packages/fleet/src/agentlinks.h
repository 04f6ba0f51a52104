/*
    An entry's connections to the agents of its subset.

    The subset package chooses the agents; this class opens and closes the connections.

        AgentLinks agents(core, events);
        agents.applyUpdate(controlHost, update);
        agents.updateConnections(false, now);
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
    // Connected; nothing has been sent yet.
    std::function<void(const std::string &agent)> connected;
    std::function<void(const std::string &agent, std::string_view bytes)> received;
    std::function<void(const std::string &agent)> lost;

    // The agent is no longer in the subset; returns false while a run still needs its session.
    std::function<bool(const std::string &agent)> release;
};

// [SECTION] Links

class AgentLinks
{
public:
    AgentLinks(Core &core, AgentEvents events);

    // Updates from control
    void applyUpdate(const std::string &from, const directory::DirectoryUpdate &update);
    void removeControlHost(const std::string &host);
    void applyCordons(const catalog::Cordons &cordons);

    // Opens and closes connections to follow the subset. needsCapacity: tasks recently found no
    // free capacity.
    void updateConnections(bool needsCapacity, Time now);

    // Whether each step of the job has a suitable endpoint in the fleet. Where the subset has none,
    // the next updateConnections() connects to some.
    bool requireAgents(const jobs::JobSpec &spec, const std::string &service, Time now);

    // Does nothing if there is no connection.
    void send(const std::string &agent, const Frame &frame);
    void close(const std::string &agent);
    void closeAll();

    const subset::SubsetState &subset() const { return m_subset; }

private:
    // The dialer reconnects while the peer exists.
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
