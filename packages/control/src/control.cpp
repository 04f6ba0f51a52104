/*
    Control: nodes' state, updates for them and new views.

    [SECTION] Nodes
    [SECTION] Updates
    [SECTION] Views
    [SECTION] Public functions
*/
#include <foxwing/control/control.h>
#include <foxwing/control/validation.h>

#include <algorithm>

namespace foxwing::control {

namespace {

// A longer gap between ticks means that this process was paused.
constexpr Milliseconds MaxTickGap { 500 };

// Changes in one update; the rest follows in the answers to the next heartbeats.
constexpr std::size_t MaxChangesPerUpdate = 200;

// [SECTION] Nodes

void markLost(ControlState &control, NodeRecord &node, Time now, WallTime wallNow)
{
    node.live = false;
    node.lostSince = now;
    node.lostAt = wallNow.time_since_epoch().count();
    ++control.agentsVersion;
}

// The process was restarted before the loss of its previous incarnation was detected.
void recordRestart(ControlState &control, NodeRecord &node, WallTime wallNow)
{
    ++control.counters.restarts;
    for (auto &team : control.shares.teams) {
        const auto share = team.second.find(node.last.id);
        if (share != team.second.end())
            share->second.reported.share = 0;
    }
    node.lostAt = wallNow.time_since_epoch().count();
    ++control.agentsVersion;
}

NodeRecord *updateNode(ControlState &control, const Heartbeat &heartbeat, Time now,
                       WallTime wallNow)
{
    const auto inserted = control.nodes.try_emplace(heartbeat.id);
    NodeRecord &node = inserted.first->second;
    const bool known = !inserted.second;
    if (known && heartbeat.incarnation < node.last.incarnation)
        return nullptr; // a late heartbeat of an earlier incarnation
    if (known && heartbeat.incarnation > node.last.incarnation)
        recordRestart(control, node, wallNow);
    if (!known || !node.live || heartbeat.address != node.last.address)
        ++control.agentsVersion;
    node.live = !heartbeat.leaving;
    node.last = heartbeat;
    node.lastReceivedAt = now;
    return &node;
}

void detectLostNodes(ControlState &control, Time now, WallTime wallNow)
{
    for (auto &item : control.nodes) {
        NodeRecord &node = item.second;
        if (!node.live || now < node.lastReceivedAt + control.settings.nodeTimeout)
            continue;
        ++control.counters.nodesLost;
        markLost(control, node, now, wallNow);
    }
}

void forgetLostNodes(ControlState &control, Time now)
{
    for (auto it = control.nodes.begin(); it != control.nodes.end();) {
        const bool expired = !it->second.live
                && now >= it->second.lostSince + control.settings.agentRetention;
        it = expired ? control.nodes.erase(it) : std::next(it);
    }
}

// While this process was paused it could not receive heartbeats: the pause does not count as
// silence of the nodes.
void compensatePause(ControlState &control, Time now)
{
    const Microseconds gap = control.hasTicked ? now - control.lastTickAt : Microseconds::zero();
    control.hasTicked = true;
    control.lastTickAt = now;
    if (gap < MaxTickGap)
        return;
    for (auto &item : control.nodes)
        item.second.lastReceivedAt += gap;
}

// [SECTION] Updates

bool isRelevant(const Heartbeat &heartbeat, const Resource &resource)
{
    return heartbeat.isEntry || (resource.kind == "service" && resource.name == heartbeat.service);
}

void addChanges(const ControlState &control, const Heartbeat &heartbeat, Update &update)
{
    const ResourceStore &store = control.cluster.store;
    update.revision = store.revision;
    if (heartbeat.revision == store.revision)
        return;
    Error ignored;
    const auto missed = changesSince(store, heartbeat.revision, &ignored);
    if (missed) {
        for (const Resource &change : *missed) {
            if (update.changes.size() == MaxChangesPerUpdate) {
                update.revision = change.revision - 1;
                return;
            }
            if (isRelevant(heartbeat, change))
                update.changes.push_back(change);
        }
        return;
    }
    update.reset = true;
    for (const auto &resource : store.resources) {
        if (isRelevant(heartbeat, resource.second))
            update.changes.push_back(resource.second);
    }
}

void addView(const ControlState &control, const Heartbeat &heartbeat, Update &update)
{
    const claims::View &view = control.cluster.view;
    claims::View nodeView;
    nodeView.number = heartbeat.view;
    nodeView.update = heartbeat.viewUpdate;
    if (!claims::isNewer(view, nodeView))
        return;
    update.view = view;
    // Only entries hold claims.
    if (!heartbeat.isEntry)
        update.view.bases.clear();
}

void addAgents(const ControlState &control, const Heartbeat &heartbeat, Update &update)
{
    update.agentsVersion = control.agentsVersion;
    if (!heartbeat.isEntry || heartbeat.agentsVersion == control.agentsVersion)
        return;
    update.hasAgents = true;
    update.agentsCompleteSince = control.agentsCompleteSince;
    for (const auto &item : control.nodes) {
        const NodeRecord &node = item.second;
        if (!node.last.isAgent)
            continue;
        update.agents.push_back(
                { item.first, node.last.address, node.last.service, node.lostAt, node.live });
    }
}

void refreshQuotas(ControlState &control)
{
    const ResourceStore &store = control.cluster.store;
    if (control.quotasRevision == store.revision)
        return;
    control.quotasRevision = store.revision;
    control.quotas.clear();
    Error ignored;
    for (auto it = store.resources.lower_bound("team/"); it != store.resources.end(); ++it) {
        if (it->second.kind != "team")
            break;
        const auto spec = parseTeamSpec(it->second.spec, &ignored);
        if (spec && spec->concurrency > 0)
            control.quotas.push_back({ it->second.name, spec->concurrency });
    }
}

// Applies the entry's reports, and adds the shares that differ from what it reported.
void addShares(ControlState &control, const Heartbeat &heartbeat, Time now, Update &update)
{
    if (!heartbeat.isEntry)
        return;
    refreshQuotas(control);
    applyShareReports(control.shares, heartbeat.id, heartbeat.shares, now);
    std::vector<std::string> entries;
    for (const claims::Member &member : control.cluster.view.members)
        entries.push_back(member.replica.id);
    for (ShareGrant &grant :
         grantShares(control.shares, heartbeat.id, entries, control.quotas, now)) {
        const EntryShare &share = control.shares.teams[grant.team][heartbeat.id];
        if (share.reported.share != grant.share || share.reported.team.empty())
            update.shares.push_back(std::move(grant));
    }
}

Update makeUpdate(const ControlState &control, const Heartbeat &heartbeat)
{
    Update update;
    update.from = control.settings.self;
    update.number = heartbeat.number;
    update.incarnation = heartbeat.incarnation;
    addChanges(control, heartbeat, update);
    addView(control, heartbeat, update);
    addAgents(control, heartbeat, update);
    return update;
}

// [SECTION] Views

std::vector<claims::Member> liveEntries(const ControlState &control)
{
    std::vector<claims::Member> members;
    for (const auto &item : control.nodes) {
        const Heartbeat &last = item.second.last;
        if (item.second.live && last.isEntry)
            members.push_back({ { last.id, last.incarnation }, last.address, last.dataCentre });
    }
    return members;
}

bool sameMembers(const std::vector<claims::Member> &left, const std::vector<claims::Member> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const claims::Member &a, const claims::Member &b) {
                          return a.replica == b.replica && a.address == b.address;
                      });
}

