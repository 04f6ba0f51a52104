/*
    The replicated state of control: declared resources and the view of the entries.

    All state that must survive a restart or a change of leader is in ClusterState. It changes only
    by commands, applied in the order of the consensus group's log.

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

// A newer view, computed by the leader.
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

// Applies the next command of the log. Deterministic. The result is empty except for
// DeclareCommand.
ChangeResult applyCommand(ClusterState &cluster, const Command &command);

// Snapshot as JSON.
Json::Value saveCluster(const ClusterState &cluster);
bool loadCluster(const Json::Value &json, ClusterState *cluster, Error *reason);

// The next view, with these members. Shard bases carry over; a shard that lost all replicas of its
// base starts empty, with a loss cutoff.
claims::View nextView(const claims::View &view, std::vector<claims::Member> members,
                      std::uint32_t replicaCount, std::int64_t lossCutoff);

// The same view with these shards marked active as well. No change for shards already active.
claims::View activateShards(const claims::View &view, const std::vector<std::uint32_t> &shards);

} // namespace foxwing::control
