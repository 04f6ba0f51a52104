/*
    The declared configuration as a whole: queues, services and limits under one version.

    Operators replace it as a whole. The highest version is in effect; a lower or equal one changes
    nothing. Control stores the text as it was sent along with the decoded form, so that a reader
    gets back exactly what was accepted.

        Error reason;
        if (!validate(catalog, &reason))
            ... reject with reason ...
        if (supersedes(current, received))
            current = received;

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

// A queue that accepts a team's jobs, with its service level.
struct QueueDeclaration
{
    std::string name;

    // A request goes to the queue that has its host and the longest matching prefix of its path.
    std::string host;
    std::string prefix;

    // The service whose endpoints run the tasks
    std::string service;

    // Lower values rank first.
    std::uint32_t priority = 0;

    // A task that fails this many times fails its job.
    std::uint32_t maxAttempts = 1;

    // A job is on time if it completes within stretch times its critical path plus targetLatency.
    double stretch = 1.0;
    Milliseconds targetLatency { 0 };

    // A job that has not started within this time is abandoned.
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

    // Connections that one endpoint accepts in total, over all its callers
    std::uint32_t maxConnections = 0;

    // Whether endpoints reject a start that exceeds their capacity; if not, only foxwing tracks it.
    bool enforcesCapacity = false;
};
template<class Fields>
void describe(Fields &fields, ServiceDeclaration &service)
{
    fields("name", service.name);
    fields("mostConnections", service.maxConnections);
    fields("refusesExcess", service.enforcesCapacity);
}

// Limits of callers' requests and connections.
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
    // 0: nothing is declared yet.
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

// A catalog with the text that the operator sent.
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

// False with the reason if the catalog is inconsistent: no version, a queue with an undeclared
// service, an invalid prefix or no timeout, two queues with one host and prefix, a duplicate name.
bool validate(const Catalog &catalog, Error *reason);

// Whether the received catalog replaces the current one.
bool supersedes(const Catalog &current, const Catalog &received);

// The queue with this host and the longest prefix of the path; null if there is none.
const QueueDeclaration *findQueue(const Catalog &catalog, const std::string &host,
                                  const std::string &path);

// Whether any queue sends its tasks to endpoints of this service.
bool usesService(const Catalog &catalog, const std::string &service);

} // namespace foxwing::catalog
