/*
    Limits of listeners, and opening them.

    [SECTION] Limits
    [SECTION] Listening
    [SECTION] Metrics
*/
#include "listeners.h"

#include <algorithm>

namespace foxwing::fleet {

// [SECTION] Limits

namespace {

// Parts of the memory that HTTP and the connections within the fleet may hold. The rest is for the
// process itself, the kernel's buffers, and memory that is freed but not reused.
constexpr std::size_t RequestPart = 6;
constexpr std::size_t LinkPart = 5;
constexpr std::size_t BytesPerMegabyte = 1000000;

// Kept for files, and for connections that the process itself opens at any load
constexpr std::size_t ReservedDescriptors = 256;
constexpr std::size_t MinConnections = 4;

// What the kernel keeps of a request that is not read yet. An ordinary request fits.
constexpr int RequestReceiveBytes = 16384;

// The same for connections within the fleet. Large enough that a catalog of 256 KiB does not delay
// the heartbeats behind it by an election timeout, with a round trip of 24 ms.
constexpr int InnerReceiveBytes = 32768;

// Processes of the fleet introduce themselves as soon as they are connected.
constexpr Milliseconds IntroductionTimeout { 3000 };

// Shares of a process's descriptors, in sixteenths. What the listeners of a role leave is for the
// connections that it opens itself.
constexpr std::size_t Sixteenths = 16;
constexpr std::size_t CallersShare = 8;
constexpr std::size_t ReadinessShare = 1;
constexpr std::size_t ControlShare = 2;
constexpr std::size_t MetricsShare = 1;
constexpr std::size_t InnerShare = 10;

// Entries only, of which few keep a session with one agent
constexpr std::size_t AgentInnerShare = 4;

std::size_t connectionLimit(const ResourceLimits &limits, std::size_t max, std::size_t share)
{
    return std::max(MinConnections, std::min(max, usableDescriptors(limits) * share / Sixteenths));
}

const char *toString(HttpListener listener)
{
    switch (listener) {
    case HttpListener::Callers:
        return "callers";
    case HttpListener::Readiness:
        return "readiness";
    case HttpListener::Control:
        return "control";
    case HttpListener::Metrics:
        break;
    }
    return "metrics";
}

const std::string &addressOf(const FleetSettings &settings, HttpListener listener)
{
    switch (listener) {
    case HttpListener::Callers:
        return settings.callers;
    case HttpListener::Readiness:
        return settings.readiness;
    case HttpListener::Control:
        return settings.control;
    case HttpListener::Metrics:
        break;
    }
    return settings.metrics;
}

} // namespace

std::size_t requestMemoryLimit(const ResourceLimits &limits)
{
    return limits.memoryMegabytes * BytesPerMegabyte / RequestPart;
}

std::size_t linkMemoryLimit(const ResourceLimits &limits)
{
    return limits.memoryMegabytes * BytesPerMegabyte / LinkPart;
}

std::size_t usableDescriptors(const ResourceLimits &limits)
{
    const std::size_t allowed = fabric::allowedDescriptors();
    const std::size_t descriptors = limits.descriptors == 0 ? allowed
                                                            : std::min(limits.descriptors, allowed);
    return descriptors - std::min(descriptors, ReservedDescriptors);
}

fabric::HttpLimits httpLimits(const ResourceLimits &limits, HttpListener listener)
{
    fabric::HttpLimits http;
    http.headerFields = limits.headerFields;
    switch (listener) {
    case HttpListener::Callers:
        http.maxConnections = connectionLimit(limits, limits.callerConnections, CallersShare);
        break;
    case HttpListener::Readiness:
        http.maxConnections = connectionLimit(limits, limits.readinessConnections, ReadinessShare);
        break;
    case HttpListener::Control:
        http.maxConnections = connectionLimit(limits, limits.controlConnections, ControlShare);
        break;
    case HttpListener::Metrics:
        http.maxConnections = connectionLimit(limits, limits.metricsConnections, MetricsShare);
        break;
    }
    return http;
}

fabric::LinkLimits linkLimits(const Core &core)
{
    const ResourceLimits &limits = core.settings.limits;
    fabric::LinkLimits links;
    const bool isAgent = core.settings.role == directory::Role::Agent;
    links.maxConnections = connectionLimit(limits, limits.innerConnections,
                                           isAgent ? AgentInnerShare : InnerShare);
    links.introductionTimeout = IntroductionTimeout;
    links.memory = core.linkMemory;
    return links;
}

fabric::DialerSettings dialerSettings(const Core &core)
{
    fabric::DialerSettings settings;
    settings.limits = linkLimits(core);
    return settings;
}

// [SECTION] Listening

std::unique_ptr<fabric::Listener> listenForPeers(Core &core, fabric::Listener::Accepted onAccepted,
                                                 Error *reason)
{
    auto acceptor = fabric::listenAt(core.io, innerListenAddress(core.settings), reason,
                                     InnerReceiveBytes);
    if (!acceptor)
        return nullptr;
    auto listener = std::make_unique<fabric::Listener>(core.io, std::move(*acceptor),
                                                       linkLimits(core), std::move(onAccepted));
    core.listener = listener.get();
    return listener;
}

std::unique_ptr<fabric::HttpServer> serveHttp(Core &core, HttpListener listener,
                                              fabric::HttpServer::Handler handler, Error *reason)
{
    auto acceptor = fabric::listenAt(core.io, addressOf(core.settings, listener), reason,
                                     RequestReceiveBytes);
    if (!acceptor)
        return nullptr;
    auto server = std::make_unique<fabric::HttpServer>(core.io, std::move(*acceptor),
                                                       httpLimits(core.settings.limits, listener),
                                                       std::move(handler), core.requestMemory);
    core.servers.emplace_back(toString(listener), server.get());
    return server;
}

// [SECTION] Metrics

namespace {

struct HttpMetric
{
    const char *name;
    const char *help;
    std::uint64_t fabric::HttpCounters::*counter;
};

constexpr HttpMetric HttpMetrics[] = {
    { "foxwing_requests_oversized_total",
      "Requests refused because their header, trailers or body exceed a limit",
      &fabric::HttpCounters::oversized },
    { "foxwing_requests_out_of_memory_total",
      "Requests refused and answers cut off because all of them together held too much memory",
      &fabric::HttpCounters::outOfMemory },
    { "foxwing_connections_displaced_total",
      "Connections without a complete request closed to make room for new ones",
      &fabric::HttpCounters::displaced },
    { "foxwing_connections_refused_total",
      "Connections refused because all others had a complete request",
      &fabric::HttpCounters::refused },
    { "foxwing_connections_timed_out_total",
      "Connections closed because a request or the reading of an answer took too long",
      &fabric::HttpCounters::timedOut },
};

} // namespace

void addListenerSamples(const Core &core, std::vector<metrics::Sample> &samples)
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    const auto labelled = [](const char *name, const char *listener) {
        return std::string(name) + "{listener=\"" + listener + "\"}";
    };
    for (const HttpMetric &metric : HttpMetrics) {
        for (const auto &[listener, server] : core.servers)
            samples.push_back({ labelled(metric.name, listener), metric.help,
                                count(server->counters().*metric.counter) });
    }
    for (const auto &[listener, server] : core.servers)
        samples.push_back({ labelled("foxwing_connections", listener), "Open connections",
                            count(server->connections()), true });
    const auto gauge = [&](const char *name, const char *help, std::size_t value) {
        samples.push_back({ name, help, count(value), true });
    };
    gauge("foxwing_request_memory_bytes", "Held by HTTP requests and answers",
          core.requestMemory->held());
    gauge("foxwing_link_memory_bytes", "Held by connections within the fleet",
          core.linkMemory->held());
    samples.push_back({ "foxwing_links_evicted_total",
                        "Connections within the fleet closed because all held too much memory",
                        count(core.linkMemory->evictions()) });
    if (!core.listener)
        return;
    samples.push_back({ "foxwing_links_displaced_total",
                        "Connections closed that did not introduce themselves",
                        count(core.listener->displaced()) });
    samples.push_back({ "foxwing_links_refused_total",
                        "Connections refused at the limit of connections within the fleet",
                        count(core.listener->refused()) });
}

} // namespace foxwing::fleet
