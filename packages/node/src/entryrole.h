/*
    The entry role of a node: connects entry::EntryState to messages and to waiting callers.

    [SECTION] Role
*/
#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include <foxwing/control/messages.h>
#include <foxwing/edge/httpserver.h>
#include <foxwing/entry/entry.h>
#include <foxwing/metrics/metrics.h>
#include <foxwing/settings/settings.h>

#include "messagerouter.h"

namespace foxwing::node {

// [SECTION] Role

class EntryRole
{
public:
    EntryRole(const settings::Settings &settings, std::uint64_t incarnation, MessageRouter &router);

    // Serves a caller's request, on the loop's thread. False if the entry does not serve its path.
    bool serve(const edge::HttpRequest &request, const edge::Responder &responder);

    void receive(const agent::FromAgent &message);
    void receive(const claims::ClaimMessage &message);
    void receive(const entry::EntryMessage &message);
    void sendFailed(const agent::ToAgent &message);
    void applyUpdate(const control::Update &update, Time heartbeatSentAt);
    void fillHeartbeat(control::Heartbeat &heartbeat);
    void tick();

    void startLeaving() { m_state.leaving = true; }
    bool ready() const;

    // Whether a heartbeat should be sent at once. Calling this resets it.
    bool takeHeartbeatRequest() { return std::exchange(m_state.heartbeatRequested, false); }
    bool allShardsActive() const { return claims::allShardsActive(m_state.claims); }
    bool drained() const;

    // Whether this process is no longer a replica of any shard.
    bool handedOver() const;
    void addSamples(std::vector<metrics::Sample> &samples) const;
    const metrics::Metrics &histograms() const { return m_metrics; }

private:
    struct Caller
    {
        edge::Responder responder;
        Time startedAt {};
        Time deadline {};
        std::string submission;
        metrics::Labels labels;
    };

    void execute(entry::EntryActions &&actions);
    void replyTo(const entry::Reply &reply);
    void serveSubmission(const edge::HttpRequest &request, const edge::Responder &responder,
                         const std::string &team, bool isRequest);
    void serveLookup(const edge::HttpRequest &request, const edge::Responder &responder,
                     const std::string &team);
    entry::WaiterId addCaller(const edge::Responder &responder, const std::string &submission,
                              Milliseconds wait, const metrics::Labels &labels);
    void applyResource(const control::Resource &resource);

    entry::EntryState m_state;
    MessageRouter &m_router;
    std::unordered_map<entry::WaiterId, Caller> m_callers;
    entry::WaiterId m_nextWaiter = 1;

    // Quota shares by team as last reported to control
    std::unordered_map<std::string, std::uint32_t> m_reportedShares;
    metrics::Metrics m_metrics;
};

} // namespace foxwing::node
