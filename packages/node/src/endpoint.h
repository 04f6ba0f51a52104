/*
    Calls from an agent to its endpoint over HTTP.

    A task is POSTed to /tasks/TEAM/SUBMISSION/TASK/ATTEMPT with its payload as the body. Any status
    from 200 to 299 means success, and the response body is the result. DELETE on the same path asks
    the endpoint to stop the task.

    [SECTION] Endpoint
*/
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include <foxwing/agent/agent.h>
#include <foxwing/edge/httpclient.h>
#include <foxwing/node/eventloop.h>
#include <foxwing/settings/settings.h>

namespace foxwing::node {

// [SECTION] Endpoint

class Endpoint
{
public:
    // Called on the loop's thread, exactly once for each call().
    using Done = std::function<void(const agent::TaskRef &, agent::TaskEnd, std::string)>;

    Endpoint(const settings::EndpointSettings &settings, EventLoop &loop, Done onDone);

    // All may be called only on the loop's thread.
    void call(const agent::EndpointCall &call);
    void stop(const agent::EndpointStop &stop, Time now);

    // Abandons calls that did not end within the grace period after a request to stop.
    void tick(Time now);

private:
    struct OpenCall
    {
        agent::TaskRef ref;
        bool stopRequested = false;
        Time abandonAt {};
    };

    void handleReply(const std::string &path, const edge::HttpReply &reply);
    void complete(const std::string &path, agent::TaskEnd end, std::string body);

    settings::EndpointSettings m_settings;
    EventLoop &m_loop;
    Done m_onDone;
    edge::HttpClient m_client;
    std::unordered_map<std::string, OpenCall> m_open;
    std::size_t m_stopsPending = 0;
};

} // namespace foxwing::node
