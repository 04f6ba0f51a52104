/*
    The event loop's queue and ticks.

    [SECTION] Loop
*/
#include <foxwing/node/loop.h>

#include <utility>

namespace foxwing::node {

// [SECTION] Loop

Loop::Loop(Job onTick, Milliseconds tickInterval)
    : m_onTick(std::move(onTick))
    , m_tickInterval(tickInterval)
{ }

void Loop::post(Job job)
{
    bool wasEmpty = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        wasEmpty = m_jobs.empty();
        m_jobs.push_back(std::move(job));
    }
    if (wasEmpty)
        m_wakeUp.notify_one();
}

void Loop::run()
{
    auto nextTick = std::chrono::steady_clock::now();
    std::vector<Job> jobs;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_wakeUp.wait_until(lock, nextTick, [this] { return m_stopping || !m_jobs.empty(); });
        jobs.swap(m_jobs);
        lock.unlock();
        for (const Job &job : jobs)
            job();
        jobs.clear();
        const auto now = std::chrono::steady_clock::now();
        if (now >= nextTick) {
            m_onTick();
            nextTick = now + m_tickInterval;
        }
        lock.lock();
    }
}

void Loop::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_one();
}

} // namespace foxwing::node
