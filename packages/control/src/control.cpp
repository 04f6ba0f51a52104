/*
    Control: nodes' state, updates for them and new views.

    [SECTION] Nodes
    [SECTION] Updates
    [SECTION] Views
    [SECTION] Entry points
*/
#include <foxwing/control/control.h>
#include <foxwing/control/validation.h>

#include <algorithm>

namespace foxwing::control {

namespace {

// A longer gap between ticks means that this process was paused.
constexpr Milliseconds LongestTickGap { 500 };

// Changes in one update; the rest follows in the answers to the next heartbeats.
constexpr std::size_t ChangesInUpdate = 200;

// [SECTION] Nodes

void endLife(ControlState &control, NodeRecord &node, Time now, WallTime wallNow)
{
    node.live = false;
    node.deadSince = now;
    node.lostAt = wallNow.time_since_epoch().count();
    ++control.agentsVersion;
}

// The process was restarted before the loss of its previous incarnation was detected.
void noteRestart(ControlState &control, NodeRecord &node, WallTime wallNow)
{
    ++control.counters.restarts;
    for (auto &team : control.shares.teams) {
        const auto held = team.second.find(node.last.id);
        if (held != team.second.end())
            held->second.reported.share = 0;
    }
    node.lostAt = wallNow.time_since_epoch().count();
    ++control.agentsVersion;
}

NodeRecord *takeBeat(ControlState &control, const Heartbeat &beat, Time now, WallTime wallNow)
{
    const auto inserted = control.nodes.try_emplace(beat.id);
    NodeRecord &node = inserted.first->second;
    const bool known = !inserted.second;
    if (known && beat.incarnation < node.last.incarnation)
        return nullptr; // a late heartbeat of an earlier incarnation
    if (known && beat.incarnation > node.last.incarnation)
        noteRestart(control, node, wallNow);
    if (!known || !node.live || beat.address != node.last.address)
        ++control.agentsVersion;
    node.live = !beat.leaving;
    node.last = beat;
    node.lastReceivedAt = now;
    return &node;
}

void buryDead(ControlState &control, Time now, WallTime wallNow)
{
    for (auto &entry : control.nodes) {
        NodeRecord &node = entry.second;
        if (!node.live || now < node.lastReceivedAt + control.settings.nodeTimeout)
            continue;
        ++control.counters.nodesLost;
        endLife(control, node, now, wallNow);
    }
}

void forgetDead(ControlState &control, Time now)
{
    for (auto it = control.nodes.begin(); it != control.nodes.end();) {
        const bool old = !it->second.live
                && now >= it->second.deadSince + control.settings.agentRetention;
        it = old ? control.nodes.erase(it) : std::next(it);
    }
}

// While this process was paused it could not receive heartbeats: the pause does not count as
// silence of the nodes.
void forgivePause(ControlState &control, Time now)
{
    const Microseconds gap = control.ticked ? now - control.lastTick : Microseconds::zero();
    control.ticked = true;
    control.lastTick = now;
    if (gap < LongestTickGap)
        return;
    for (auto &entry : control.nodes)
        entry.second.lastReceivedAt += gap;
}

// [SECTION] Updates

bool wants(const Heartbeat &beat, const Resource &resource)
{
    return beat.isEntry || (resource.kind == "service" && resource.name == beat.service);
}

void addChanges(const ControlState &control, const Heartbeat &beat, Update &update)
{
    const ResourceStore &store = control.cluster.store;
    update.revision = store.revision;
    if (beat.revision == store.revision)
        return;
    Error ignored;
    const auto missed = changesSince(store, beat.revision, &ignored);
    if (missed) {
        for (const Resource &change : *missed) {
            if (update.changes.size() == ChangesInUpdate) {
                update.revision = change.revision - 1;
                return;
            }
            if (wants(beat, change))
                update.changes.push_back(change);
        }
        return;
    }
    update.reset = true;
    for (const auto &resource : store.resources) {
        if (wants(beat, resource.second))
            update.changes.push_back(resource.second);
    }
}

void addView(const ControlState &control, const Heartbeat &beat, Update &update)
{
    const claims::View &view = control.cluster.view;
    claims::View held;
    held.number = beat.view;
    held.update = beat.viewUpdate;
    if (!claims::isNewer(view, held))
        return;
    update.view = view;
    // Only entries hold claims.
    if (!beat.isEntry)
        update.view.bases.clear();
}

void addAgents(const ControlState &control, const Heartbeat &beat, Update &update)
{
    update.agentsVersion = control.agentsVersion;
    if (!beat.isEntry || beat.agentsVersion == control.agentsVersion)
        return;
    update.hasAgents = true;
    update.agentsCompleteSince = control.agentsCompleteSince;
    for (const auto &entry : control.nodes) {
        const NodeRecord &node = entry.second;
        if (!node.last.isAgent)
            continue;
        update.agents.push_back(
                { entry.first, node.last.address, node.last.service, node.lostAt, node.live });
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
void addShares(ControlState &control, const Heartbeat &beat, Time now, Update &update)
{
    if (!beat.isEntry)
        return;
    refreshQuotas(control);
    applyShareReports(control.shares, beat.id, beat.shares, now);
    std::vector<std::string> entries;
    for (const claims::Member &member : control.cluster.view.members)
        entries.push_back(member.replica.id);
    for (ShareGrant &grant : grantShares(control.shares, beat.id, entries, control.quotas, now)) {
        const EntryShare &held = control.shares.teams[grant.team][beat.id];
        if (held.reported.share != grant.share || held.reported.team.empty())
            update.shares.push_back(std::move(grant));
    }
}

Update makeUpdate(const ControlState &control, const Heartbeat &beat)
{
    Update update;
    update.from = control.settings.self;
    update.number = beat.number;
    update.incarnation = beat.incarnation;
    addChanges(control, beat, update);
    addView(control, beat, update);
    addAgents(control, beat, update);
    return update;
}

// [SECTION] Views

std::vector<claims::Member> liveEntries(const ControlState &control)
{
    std::vector<claims::Member> members;
    for (const auto &entry : control.nodes) {
        const Heartbeat &last = entry.second.last;
        if (entry.second.live && last.isEntry)
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

void takeReadyShards(ControlState &control, const Heartbeat &beat)
{
    if (beat.view != control.cluster.view.number)
        return;
    for (const std::uint32_t number : beat.readyShards) {
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

// [SECTION] Entry points

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

ControlActions handleHeartbeat(ControlState &control, const Heartbeat &beat, Time now,
                               WallTime wallNow)
{
    ControlActions actions;
    ++control.counters.heartbeats;
    if (!takeBeat(control, beat, now, wallNow))
        return actions;
    takeReadyShards(control, beat);
    proposeViews(control, now, wallNow, actions);
    Update update = makeUpdate(control, beat);
    addShares(control, beat, now, update);
    control.counters.changesSent += update.changes.size();
    actions.sends.push_back({ beat.id, std::move(update) });
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
    forgivePause(control, now);
    buryDead(control, now, wallNow);
    forgetDead(control, now);
    proposeViews(control, now, wallNow, actions);
    return actions;
}

RolloutStatus rolloutStatus(const ControlState &control, std::uint64_t revision)
{
    RolloutStatus state;
    state.revision = revision;
    for (const auto &entry : control.nodes) {
        if (!entry.second.live)
            continue;
        ++state.nodes;
        if (entry.second.last.revision < revision)
            state.lagging.push_back(entry.first);
    }
    return state;
}

} // namespace foxwing::control
