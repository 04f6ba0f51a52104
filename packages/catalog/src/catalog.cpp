/*
    Validation and lookup.

    [SECTION] Validation
    [SECTION] Lookup
*/
#include <foxwing/catalog/catalog.h>

#include <algorithm>
#include <set>

namespace foxwing::catalog {

// [SECTION] Validation

namespace {

bool reject(Error *reason, const std::string &message)
{
    fail(reason, ErrorKind::BadRequest, message);
    return false;
}

bool checkServices(const Catalog &catalog, std::set<std::string> &names, Error *reason)
{
    for (const ServiceDeclaration &service : catalog.services) {
        if (service.name.empty())
            return reject(reason, "a service has no name; give it one");
        if (!names.insert(service.name).second)
            return reject(reason, "service " + service.name + " is declared twice; remove one");
    }
    return true;
}

bool checkQueue(const QueueDeclaration &queue, const std::set<std::string> &services, Error *reason)
{
    const std::string label = "queue " + queue.name;
    if (queue.name.empty())
        return reject(reason, "a queue has no name; give it one");
    if (queue.prefix.empty() || queue.prefix.front() != '/')
        return reject(reason, label + " needs a prefix that begins with \"/\"");
    if (services.count(queue.service) == 0)
        return reject(reason,
                      label + " names the service \"" + queue.service
                              + "\", which is not declared; declare it or name another");
    if (queue.timeout.count() <= 0)
        return reject(reason, label + " needs a timeout above zero");
    return true;
}

} // namespace

bool validate(const Catalog &catalog, Error *reason)
{
    if (catalog.version == 0)
        return reject(reason, "the version must be a whole number above zero");
    std::set<std::string> services;
    if (!checkServices(catalog, services, reason))
        return false;
    std::set<std::string> names;
    std::set<std::string> routes;
    for (const QueueDeclaration &queue : catalog.queues) {
        if (!checkQueue(queue, services, reason))
            return false;
        if (!names.insert(queue.name).second)
            return reject(reason, "queue " + queue.name + " is declared twice; rename one");
        if (!routes.insert(queue.host + queue.prefix).second)
            return reject(reason,
                          "queue " + queue.name
                                  + " has the host and prefix of another queue; "
                                    "change one of the two");
    }
    return true;
}

bool supersedes(const Catalog &current, const Catalog &received)
{
    return received.version > current.version;
}

// [SECTION] Lookup

const QueueDeclaration *findQueue(const Catalog &catalog, const std::string &host,
                                  const std::string &path)
{
    const QueueDeclaration *best = nullptr;
    for (const QueueDeclaration &queue : catalog.queues) {
        if (queue.host != host || path.compare(0, queue.prefix.size(), queue.prefix) != 0)
            continue;
        if (!best || queue.prefix.size() > best->prefix.size())
            best = &queue;
    }
    return best;
}

bool usesService(const Catalog &catalog, const std::string &service)
{
    return std::any_of(catalog.queues.begin(), catalog.queues.end(),
                       [&](const QueueDeclaration &queue) { return queue.service == service; });
}

} // namespace foxwing::catalog
