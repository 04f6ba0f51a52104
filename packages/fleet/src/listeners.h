/*
    The listeners of a process and their limits.

    Every listener is open to clients that may not behave. Each may use a share of the process's
    descriptors, and all connections together hold a limited part of its memory.

        m_callers = serveHttp(core, HttpListener::Callers, handler, reason);
        addListenerSamples(core, samples);

    [SECTION] Limits
    [SECTION] Listening
    [SECTION] Metrics
*/
#pragma once

#include "core.h"

namespace foxwing::fleet {

// [SECTION] Limits

// An HTTP listener of a process. Control is the one for operators, or for an agent's endpoint.
enum class HttpListener {
    Callers,
    Readiness,
    Control,
    Metrics,
};

// The descriptors that listeners share: what the process may open, without a reserve for files.
std::size_t usableDescriptors(const ResourceLimits &limits);

fabric::HttpLimits httpLimits(const ResourceLimits &limits, HttpListener listener);
fabric::LinkLimits linkLimits(const Core &core);
fabric::DialerSettings dialerSettings(const Core &core);

// [SECTION] Listening

// Accepts links from other processes of the fleet. Returns null, with the reason, if it can't
// listen at the address.
std::unique_ptr<fabric::Listener> listenForPeers(Core &core, fabric::Listener::Accepted onAccepted,
                                                 Error *reason);

// Listens at the address that the settings have for this listener.
std::unique_ptr<fabric::HttpServer> serveHttp(Core &core, HttpListener listener,
                                              fabric::HttpServer::Handler handler, Error *reason);

// [SECTION] Metrics

// Connections, refusals and held memory of all listeners.
void addListenerSamples(const Core &core, std::vector<metrics::Sample> &samples);

} // namespace foxwing::fleet
