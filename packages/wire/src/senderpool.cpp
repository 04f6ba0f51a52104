/*
    The sending threads and the queue of peers that they serve.

    [SECTION] Peers
    [SECTION] Pool
*/
#include <foxwing/wire/senderpool.h>

#include <algorithm>
#include <condition_variable>
#include <curl/curl.h>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <foxwing/base/clock.h>
#include <foxwing/base/codec.h>

#include "rpcclient.h"

namespace foxwing::wire {

// [SECTION] Peers

namespace {

struct Peer
{
    std::string address;
    std::vector<Json::Value> queued;
    std::unique_ptr<RpcClient> client;

    // In the ready queue, or being served by a thread.
    bool scheduled = false;

    // Not called before then.
    Time backoffUntil {};
    Milliseconds backoff { 0 };
};

} // namespace

// [SECTION] Pool

class SenderPool::Impl
{
public:
    Impl(const SenderSettings &settings, FailureHandler onFailure)
        : m_settings(settings)
        , m_onFailure(std::move(onFailure))
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        for (unsigned int i = 0; i < settings.threads; ++i)
            m_threads.emplace_back([this] { run(); });
    }

    ~Impl()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopping = true;
        }
        m_wakeUp.notify_all();
        for (std::thread &thread : m_threads)
            thread.join();
    }

    void send(const std::string &address, Json::Value &&message)
    {
        std::vector<Json::Value> failed;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            Peer &peer = m_peers[address];
            peer.address = address;
            const bool inBackoff = steadyNow() < peer.backoffUntil;
            if (inBackoff || peer.queued.size() >= m_settings.maxQueued) {
                ++m_counters.failedMessages;
                failed.push_back(std::move(message));
            } else {
                peer.queued.push_back(std::move(message));
                schedule(peer);
            }
        }
        if (!failed.empty())
            m_onFailure(address, std::move(failed));
    }

    void flush(Milliseconds timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_idle.wait_for(lock, timeout, [this] { return m_ready.empty() && m_busy == 0; });
    }

    SenderCounters counters() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_counters;
    }

private:
    void schedule(Peer &peer)
    {
        if (peer.scheduled)
            return;
        peer.scheduled = true;
        m_ready.push_back(&peer);
        m_wakeUp.notify_one();
    }

    std::vector<Json::Value> takeBatch(Peer &peer)
    {
        std::vector<Json::Value> batch;
        if (peer.queued.size() <= m_settings.maxBatchSize) {
            batch.swap(peer.queued);
            return batch;
        }
        const auto end = peer.queued.begin() + static_cast<std::ptrdiff_t>(m_settings.maxBatchSize);
        batch.assign(std::make_move_iterator(peer.queued.begin()), std::make_move_iterator(end));
        peer.queued.erase(peer.queued.begin(), end);
        return batch;
    }

    bool call(Peer &peer, const std::vector<Json::Value> &batch) const
    {
        Json::Value envelope(Json::objectValue);
        envelope["from"] = m_settings.from;
        envelope["address"] = m_settings.address;
        envelope["secret"] = m_settings.secret;
        Json::Value &messages = envelope["messages"] = Json::Value(Json::arrayValue);
        for (const Json::Value &message : batch)
            messages.append(message);
        if (!peer.client)
            peer.client = std::make_unique<RpcClient>(peer.address, m_settings.timeout.count());
        return peer.client->deliver(envelope);
    }

    void recordCall(Peer &peer, bool delivered, std::size_t messages)
    {
        ++m_counters.calls;
        m_counters.messages += messages;
        if (delivered) {
            peer.backoff = Milliseconds::zero();
            return;
        }
        ++m_counters.failedCalls;
        m_counters.failedMessages += messages;
        peer.backoff = std::clamp(peer.backoff * 2, m_settings.minBackoff, m_settings.maxBackoff);
        peer.backoffUntil = steadyNow() + peer.backoff;
        peer.client.reset();
    }

    // Sends one batch to the peer at the head of the ready queue.
    void servePeer(std::unique_lock<std::mutex> &lock)
    {
        Peer &peer = *m_ready.front();
        m_ready.pop_front();
        std::vector<Json::Value> batch = takeBatch(peer);
        ++m_busy;
        lock.unlock();
        const bool delivered = call(peer, batch);
        lock.lock();
        recordCall(peer, delivered, batch.size());
        if (!delivered)
            std::move(peer.queued.begin(), peer.queued.end(), std::back_inserter(batch));
        if (!delivered)
            peer.queued.clear();
        peer.scheduled = false;
        if (!peer.queued.empty())
            schedule(peer);
        lock.unlock();
        if (!delivered)
            m_onFailure(peer.address, std::move(batch));
        lock.lock();
        --m_busy;
        m_idle.notify_all();
    }

    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_stopping) {
            if (m_ready.empty())
                m_wakeUp.wait(lock);
            else
                servePeer(lock);
        }
    }

    SenderSettings m_settings;
    FailureHandler m_onFailure;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::condition_variable m_idle;
    std::unordered_map<std::string, Peer> m_peers;
    std::deque<Peer *> m_ready;
    std::size_t m_busy = 0;
    bool m_stopping = false;
    SenderCounters m_counters;
    std::vector<std::thread> m_threads;
};

SenderPool::SenderPool(const SenderSettings &settings, FailureHandler onFailure)
    : m_impl(std::make_unique<Impl>(settings, std::move(onFailure)))
{ }

SenderPool::~SenderPool() = default;

void SenderPool::send(const std::string &address, Json::Value &&message)
{
    m_impl->send(address, std::move(message));
}

void SenderPool::flush(Milliseconds timeout)
{
    m_impl->flush(timeout);
}

SenderCounters SenderPool::counters() const
{
    return m_impl->counters();
}

} // namespace foxwing::wire