void proposeView(ControlState &control, claims::View view, ControlActions &actions)
{
    control.viewProposed = true;
    ++control.counters.views;
    actions.proposals.push_back(ViewCommand { std::move(view) });
}

void recordReadyShards(ControlState &control, const Heartbeat &heartbeat)
{
    if (heartbeat.view != control.cluster.view.number)
        return;
    for (const std::uint32_t number : heartbeat.readyShards) {
        if (number < claims::ShardCount)
            control.readyShards.insert(number);
    }
}

void proposeViews(ControlState &control, Time now, WallTime wallNow, ControlActions &actions)
{
    if (control.viewProposed)
        return;
    const claims::View &view = control.cluster.view;
    std::vector<claims::Member> members = liveEntries(control);
    if (!sameMembers(members, view.members) && now >= control.nextViewAt
        && now >= control.viewsAllowedAt) {
        const std::int64_t lossCutoff =
                (wallNow + control.settings.clockSkew).time_since_epoch().count();
        control.readyShards.clear();
        control.nextViewAt = now + control.settings.minViewInterval;
        return proposeView(control,
                           nextView(view, std::move(members), control.settings.replicaCount,
                                    lossCutoff),
                           actions);
    }
    if (control.readyShards.empty())
        return;
    const std::vector<std::uint32_t> shards(control.readyShards.begin(), control.readyShards.end());
    control.readyShards.clear();
    claims::View next = activateShards(view, shards);
    if (claims::isNewer(next, view))
        proposeView(control, std::move(next), actions);
}

} // namespace

