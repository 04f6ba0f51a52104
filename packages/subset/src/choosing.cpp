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

using Ranked = std::vector<ListedAgent *>;

// Between choices without new input, which only handle expired times of agents.
constexpr Milliseconds LookInterval { 100 };

// [SECTION] Size

std::uint32_t countedEntries(const SubsetState &subset)
{
    std::uint32_t entries = 1;
    for (const auto &[host, counted] : subset.entriesBy)
        entries = std::max(entries, counted);
    return entries;
}

std::size_t usualSize(const SubsetState &subset)
{
    const std::size_t entries = countedEntries(subset);
    const std::size_t shared = subset.settings.entriesPerAgent * subset.agents.size();
    return std::max(subset.settings.minSize, (shared + entries - 1) / entries);
}

std::size_t stepOf(const SubsetState &subset)
{
    return std::max<std::size_t>(1, subset.settings.minSize * subset.settings.stepPercent / 100);
}

// Adds a growth step while work finds no capacity, and removes one when none has been requested
// for a while.
void adaptWidening(SubsetState &subset, std::size_t usual, Time now)
{
    const SubsetSettings &settings = subset.settings;
    const std::size_t most = usual * (settings.mostGrowth - 1) / stepOf(subset);
    const bool wanted = subset.wantedAt != Time {} && now < subset.wantedAt + settings.growInterval;
    if (wanted && subset.widening < most && now >= subset.changedAt + settings.growInterval) {
        ++subset.widening;
    } else if (!wanted && subset.widening > 0 && now >= subset.wantedAt + settings.shrinkInterval
               && now >= subset.changedAt + settings.shrinkInterval) {
        --subset.widening;
        subset.changedAt = now;
    }
}

void adaptSize(SubsetState &subset, Time now)
{
    const std::size_t usual = usualSize(subset);
    adaptWidening(subset, usual, now);
    const std::size_t aim = usual + subset.widening * stepOf(subset);
    if (aim <= subset.size) {
        subset.size = aim;
        return;
    }
    if (now < subset.changedAt + subset.settings.growInterval)
        return;
    subset.size = std::min(aim, subset.size + stepOf(subset));
    subset.changedAt = now;
}

// [SECTION] Choice

bool isAway(const SubsetState &subset, const ListedAgent &agent, Time now)
{
    return agent.kept && !agent.connected && now >= agent.awaySince + subset.settings.replaceAfter;
}

// Agents that may accept work, by service and then by rank.
std::map<std::string, Ranked> rank(SubsetState &subset)
{
    std::map<std::string, Ranked> services;
    for (auto &[address, agent] : subset.agents) {
        if (!catalog::isCordoned(subset.cordons, agent.node.dataCentre))
            services[agent.node.service].push_back(&agent);
    }
    for (auto &[service, agents] : services)
        std::sort(agents.begin(), agents.end(), goesFirst);
    return services;
}

// Chooses agents in order until `wanted` reachable ones are chosen, but at most `most` in total:
// if a whole data centre is unreachable, not all of its agents are tried.
std::size_t take(const SubsetState &subset, const Ranked &agents, std::size_t wanted,
                 std::size_t most, Time now, std::set<ListedAgent *> &chosen)
{
    std::size_t reached = 0;
    std::size_t taken = 0;
    for (ListedAgent *agent : agents) {
        if (reached >= wanted || taken >= most)
            break;
        if (!chosen.insert(agent).second)
            continue;
        ++taken;
        reached += isAway(subset, *agent, now) ? 0 : 1;
    }
    return reached;
}

void chooseOfService(const SubsetState &subset, const Ranked &agents, Time now,
                     std::set<ListedAgent *> &chosen)
{
    const std::size_t size = subset.size;
    if (agents.size() * 100 <= size * subset.settings.wholePercent) {
        chosen.insert(agents.begin(), agents.end());
        return;
    }
    Ranked home;
    Ranked others;
    for (ListedAgent *agent : agents)
        (agent->node.dataCentre == subset.dataCentre ? home : others).push_back(agent);
    const std::size_t atHome = size * subset.settings.homePercent / 100;
    std::size_t reached = take(subset, home, atHome, atHome, now, chosen);
    reached += take(subset, others, size - reached, size, now, chosen);
    if (reached < size)
        take(subset, home, size - reached, size, now, chosen);
}

std::set<ListedAgent *> chosenNow(SubsetState &subset, Time now)
{
    std::set<ListedAgent *> chosen;
    for (const auto &[service, agents] : rank(subset))
        chooseOfService(subset, agents, now, chosen);
    for (auto &[address, agent] : subset.agents) {
        if (now < agent.neededUntil)
            chosen.insert(&agent);
        else
            agent.neededUntil = Time {};
    }
    return chosen;
}

// [SECTION] Changes

void noteChosen(const std::string &address, ListedAgent &agent, Time now, SubsetChanges &changes)
{
    agent.surplus = false;
    if (agent.kept)
        return;
    agent.kept = true;
    agent.awaySince = now;
    changes.added.push_back(address);
}

void noteUnchosen(const SubsetState &subset, const std::string &address, ListedAgent &agent,
                  Time now, SubsetChanges &changes)
{
    if (!agent.kept)
        return;
    if (!agent.surplus) {
        agent.surplus = true;
        agent.spareSince = now;
    }
    if (now >= agent.spareSince + subset.settings.spareFor)
        changes.surplus.push_back(address);
}

// Number of entries that use each of this entry's agents, on average.
std::uint32_t sharing(const SubsetState &subset)
{
    const std::size_t entries = countedEntries(subset);
    const std::size_t kept = sessionCount(subset);
    const std::size_t agents = subset.agents.size();
    if (kept == 0 || kept >= agents)
        return static_cast<std::uint32_t>(entries);
    return static_cast<std::uint32_t>(
            std::max<std::size_t>(1, (entries * kept + agents / 2) / agents));
}

} // namespace

SubsetChanges choose(SubsetState &subset, Time now)
{
    SubsetChanges changes;
    if (!subset.changed && now < subset.chosenAt + LookInterval)
        return changes;
    subset.chosenAt = now;
    subset.changed = false;
    adaptSize(subset, now);
    const std::set<ListedAgent *> chosen = chosenNow(subset, now);
    for (auto item = subset.agents.begin(); item != subset.agents.end();) {
        auto &[address, agent] = *item;
        if (agent.listedBy.empty() && !agent.connected) {
            if (agent.kept)
                changes.gone.push_back(address);
            item = subset.agents.erase(item);
            continue;
        }
        if (chosen.count(&agent) != 0)
            noteChosen(address, agent, now, changes);
        else
            noteUnchosen(subset, address, agent, now, changes);
        ++item;
    }
    subset.sharingEntries = sharing(subset);
    return changes;
}

} // namespace foxwing::subset
