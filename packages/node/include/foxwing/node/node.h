/*
    A process of foxwing: settings in, sockets and threads around the decisions.

        Node node(settings);
        Error reason;
        if (!node.start(&reason))
            ...
        node.run();

    [SECTION] Node
*/
#pragma once

#include <memory>

#include <foxwing/base/error.h>
#include <foxwing/settings/settings.h>

namespace foxwing::node {

// [SECTION] Node

class Node
{
public:
    explicit Node(const settings::Settings &settings);
    ~Node();

    // Opens files and sockets.
    bool start(Error *reason);

    // Works until a planned stop has finished, or its time is over.
    void run();

    // A planned stop: finishes what is in flight. From any thread, not from a signal handler.
    void requestStop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxwing::node