// [SECTION] Public functions

ControlState makeControl(const ControlSettings &settings, ClusterState cluster, Time now,
                         WallTime wallNow)
{
    ControlState control;
    control.settings = settings;
    control.cluster = std::move(cluster);
    // Must differ from versions that previous leaders have sent.
    control.agentsVersion = static_cast<std::uint64_t>(wallNow.time_since_epoch().count());
    const WallTime since = wallNow + settings.configurationLease;
    if (!control.cluster.view.members.empty())
        control.agentsCompleteSince = since.time_since_epoch().count();
    control.shares.leaseDuration = settings.configurationLease + settings.nodeTimeout;
    if (!control.cluster.view.members.empty())
        control.shares.grantsAllowedAt = now + control.shares.leaseDuration;
    // After a restart the members of the last view need time for one heartbeat.
    if (!control.cluster.view.members.empty())
        control.viewsAllowedAt = now + settings.nodeTimeout;
    return control;
}

ControlActions handleHeartbeat(ControlState &control, const Heartbeat &heartbeat, Time now,
                               WallTime wallNow)
{
    ControlActions actions;
    ++control.counters.heartbeats;
    if (!updateNode(control, heartbeat, now, wallNow))
        return actions;
    recordReadyShards(control, heartbeat);
    proposeViews(control, now, wallNow, actions);
    Update update = makeUpdate(control, heartbeat);
    addShares(control, heartbeat, now, update);
    control.counters.changesSent += update.changes.size();
    actions.sends.push_back({ heartbeat.id, std::move(update) });
    return actions;
}

ChangeResult committed(ControlState &control, const Command &command)
{
    const std::uint64_t number = control.cluster.view.number;
    ChangeResult result = applyCommand(control.cluster, command);
    if (std::holds_alternative<ViewCommand>(command))
        control.viewProposed = false;
    // Readiness of shards in the previous view does not apply to this one.
    if (control.cluster.view.number != number)
        control.readyShards.clear();
    return result;
}

ControlActions tick(ControlState &control, Time now, WallTime wallNow)
{
    ControlActions actions;
    compensatePause(control, now);
    detectLostNodes(control, now, wallNow);
    forgetLostNodes(control, now);
    proposeViews(control, now, wallNow, actions);
    return actions;
}

RolloutStatus rolloutStatus(const ControlState &control, std::uint64_t revision)
{
    RolloutStatus status;
    status.revision = revision;
    for (const auto &item : control.nodes) {
        if (!item.second.live)
            continue;
        ++status.nodes;
        if (item.second.last.revision < revision)
            status.lagging.push_back(item.first);
    }
    return status;
}

} // namespace foxwing::control
