/*
    Declared resources: a versioned store with watches.

    The store is a deterministic state machine: the same changes in the same order give the same
    store on every control host. Each accepted change gets the next revision of the whole store.

        ChangeResult result = applyChange(store, change);
        std::optional<std::vector<Resource>> missed = changesSince(store, revision, &reason);

    [SECTION] Types
    [SECTION] Store
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <foxwing/base/codec.h>

namespace foxwing::control {

// [SECTION] Types

// Identified by "kind/name"; the kinds are listed in validation.h.
struct Resource
{
    std::string kind;
    std::string name;

    // Number of changes of this resource, from 1
    std::uint64_t version = 0;

    // The store's revision at the last change of this resource
    std::uint64_t revision = 0;

    // What the operator declared, as JSON text
    std::string spec;
    bool deleted = false;
};
template<class Fields>
void describe(Fields &fields, Resource &resource)
{
    fields("kind", resource.kind);
    fields("name", resource.name);
    fields("version", resource.version);
    fields("revision", resource.revision);
    fields("spec", resource.spec);
    fields("deleted", resource.deleted);
}

// An operator's change. Accepted only if the resource still has the expected version.
struct ChangeRequest
{
    // Chosen by the operator; a change with an id that was seen before gets the first answer.
    std::string requestId;
    std::string kind;
    std::string name;
    std::string spec;
    bool remove = false;

    // 0 to create the resource; negative for no check of the version.
    std::int64_t expectedVersion = -1;
};
template<class Fields>
void describe(Fields &fields, ChangeRequest &change)
{
    fields("requestId", change.requestId);
    fields("kind", change.kind);
    fields("name", change.name);
    fields("spec", change.spec);
    fields("remove", change.remove);
    fields("expectedVersion", change.expectedVersion);
}

struct ChangeResult
{
    ErrorKind kind = ErrorKind::None;
    std::string message;
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
};
template<class Fields>
void describe(Fields &fields, ChangeResult &result)
{
    fields("kind", result.kind);
    fields("message", result.message);
    fields("version", result.version);
    fields("revision", result.revision);
}

// [SECTION] Store

// Changes retained for watches; a watcher that missed more must list the resources again.
constexpr std::size_t MaxRetainedChanges = 4096;

// Request ids retained for deduplication. A change that is resent after this many others is applied
// a second time, unless its expected version prevents that.
constexpr std::size_t MaxRetainedRequests = 8192;

struct AnsweredRequest
{
    std::string requestId;
    ChangeResult result;
};
template<class Fields>
void describe(Fields &fields, AnsweredRequest &request)
{
    fields("requestId", request.requestId);
    fields("result", request.result);
}

struct ResourceStore
{
    std::uint64_t revision = 0;

    // Existing resources by "kind/name"
    std::map<std::string, Resource> resources;

    // The last changes, oldest first, including deletions
    std::deque<Resource> changes;

    // Answered request ids, oldest first, and an index of them
    std::deque<AnsweredRequest> answered;
    std::unordered_map<std::string, ChangeResult> answeredById;
};

// [SECTION] Functions

std::string resourceKey(const std::string &kind, const std::string &name);

// Applies a validated change. Deterministic.
ChangeResult applyChange(ResourceStore &store, const ChangeRequest &change);

// All changes after a revision in order, or nothing with the reason if they are no longer retained.
std::optional<std::vector<Resource>> changesSince(const ResourceStore &store,
                                                  std::uint64_t revision, Error *reason);

// The whole store as JSON.
Json::Value saveStore(const ResourceStore &store);
bool loadStore(const Json::Value &json, ResourceStore *store, Error *reason);

} // namespace foxwing::control
