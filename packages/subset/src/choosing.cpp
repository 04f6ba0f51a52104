/*
    Chooses the subset: its size, its agents, and the resulting changes to sessions.

    [SECTION] Size
    [SECTION] Choice
    [SECTION] Changes
*/
#include <foxwing/subset/subset.h>

#include <algorithm>

namespace foxwing::subset {

namespace {

using RankedAgents = std::vector<ListedAgent *>;

// Interval between choices without new input, which only apply timeouts of agents.
constexpr Milliseconds RecheckInterval { 100 };

// [SECTION] Size

std::uint32_t entryCount(const SubsetState &subset)
{
    std::uint32_t entries = 1;
    for (const auto &[host, reported] : subset.entryCounts)
        entries = std::max(entries, reported);
    return entries;
}

std::size_t usualSize(const SubsetState &subset)
{
    const std::size_t entries = entryCount(subset);
    const std::size_t sessions = subset.settings.entriesPerAgent * subset.agents.size();
    return std::max(subset.settings.minSize, (sessions + entries - 1) / entries);
}

std::size_t stepSize(const SubsetState &subset)
{
    return std::max<std::size_t>(1, subset.settings.minSize * subset.settings.stepPercent / 100);
}

// Adds a growth step while work finds no capacity, and removes one when none has been requested for
// a while.
void adjustGrowth(SubsetState &subset, std::size_t usual, Time now)
{
    const SubsetSettings &settings = subset.settings;
    const std::size_t maximum = usual * (settings.maxGrowth - 1) / stepSize(subset);
    const bool requested = subset.growthRequestedAt != Time {}
            && now < subset.growthRequestedAt + settings.growInterval;
    if (requested && subset.growthSteps < maximum
        && now >= subset.resizedAt + settings.growInterval) {
        ++subset.growthSteps;
    } else if (!requested && subset.growthSteps > 0
               && now >= subset.growthRequestedAt + settings.shrinkInterval
               && now >= subset.resizedAt + settings.shrinkInterval) {
        --subset.growthSteps;
        subset.resizedAt = now;
    }
}

void adjustSize(SubsetState &subset, Time now)
{
    const std::size_t usual = usualSize(subset);
    adjustGrowth(subset, usual, now);
    const std::size_t target = usual + subset.growthSteps * stepSize(subset);
    if (target <= subset.size) {
        subset.size = target;
        return;
    }
    if (now < subset.resizedAt + subset.settings.growInterval)
        return;
    subset.size = std::min(target, subset.size + stepSize(subset));
    subset.resizedAt = now;
}

// [SECTION] Choice

bool isUnreachable(const SubsetState &subset, const ListedAgent &agent, Time now)
{
    return agent.hasSession && !agent.connected
            && now >= agent.disconnectedSince + subset.settings.replaceAfter;
}

// Agents that may accept work, by service and then by rank.
std::map<std::string, RankedAgents> rankAgents(SubsetState &subset)
{
    std::map<std::string, RankedAgents> services;
    for (auto &[address, agent] : subset.agents) {
        if (!catalog::isCordoned(subset.cordons, agent.node.dataCentre))
            services[agent.node.service].push_back(&agent);
    }
    for (auto &[service, agents] : services)
        std::sort(agents.begin(), agents.end(), ranksBefore);
    return services;
}

// Chooses agents in order until `target` reachable ones are chosen, but at most `maximum` in total:
// if a whole data centre is unreachable, not all of its agents are tried.
std::size_t chooseFrom(const SubsetState &subset, const RankedAgents &agents, std::size_t target,
                       std::size_t maximum, Time now, std::set<ListedAgent *> &chosen)
{
    std::size_t reachable = 0;
    std::size_t tried = 0;
    for (ListedAgent *agent : agents) {
        if (reachable >= target || tried >= maximum)
            break;
        if (!chosen.insert(agent).second)
            continue;
        ++tried;
        reachable += isUnreachable(subset, *agent, now) ? 0 : 1;
    }
    return reachable;
}

void chooseForService(const SubsetState &subset, const RankedAgents &agents, Time now,
                      std::set<ListedAgent *> &chosen)
{
    const std::size_t size = subset.size;
    if (agents.size() * 100 <= size * subset.settings.wholePercent) {
        chosen.insert(agents.begin(), agents.end());
        return;
    }
    RankedAgents local;
    RankedAgents remote;
    for (ListedAgent *agent : agents)
        (agent->node.dataCentre == subset.dataCentre ? local : remote).push_back(agent);
    const std::size_t localTarget = size * subset.settings.localPercent / 100;
    std::size_t reachable = chooseFrom(subset, local, localTarget, localTarget, now, chosen);
    reachable += chooseFrom(subset, remote, size - reachable, size, now, chosen);
    if (reachable < size)
        chooseFrom(subset, local, size - reachable, size, now, chosen);
}

std::set<ListedAgent *> chooseAgents(SubsetState &subset, Time now)
{
    std::set<ListedAgent *> chosen;
    for (const auto &[service, agents] : rankAgents(subset))
        chooseForService(subset, agents, now, chosen);
    for (auto &[address, agent] : subset.agents) {
        if (now < agent.requiredUntil)
            chosen.insert(&agent);
        else
            agent.requiredUntil = Time {};
    }
    return chosen;
}

// [SECTION] Changes

void markChosen(const std::string &address, ListedAgent &agent, Time now, SubsetChanges &changes)
{
    agent.surplus = false;
    if (agent.hasSession)
        return;
    agent.hasSession = true;
    agent.disconnectedSince = now;
    changes.added.push_back(address);
}

void markNotChosen(const SubsetState &subset, const std::string &address, ListedAgent &agent,
                   Time now, SubsetChanges &changes)
{
    if (!agent.hasSession)
        return;
    if (!agent.surplus) {
        agent.surplus = true;
        agent.surplusSince = now;
    }
    if (now >= agent.surplusSince + subset.settings.surplusRetention)
        changes.surplus.push_back(address);
}

// Number of entries that use each of this entry's agents, on average.
std::uint32_t countSharingEntries(const SubsetState &subset)
{
    const std::size_t entries = entryCount(subset);
    const std::size_t sessions = sessionCount(subset);
    const std::size_t agents = subset.agents.size();
    if (sessions == 0 || sessions >= agents)
        return static_cast<std::uint32_t>(entries);
    return static_cast<std::uint32_t>(
            std::max<std::size_t>(1, (entries * sessions + agents / 2) / agents));
}

} // namespace

SubsetChanges choose(SubsetState &subset, Time now)
{
    SubsetChanges changes;
    if (!subset.changed && now < subset.chosenAt + RecheckInterval)
        return changes;
    subset.chosenAt = now;
    subset.changed = false;
    adjustSize(subset, now);
    const std::set<ListedAgent *> chosen = chooseAgents(subset, now);
    for (auto item = subset.agents.begin(); item != subset.agents.end();) {
        auto &[address, agent] = *item;
        if (agent.listedBy.empty() && !agent.connected) {
            if (agent.hasSession)
                changes.removed.push_back(address);
            item = subset.agents.erase(item);
            continue;
        }
        if (chosen.count(&agent) != 0)
            markChosen(address, agent, now, changes);
        else
            markNotChosen(subset, address, agent, now, changes);
        ++item;
    }
    subset.sharingEntries = countSharingEntries(subset);
    return changes;
}

} // namespace foxwing::subset
