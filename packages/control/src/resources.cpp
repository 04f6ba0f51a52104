/*
    The store of declared resources.

    [SECTION] Functions
*/
#include <foxwing/control/resources.h>

namespace foxwing::control {

// [SECTION] Functions

std::string resourceKey(const std::string &kind, const std::string &name)
{
    return kind + "/" + name;
}

namespace {

ChangeResult reject(ErrorKind kind, std::string message, std::uint64_t version)
{
    return { kind, std::move(message), version, 0 };
}

// Applies a change whose request id was not seen before.
ChangeResult applyNew(ResourceStore &store, const ChangeRequest &change)
{
    const std::string key = resourceKey(change.kind, change.name);
    const auto found = store.resources.find(key);
    const std::uint64_t currentVersion = found == store.resources.end() ? 0 : found->second.version;
    if (change.remove && currentVersion == 0)
        return reject(ErrorKind::NotFound, key + " does not exist; nothing was deleted", 0);
    const bool versionGiven = change.expectedVersion >= 0;
    if (versionGiven && static_cast<std::uint64_t>(change.expectedVersion) != currentVersion)
        return reject(ErrorKind::StaleVersion,
                      key + " is at version " + std::to_string(currentVersion)
                              + "; show it, merge your change and apply again",
                      currentVersion);
    Resource resource;
    resource.kind = change.kind;
    resource.name = change.name;
    resource.version = currentVersion + 1;
    resource.revision = ++store.revision;
    resource.spec = change.spec;
    resource.deleted = change.remove;
    store.changes.push_back(resource);
    if (store.changes.size() > MaxRetainedChanges)
        store.changes.pop_front();
    if (change.remove)
        store.resources.erase(found);
    else
        store.resources[key] = resource;
    return { ErrorKind::None, {}, resource.version, resource.revision };
}

void rememberResult(ResourceStore &store, const std::string &requestId, const ChangeResult &result)
{
    store.answered.push_back({ requestId, result });
    store.answeredById[requestId] = result;
    if (store.answered.size() <= MaxRetainedRequests)
        return;
    store.answeredById.erase(store.answered.front().requestId);
    store.answered.pop_front();
}

} // namespace

ChangeResult applyChange(ResourceStore &store, const ChangeRequest &change)
{
    if (change.requestId.empty())
        return applyNew(store, change);
    const auto answered = store.answeredById.find(change.requestId);
    if (answered != store.answeredById.end())
        return answered->second;
    ChangeResult result = applyNew(store, change);
    rememberResult(store, change.requestId, result);
    return result;
}

std::optional<std::vector<Resource>> changesSince(const ResourceStore &store,
                                                  std::uint64_t revision, Error *reason)
{
    const std::uint64_t oldest = store.changes.empty() ? store.revision + 1
                                                       : store.changes.front().revision;
    if (revision > store.revision)
        return fail(reason, ErrorKind::BadRequest,
                    "revision " + std::to_string(revision)
                            + " is in the future; list the resources and watch from there");
    if (revision + 1 < oldest)
        return fail(reason, ErrorKind::Expired,
                    "changes since revision " + std::to_string(revision)
                            + " are no longer available; list the resources and watch from there");
    std::vector<Resource> missed;
    for (const Resource &change : store.changes) {
        if (change.revision > revision)
            missed.push_back(change);
    }
    return missed;
}

Json::Value saveStore(const ResourceStore &store)
{
    Json::Value json(Json::objectValue);
    json["revision"] = static_cast<Json::UInt64>(store.revision);
    json["resources"] = Json::Value(Json::arrayValue);
    json["changes"] = Json::Value(Json::arrayValue);
    json["answered"] = Json::Value(Json::arrayValue);
    for (const auto &resource : store.resources)
        json["resources"].append(toJson(resource.second));
    for (const Resource &change : store.changes)
        json["changes"].append(toJson(change));
    for (const AnsweredRequest &request : store.answered)
        json["answered"].append(toJson(request));
    return json;
}

bool loadStore(const Json::Value &json, ResourceStore *store, Error *reason)
{
    ResourceStore loaded;
    JsonReader reader(json, {}, reason);
    std::vector<Resource> resources;
    std::vector<Resource> changes;
    std::vector<AnsweredRequest> answered;
    reader("revision", loaded.revision);
    reader("resources", resources);
    reader("changes", changes);
    reader("answered", answered);
    if (!reader.ok())
        return false;
    for (Resource &resource : resources)
        loaded.resources[resourceKey(resource.kind, resource.name)] = std::move(resource);
    loaded.changes.assign(changes.begin(), changes.end());
    for (AnsweredRequest &request : answered)
        rememberResult(loaded, request.requestId, request.result);
    *store = std::move(loaded);
    return true;
}

} // namespace foxwing::control
