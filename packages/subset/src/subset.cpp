/*
    Keeps the list of known agents. choosing.cpp chooses the subset from it.

    [SECTION] Updates
    [SECTION] Sessions
    [SECTION] Requirements
*/
#include <foxwing/subset/subset.h>

#include <algorithm>

#include <foxwing/base/digest.h>

namespace foxwing::subset {

// [SECTION] Updates

SubsetState makeSubset(const SubsetSettings &settings, const std::string &entry,
                       const std::string &dataCentre)
{
    SubsetState subset;
    subset.settings = settings;
    subset.entry = entry;
    subset.dataCentre = dataCentre;
    subset.size = settings.minSize;
    return subset;
}

namespace {

void removeListing(SubsetState &subset, const std::string &address, const std::string &host)
{
    const auto found = subset.agents.find(address);
    if (found != subset.agents.end() && found->second.listedBy.erase(host) > 0)
        subset.changed = true;
}

void removeListings(SubsetState &subset, const std::string &host)
{
    for (auto &[address, agent] : subset.agents)
        subset.changed |= agent.listedBy.erase(host) > 0;
}

void addListing(SubsetState &subset, const directory::NodeInfo &node, const std::string &host)
{
    ListedAgent &agent = subset.agents[node.address];
    if (agent.weight == 0)
        agent.weight = rendezvousWeight(subset.entry, node.address);
    // Control hosts may differ for a moment; info that names a service is more complete than info
    // without one.
    if (agent.listedBy.empty() || !node.service.empty())
        agent.node = node;
    agent.listedBy.insert(host);
    subset.changed = true;
}

} // namespace

void applyUpdate(SubsetState &subset, const std::string &from,
                 const directory::DirectoryUpdate &update)
{
    subset.entryCounts[from] = update.entries;
    if (update.full)
        removeListings(subset, from);
    for (const std::string &address : update.removed)
        removeListing(subset, address, from);
    for (const directory::NodeInfo &node : update.nodes) {
        // An address may return with another role.
        if (node.role == directory::Role::Agent)
            addListing(subset, node, from);
        else
            removeListing(subset, node.address, from);
    }
    subset.changed = true;
}

void removeControlHost(SubsetState &subset, const std::string &host)
{
    subset.entryCounts.erase(host);
    removeListings(subset, host);
}

void applyCordons(SubsetState &subset, const catalog::Cordons &cordons)
{
    if (cordons.revision <= subset.cordons.revision)
        return;
    subset.cordons = cordons;
    subset.changed = true;
}

// [SECTION] Sessions

void sessionOpened(SubsetState &subset, const std::string &agent)
{
    const auto found = subset.agents.find(agent);
    if (found == subset.agents.end())
        return;
    found->second.connected = true;
    subset.changed = true;
}

void connectionLost(SubsetState &subset, const std::string &agent, Time now)
{
    const auto found = subset.agents.find(agent);
    if (found == subset.agents.end())
        return;
    found->second.connected = false;
    found->second.disconnectedSince = now;
    subset.changed = true;
}

void dropped(SubsetState &subset, const std::string &agent)
{
    const auto found = subset.agents.find(agent);
    if (found == subset.agents.end())
        return;
    found->second.hasSession = false;
    found->second.connected = false;
    found->second.surplus = false;
    subset.changed = true;
}

bool ranksBefore(const ListedAgent *left, const ListedAgent *right)
{
    return left->weight > right->weight;
}

std::size_t sessionCount(const SubsetState &subset)
{
    return static_cast<std::size_t>(
            std::count_if(subset.agents.begin(), subset.agents.end(),
                          [](const auto &item) { return item.second.hasSession; }));
}

// [SECTION] Requirements

void requestGrowth(SubsetState &subset, Time now)
{
    subset.growthRequestedAt = now;
}

namespace {

bool matches(const ListedAgent &agent, const Requirement &requirement)
{
    const std::vector<std::string> &labels = agent.node.labels;
    const auto hasLabel = [&](const std::string &label) {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    };
    return agent.node.service == requirement.service && hasLabel(requirement.label)
            && hasLabel(requirement.rack) && jobs::fits(requirement.demand, agent.node.capacity);
}

} // namespace

bool requireAgents(SubsetState &subset, const Requirement &requirement, Time now)
{
    std::vector<ListedAgent *> candidates;
    for (auto &[address, agent] : subset.agents) {
        if (!matches(agent, requirement)
            || catalog::isCordoned(subset.cordons, agent.node.dataCentre))
            continue;
        // Surplus agents and those added for an earlier requirement don't count: they would be
        // removed.
        if (agent.hasSession && !agent.surplus && agent.requiredUntil == Time {})
            return true;
        candidates.push_back(&agent);
    }
    const std::size_t count = std::min(subset.settings.agentsPerRequirement, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), ranksBefore);
    for (std::size_t i = 0; i < count; ++i)
        candidates[i]->requiredUntil = now + subset.settings.requirementRetention;
    subset.changed |= count > 0;
    return count > 0;
}

} // namespace foxwing::subset
