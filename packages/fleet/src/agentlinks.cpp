/*
    Connections to agents.

    [SECTION] Updates
    [SECTION] Connections
    [SECTION] Subset
*/
#include "agentlinks.h"

#include "listeners.h"

namespace foxwing::fleet {

AgentLinks::AgentLinks(Core &core, AgentEvents events)
    : m_core(core)
    , m_events(std::move(events))
    , m_subset(subset::makeSubset(core.settings.subset, core.settings.name,
                                  core.settings.dataCentre))
{ }

// [SECTION] Updates

void AgentLinks::applyUpdate(const std::string &from, const directory::DirectoryUpdate &update)
{
    subset::applyUpdate(m_subset, from, update);
}

void AgentLinks::removeControlHost(const std::string &host)
{
    subset::removeControlHost(m_subset, host);
}

void AgentLinks::applyCordons(const catalog::Cordons &cordons)
{
    subset::applyCordons(m_subset, cordons);
}

// [SECTION] Connections

void AgentLinks::dial(const std::string &address)
{
    if (m_peers.count(address) != 0)
        return;
    m_peers[address].dialer =
            std::make_unique<fabric::Dialer>(m_core.io, address, dialerSettings(m_core),
                                             [this,
                                              address](const std::shared_ptr<fabric::Link> &link) {
                                                 connected(address, link);
                                             });
}

void AgentLinks::connected(const std::string &address, const std::shared_ptr<fabric::Link> &link)
{
    m_peers.at(address).link = link;
    subset::sessionOpened(m_subset, address);
    link->start([this, address](std::string_view bytes) { m_events.received(address, bytes); },
                [this, address, link = link.get()] { closed(address, link); });
    m_events.connected(address);
}

// Ignores links that were replaced: the agent may have been dropped or redialled meanwhile.
void AgentLinks::closed(const std::string &address, const fabric::Link *link)
{
    const auto peer = m_peers.find(address);
    if (peer == m_peers.end() || peer->second.link.get() != link)
        return;
    peer->second.link.reset();
    peer->second.dialer->redial();
    subset::connectionLost(m_subset, address, steadyNow());
    m_events.lost(address);
}

void AgentLinks::send(const std::string &agent, const Frame &frame)
{
    const auto peer = m_peers.find(agent);
    if (peer != m_peers.end() && peer->second.link)
        peer->second.link->send(encodeFrame(frame));
}

void AgentLinks::close(const std::string &agent)
{
    const auto peer = m_peers.find(agent);
    if (peer != m_peers.end() && peer->second.link)
        peer->second.link->close();
}

void AgentLinks::closeAll()
{
    for (auto &[address, peer] : m_peers) {
        if (peer.link)
            peer.link->close();
    }
}

// [SECTION] Subset

void AgentLinks::updateConnections(bool needsCapacity, Time now)
{
    if (needsCapacity)
        subset::requestGrowth(m_subset, now);
    const subset::SubsetChanges changes = subset::choose(m_subset, now);
    for (const std::string &address : changes.added)
        dial(address);
    for (const std::string &address : changes.removed)
        m_peers.erase(address);
    for (const std::string &address : changes.surplus)
        drop(address);
}

void AgentLinks::drop(const std::string &address)
{
    if (!m_events.release(address))
        return;
    close(address);
    m_peers.erase(address);
    subset::dropped(m_subset, address);
}

bool AgentLinks::requireAgents(const jobs::JobSpec &spec, const std::string &service, Time now)
{
    bool all = true;
    for (const jobs::StepSpec &step : spec.steps) {
        all &= subset::requireAgents(m_subset, { service, step.label, "", step.demand }, now);
        if (!step.rack.empty())
            subset::requireAgents(m_subset, { service, step.label, step.rack, step.demand }, now);
    }
    return all;
}

} // namespace foxwing::fleet
