/*
    The agent role of a node: connects agent::AgentState to messages and to the endpoint.

    [SECTION] Role
*/
#pragma once

#include <vector>

#include <foxwing/agent/agent.h>
#include <foxwing/control/messages.h>
#include <foxwing/metrics/metrics.h>

#include "endpoint.h"
#include "messagerouter.h"

namespace foxwing::node {

// [SECTION] Role

class AgentRole
{
public:
    AgentRole(const settings::Settings &settings, std::uint64_t incarnation, EventLoop &loop,
              MessageRouter &router);

    void receive(const agent::ToAgent &message);
    void applyUpdate(const control::Update &update);
    void tick(bool configurationStale);
    void leave();
    bool drained() const;
    void addSamples(std::vector<metrics::Sample> &samples) const;

private:
    void execute(agent::AgentActions &&actions);

    agent::AgentState m_state;
    MessageRouter &m_router;
    Endpoint m_endpoint;
};

} // namespace foxwing::node
