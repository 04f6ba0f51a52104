/*
    One process of a fleet: an entry, an agent or a control host on one thread.

        Node node(settings, "/etc/foxwing/node.toml", dialect);
        Error reason;
        if (!node.start(&reason))
            ...
        node.run();   // until a stop signal has been dealt with

    [SECTION] Node
*/
#pragma once

#include <memory>

#include <foxwing/fleet/dialect.h>
#include <foxwing/fleet/settings.h>

namespace foxwing::fleet {

// [SECTION] Node

class Node
{
public:
    // The file is read again when it changes; without a path it is not.
    Node(FleetSettings settings, std::string settingsPath, const Dialect &dialect);
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    bool start(Error *reason);
    void run();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxwing::fleet
