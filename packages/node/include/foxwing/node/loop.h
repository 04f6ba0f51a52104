/*
    The event loop of a process.

    All changes of state run on its one thread, as callbacks that must not block.

        Loop loop([] { ... called every 10 ms ... }, Milliseconds(10));
        loop.post([] { ... });
        loop.run();

    [SECTION] Loop
*/
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include <foxwing/base/clock.h>

namespace foxwing::node {

// [SECTION] Loop

class Loop
{
public:
    using Job = std::function<void()>;

    Loop(Job onTick, Milliseconds tickInterval);

    // May be called from any thread.
    void post(Job job);

    // Runs posted callbacks and ticks until stop() is called.
    void run();
    void stop();

private:
    Job m_onTick;
    Milliseconds m_tickInterval;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<Job> m_jobs;
    bool m_stopping = false;
};

} // namespace foxwing::node
