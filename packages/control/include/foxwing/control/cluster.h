/*
    The replicated state of control: declared resources and the view of the entries.

    Everything that must survive is in here and changes only by commands, in the order in which the
    journal holds them.

    [SECTION] Commands
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <variant>

#include <foxwing/claims/view.h>
#include <foxwing/control/resources.h>

namespace foxwing::control {

// [SECTION] Commands

struct DeclareCommand
{
    static constexpr const char *Type = "declare";
    ChangeRequest change;
};
template<class Fields>
void describe(Fields &fields, DeclareCommand &command)
{
    fields("change", command.change);
}

// A newer view, worked out by the leader.
struct ViewCommand
{
    static constexpr const char *Type = "view";
    claims::View view;
};
template<class Fields>
void describe(Fields &fields, ViewCommand &command)
{
    fields("view", command.view);
}

using Command = std::variant<DeclareCommand, ViewCommand>;

// [SECTION] State

struct ClusterState
{
    ResourceStore store;
    claims::View view;
};

// [SECTION] Functions

// Applies the next command of the journal. Deterministic; the result is empty but for declarations.
ChangeResult applyCommand(ClusterState &cluster, const Command &command);

// A snapshot and back.
Json::Value saveCluster(const ClusterState &cluster);
bool loadCluster(const Json::Value &json, ClusterState *cluster, Error *reason);

// The view that follows with these members: the bases move on, and a shard that lost all replicas
// of its base starts empty with a floor.
claims::View nextView(const claims::View &view, std::vector<claims::Member> members,
                      std::uint32_t replicaCount, std::int64_t lossCutoff);

// The same view with more shards in service. Shards that are so already are left alone.
claims::View activateShards(const claims::View &view, const std::vector<std::uint32_t> &shards);

} // namespace foxwing::control
