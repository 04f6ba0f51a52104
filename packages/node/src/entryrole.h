/*
    The role entry of a node: the shell around entry::EntryState, and the callers who wait.

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

#include "postoffice.h"

namespace foxwing::node {

// [SECTION] Role

class EntryRole
{
public:
    EntryRole(const settings::Settings &settings, std::uint64_t incarnation, PostOffice &post);

    // A caller's request, on the loop's thread. False if its path is none of the entry's.
    bool serve(const edge::HttpRequest &request, const edge::Responder &responder);

    void receive(const agent::FromAgent &message);
    void receive(const claims::ClaimMessage &message);
    void receive(const entry::EntryMessage &message);
    void sendFailed(const agent::ToAgent &message);
    void applyUpdate(const control::Update &update, Time beatSentAt);
    void fillBeat(control::Heartbeat &beat);
    void tick();

    void beginLeaving() { m_state.leaving = true; }
    bool ready() const;
    // Whether control should be asked at once. Asking resets it.
    bool takeHeartbeatRequest() { return std::exchange(m_state.heartbeatRequested, false); }
    bool allClaimsInService() const { return claims::allShardsActive(m_state.claims); }
    bool drained() const;

    // Whether no shard's claims depend on this process any more.
    bool handedOver() const;
    void addSamples(std::vector<metrics::Sample> &samples) const;
    const metrics::Metrics &histograms() const { return m_metrics; }

private:
    struct Caller
    {
        edge::Responder responder;
        Time since {};
        Time waitUntil {};
        std::string submission;
        metrics::Labels labels;
    };

    void carryOut(entry::EntryActions &&actions);
    void replyTo(const entry::Reply &reply);
    void serveSubmission(const edge::HttpRequest &request, const edge::Responder &responder,
                         const std::string &team, bool isRequest);
    void serveLookUp(const edge::HttpRequest &request, const edge::Responder &responder,
                     const std::string &team);
    entry::WaiterId addCaller(const edge::Responder &responder, const std::string &submission,
                              Milliseconds wait, const metrics::Labels &labels);
    void applyResource(const control::Resource &resource);

    entry::EntryState m_state;
    PostOffice &m_post;
    std::unordered_map<entry::WaiterId, Caller> m_callers;
    entry::WaiterId m_nextWaiter = 1;

    // Shares of quotas as control was told last
    std::unordered_map<std::string, std::uint32_t> m_toldShares;
    metrics::Metrics m_metrics;
};

} // namespace foxwing::node
