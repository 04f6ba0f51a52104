/*
    The declared configuration as a whole: queues, services and limits under one version.

    Operators replace it in one piece. The highest version holds; a lower or equal one changes
    nothing. Control keeps the text as it was sent beside the decoded form, so that a reader gets
    back exactly what was accepted.

        Error reason;
        if (!validate(catalog, &reason))
            ... refuse with reason ...
        if (supersedes(held, declared))
            held = declared;

    [SECTION] Declarations
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::catalog {

// [SECTION] Declarations

// Where a team's jobs come in, and what was promised for them.
struct QueueDeclaration
{
    std::string name;

    // Callers name the queue by the host they address and the beginning of the path.
    std::string host;
    std::string prefix;

    // The service whose endpoints run its tasks
    std::string service;

    // 0 goes first.
    std::uint32_t priority = 0;

    // A task that failed this often fails its job.
    std::uint32_t maxAttempts = 1;

    // A job is on time within stretch times its longest chain of work, plus the target latency.
    double stretch = 1.0;
    Milliseconds targetLatency { 0 };

    // A job that has not begun after this long is given up.
    Milliseconds timeout { 0 };
};
template<class Fields>
void describe(Fields &fields, QueueDeclaration &queue)
{
    fields("name", queue.name);
    fields("host", queue.host);
    fields("prefix", queue.prefix);
    fields("service", queue.service);
    fields("priority", queue.priority);
    fields("attempts", queue.maxAttempts);
    fields("stretch", queue.stretch);
    fields("targetLatency", queue.targetLatency);
    fields("timeout", queue.timeout);
}

// A pool of endpoints that run the same work.
struct ServiceDeclaration
{
    std::string name;

    // Connections that one endpoint takes from all callers together
    std::uint32_t maxConnections = 0;

    // Endpoints refuse a start that does not fit; where false, only foxwing keeps their room.
    bool enforcesCapacity = false;
};
template<class Fields>
void describe(Fields &fields, ServiceDeclaration &service)
{
    fields("name", service.name);
    fields("mostConnections", service.maxConnections);
    fields("refusesExcess", service.enforcesCapacity);
}

// What a caller's request may measure.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 262144;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };
};
template<class Fields>
void describe(Fields &fields, CallerLimits &limits)
{
    fields("headerBytes", limits.headerBytes);
    fields("bodyBytes", limits.bodyBytes);
    fields("headerTimeout", limits.headerTimeout);
    fields("idleTimeout", limits.idleTimeout);
}

struct Catalog
{
    // 0: nothing was declared yet.
    std::uint64_t version = 0;
    std::vector<QueueDeclaration> queues;
    std::vector<ServiceDeclaration> services;
    CallerLimits limits;
};
template<class Fields>
void describe(Fields &fields, Catalog &catalog)
{
    fields("version", catalog.version);
    fields("queues", catalog.queues);
    fields("services", catalog.services);
    fields("limits", catalog.limits);
}

// A catalog with the operator's own text.
struct DeclaredCatalog
{
    static constexpr const char *Type = "declared-catalog";
    Catalog catalog;
    std::string text;
};
template<class Fields>
void describe(Fields &fields, DeclaredCatalog &declared)
{
    fields("catalog", declared.catalog);
    fields("text", declared.text);
}

// [SECTION] Functions

// False with the reason if the catalog contradicts itself: a queue whose service is not declared,
// two queues at one place, a timeout of zero, a name twice.
bool validate(const Catalog &catalog, Error *reason);

// Whether one that was sent takes the place of the one that holds.
bool supersedes(const Catalog &held, const Catalog &sent);

// The queue with that host and the longest prefix that the path begins with; null if none has.
const QueueDeclaration *findQueue(const Catalog &catalog, const std::string &host,
                                  const std::string &path);

// Whether a queue sends its tasks to endpoints of this service.
bool usesService(const Catalog &catalog, const std::string &service);

} // namespace foxwing::catalog
