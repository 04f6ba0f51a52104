/*
    A process of foxwing: runs its roles with sockets, threads and the event loop.

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

    // Runs until a requested stop has finished or timed out.
    void run();

    // Graceful stop: finishes work in flight. May be called from any thread, but not from a signal
    // handler.
    void requestStop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxwing::node
