/*
    HTTP calls to the endpoint, and how they end.

    [SECTION] Calls
    [SECTION] Completion
*/
#include "endpoint.h"

namespace foxwing::node {

namespace {

// Only an upper bound: the agent stops a task at its deadline.
constexpr Milliseconds MaxCallDuration { 24 * 3600 * 1000 };

std::string pathOf(const agent::TaskRef &ref)
{
    return "/tasks/" + ref.job + "/" + std::to_string(ref.task) + "/" + std::to_string(ref.attempt);
}

edge::HttpClientSettings clientSettings()
{
    edge::HttpClientSettings settings;
    settings.timeout = MaxCallDuration;
    return settings;
}

} // namespace

// [SECTION] Calls

Endpoint::Endpoint(const settings::EndpointSettings &settings, EventLoop &loop, Done onDone)
    : m_settings(settings)
    , m_loop(loop)
    , m_onDone(std::move(onDone))
    , m_client(settings.url, clientSettings())
{ }

void Endpoint::call(const agent::EndpointCall &call)
{
    const std::string path = pathOf(call.ref);
    m_open[path].ref = call.ref;
    const auto remaining = std::chrono::duration_cast<Milliseconds>(call.timeLeft);
    m_client.call("POST", path, call.payload,
                  { { "X-Foxwing-Team", call.team },
                    { "X-Foxwing-Time-Left-Ms", std::to_string(remaining.count()) } },
                  [this, path](edge::HttpReply &&reply) {
                      m_loop.post(
                              [this, path, reply = std::move(reply)] { handleReply(path, reply); });
                  });
}

void Endpoint::stop(const agent::EndpointStop &stop, Time now)
{
    const std::string path = pathOf(stop.ref);
    const auto found = m_open.find(path);
    if (found == m_open.end() || found->second.stopRequested)
        return;
    found->second.stopRequested = true;
    found->second.abandonAt = now + m_settings.stopGrace;
    ++m_stopsPending;
    m_client.call("DELETE", path, {}, {}, [](edge::HttpReply &&) {});
}

void Endpoint::tick(Time now)
{
    if (m_stopsPending == 0)
        return;
    std::vector<std::string> overdue;
    for (const auto &open : m_open) {
        if (open.second.stopRequested && now >= open.second.abandonAt)
            overdue.push_back(open.first);
    }
    for (const std::string &path : overdue)
        complete(path, agent::TaskEnd::Cancelled, "the endpoint did not stop the task in time");
}

// [SECTION] Completion

void Endpoint::complete(const std::string &path, agent::TaskEnd end, std::string body)
{
    const auto found = m_open.find(path);
    if (found == m_open.end())
        return; // abandoned before
    const OpenCall open = found->second;
    m_open.erase(found);
    if (open.stopRequested)
        --m_stopsPending;
    m_onDone(open.ref, end, std::move(body));
}

void Endpoint::handleReply(const std::string &path, const edge::HttpReply &reply)
{
    const auto found = m_open.find(path);
    if (found == m_open.end())
        return;
    if (reply.status >= 200 && reply.status < 300)
        return complete(path, agent::TaskEnd::Succeeded, reply.body);
    if (found->second.stopRequested)
        return complete(path, agent::TaskEnd::Cancelled, reply.body);
    if (reply.neverSent)
        return complete(path, agent::TaskEnd::Unreachable, reply.reason);
    if (reply.status == 0)
        return complete(path, agent::TaskEnd::Failed,
                        "no response from the endpoint: " + reply.reason);
    complete(path, agent::TaskEnd::Failed,
             "status " + std::to_string(reply.status) + " " + reply.body);
}

} // namespace foxwing::node
