/*
    One process of a fleet: an entry, an agent or a control host, with a single-threaded event loop.

        Node node(settings, "/etc/foxwing/node.toml", dialect);
        Error reason;
        if (!node.start(&reason))
            ...
        node.run();   // returns after a stop signal, once the shutdown is complete

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
    // The settings file is reloaded when it changes; with an empty path it is not.
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
