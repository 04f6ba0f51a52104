/*
    Declared resources: a versioned store with watches.

    The store is a deterministic state machine: the same changes in the same order give the same
    store on every control host. Each accepted change gets the next revision of the whole store.

        ChangeResult result = applyChange(store, change);
        std::optional<std::vector<Change>> missed = changesSince(store, revision, &reason);

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

// "kind/name" names a resource; the kinds are listed in validation.h.
struct Resource
{
    std::string kind;
    std::string name;

    // Counts the changes of this resource, from 1.
    std::uint64_t version = 0;

    // The store's revision at its last change.
    std::uint64_t revision = 0;

    // What the operator declared, as JSON text.
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

// An operator's change. Accepted only if the resource has the version that the operator saw.
struct ChangeRequest
{
    // The operator's own id of this change: the same id again gets the first answer again.
    std::string requestId;
    std::string kind;
    std::string name;
    std::string spec;
    bool remove = false;

    // 0 to create; without the check if it is negative.
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

// Changes kept for watchers; one that missed more must list anew.
constexpr std::size_t MaxRetainedChanges = 4096;

// Request ids kept; a change resent after this many others is made a second time, unless its
// version says that it was made.
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

    // Present resources by "kind/name".
    std::map<std::string, Resource> resources;

    // The newest changes, oldest first, deletions included.
    std::deque<Resource> changes;

    // Answered request ids, oldest first, and where to find them.
    std::deque<AnsweredRequest> answered;
    std::unordered_map<std::string, ChangeResult> answeredById;
};

// [SECTION] Functions

std::string resourceKey(const std::string &kind, const std::string &name);

// Applies a change that was validated. Deterministic.
ChangeResult applyChange(ResourceStore &store, const ChangeRequest &change);

// All changes after a revision in order, or nothing with the reason if they are no longer kept.
std::optional<std::vector<Resource>> changesSince(const ResourceStore &store,
                                                  std::uint64_t revision, Error *reason);

// The whole store as JSON, and back.
Json::Value saveStore(const ResourceStore &store);
bool loadStore(const Json::Value &json, ResourceStore *store, Error *reason);

} // namespace foxwing::control
