/*
    Commands on the replicated state, and the sequence of views.

    [SECTION] Commands
    [SECTION] Snapshots
    [SECTION] Views
*/
#include <foxwing/control/cluster.h>

#include <algorithm>

namespace foxwing::control {

// [SECTION] Commands

ChangeResult applyCommand(ClusterState &cluster, const Command &command)
{
    if (const auto *declare = std::get_if<DeclareCommand>(&command))
        return applyChange(cluster.store, declare->change);
    const claims::View &view = std::get<ViewCommand>(command).view;
    if (claims::isNewer(view, cluster.view))
        cluster.view = view;
    return {};
}

// [SECTION] Snapshots

Json::Value saveCluster(const ClusterState &cluster)
{
    Json::Value json(Json::objectValue);
    json["store"] = saveStore(cluster.store);
    json["view"] = toJson(cluster.view);
    return json;
}

bool loadCluster(const Json::Value &json, ClusterState *cluster, Error *reason)
{
    ClusterState loaded;
    const bool ok = loadStore(json["store"], &loaded.store, reason)
            && fromJson(json["view"], &loaded.view, reason);
    if (ok)
        *cluster = std::move(loaded);
    return ok;
}

// [SECTION] Views

namespace {

bool survives(const claims::ShardBase &base, const claims::View &view)
{
    return std::any_of(base.replicas.begin(), base.replicas.end(),
                       [&](const claims::EntryIdentity &replica) {
                           return isMember(view, replica);
                       });
}

} // namespace

claims::View nextView(const claims::View &view, std::vector<claims::Member> members,
                      std::uint32_t replicaCount, std::int64_t lossCutoff)
{
    claims::View next = view;
    next.number = view.number + 1;
    next.update = 0;
    next.replicaCount = replicaCount;
    next.members = std::move(members);
    next.bases.resize(claims::ShardCount);
    for (claims::ShardBase &base : next.bases) {
        if (base.replicas.empty() || survives(base, next))
            continue;
        base.replicas.clear();
        base.lastActiveView = 0;
        base.lossCutoff = std::max(base.lossCutoff, lossCutoff);
    }
    return next;
}

claims::View activateShards(const claims::View &view, const std::vector<std::uint32_t> &shards)
{
    claims::View next = view;
    for (const std::uint32_t number : shards) {
        if (number >= next.bases.size() || next.bases[number].lastActiveView == view.number)
            continue;
        next.bases[number].replicas = claims::replicasOf(view, number);
        next.bases[number].lastActiveView = view.number;
        next.update = view.update + 1;
    }
    return next;
}

} // namespace foxwing::control
