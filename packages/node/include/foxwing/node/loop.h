/*
    The one thread on which a process decides.

    Everything that changes state is posted here; nothing on it blocks.

        Loop loop([] { ... every few milliseconds ... }, Milliseconds(10));
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

    // From any thread.
    void post(Job job);

    // Runs jobs and ticks until stop() was called.
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
