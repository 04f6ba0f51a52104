/*
    The event loop of a process.

    All changes of state run on its one thread, as callbacks that must not block.

        EventLoop loop([] { ... called every 10 ms ... }, Milliseconds(10));
        loop.post([] { ... });
        loop.run();

    [SECTION] Event loop
*/
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include <foxwing/base/clock.h>

namespace foxwing::node {

// [SECTION] Event loop

class EventLoop
{
public:
    using Callback = std::function<void()>;

    EventLoop(Callback onTick, Milliseconds tickInterval);

    // May be called from any thread.
    void post(Callback callback);

    // Runs posted callbacks and ticks until stop() is called.
    void run();
    void stop();

private:
    Callback m_onTick;
    Milliseconds m_tickInterval;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<Callback> m_callbacks;
    bool m_stopping = false;
};

} // namespace foxwing::node
