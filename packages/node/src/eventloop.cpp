/*
    The event loop's queue and ticks.

    [SECTION] Event loop
*/
#include <foxwing/node/eventloop.h>

#include <utility>

namespace foxwing::node {

// [SECTION] Event loop

EventLoop::EventLoop(Callback onTick, Milliseconds tickInterval)
    : m_onTick(std::move(onTick))
    , m_tickInterval(tickInterval)
{ }

void EventLoop::post(Callback callback)
{
    bool wasEmpty = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        wasEmpty = m_callbacks.empty();
        m_callbacks.push_back(std::move(callback));
    }
    if (wasEmpty)
        m_wakeUp.notify_one();
}

void EventLoop::run()
{
    auto nextTick = std::chrono::steady_clock::now();
    std::vector<Callback> callbacks;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_wakeUp.wait_until(lock, nextTick, [this] { return m_stopping || !m_callbacks.empty(); });
        callbacks.swap(m_callbacks);
        lock.unlock();
        for (const Callback &callback : callbacks)
            callback();
        callbacks.clear();
        const auto now = std::chrono::steady_clock::now();
        if (now >= nextTick) {
            m_onTick();
            nextTick = now + m_tickInterval;
        }
        lock.lock();
    }
}

void EventLoop::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_one();
}

} // namespace foxwing::node
