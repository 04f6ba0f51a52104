/*
    Slot leases: the agent chooses the one entry that may start tasks on its slots.

    The epoch increases whenever the owner changes, and a start in an earlier epoch is refused. So
    an owner that was paused until its lease expired cannot start tasks when it resumes.

    [SECTION] Choice
    [SECTION] Renewal
*/
#include "lease.h"

#include <algorithm>

#include <foxwing/base/digest.h>
#include <foxwing/base/guards.h>

namespace foxwing::agent {

// [SECTION] Choice

const OwnerCandidate *preferredOwner(const std::string &agentId, const std::string &dataCentre,
                                     const std::vector<OwnerCandidate> &entries,
                                     const std::string &excluded)
{
    const OwnerCandidate *best = nullptr;
    bool bestIsNear = false;
    std::uint64_t bestWeight = 0;
    for (const OwnerCandidate &entry : entries) {
        if (entry.id == excluded && entries.size() > 1)
            continue;
        const bool near = entry.dataCentre == dataCentre;
        const std::uint64_t weight = rendezvousWeight(agentId, entry.id);
        const bool better = !best || (near && !bestIsNear)
                || (near == bestIsNear && weight > bestWeight);
        if (!better)
            continue;
        best = &entry;
        bestIsNear = near;
        bestWeight = weight;
    }
    return best;
}

namespace {

bool ownerIsListed(const AgentState &agent)
{
    return std::any_of(agent.entries.begin(), agent.entries.end(),
                       [&](const OwnerCandidate &entry) {
                           return entry.id == agent.lease.owner
                                   && entry.incarnation == agent.lease.ownerIncarnation;
                       });
}

void moveLease(AgentState &agent, const OwnerCandidate &owner, Time now)
{
    agent.lease.owner = owner.id;
    agent.lease.ownerIncarnation = owner.incarnation;
    ++agent.lease.epoch;
    ++agent.counters.ownerChanges;
    agent.lease.expiresAt = now + agent.settings.leaseDuration;
    agent.lease.nextOffer = now;
}

void chooseOwner(AgentState &agent, const std::string &excluded, Time now)
{
    const AgentSettings &settings = agent.settings;
    const OwnerCandidate *owner = preferredOwner(settings.id, settings.dataCentre, agent.entries,
                                                 excluded);
    if (owner)
        moveLease(agent, *owner, now);
    else
        agent.lease.owner.clear();
}

void offerLease(AgentState &agent, Time now, AgentActions &actions)
{
    const AgentSettings &settings = agent.settings;
    LeaseOffer offer;
    offer.agent = settings.id;
    offer.agentIncarnation = settings.incarnation;
    offer.leaseEpoch = agent.lease.epoch;
    offer.service = settings.service;
    offer.dataCentre = settings.dataCentre;
    offer.slots = settings.slots;
    offer.busy = static_cast<std::uint32_t>(agent.running.size());
    offer.leaving = agent.leaving || agent.configurationStale;
    actions.sends.push_back({ agent.lease.owner, offer });
    agent.lease.nextOffer = now + settings.offerInterval;
}

// Former owners no longer receive offers; without these messages they would give up their tasks.
void reassureEarlierOwners(const AgentState &agent, AgentActions &actions)
{
    std::vector<std::string> told { agent.lease.owner };
    for (const TaskRef &ref : agent.running) {
        const std::string &owner = agent.jobs.at(ref.job).owner;
        if (std::find(told.begin(), told.end(), owner) != told.end())
            continue;
        told.push_back(owner);
        const KeepAlive alive { agent.settings.id, agent.settings.incarnation };
        actions.sends.push_back({ owner, alive });
    }
}

} // namespace

// [SECTION] Renewal

void takeLeaseAnswer(AgentState &agent, const LeaseAccepted &taken, Time now)
{
    const bool current = taken.agentIncarnation == agent.settings.incarnation
            && taken.leaseEpoch == agent.lease.epoch && taken.owner == agent.lease.owner
            && taken.ownerIncarnation == agent.lease.ownerIncarnation;
    if (current)
        agent.lease.expiresAt = now + agent.settings.leaseDuration;
}

void renewLease(AgentState &agent, Time now, AgentActions &actions)
{
    if (agent.lease.owner.empty() || !ownerIsListed(agent))
        chooseOwner(agent, {}, now);
    else if (now >= agent.lease.expiresAt)
        chooseOwner(agent, agent.lease.owner, now);
    if (!agent.lease.owner.empty() && now >= agent.lease.nextOffer) {
        offerLease(agent, now, actions);
        reassureEarlierOwners(agent, actions);
    }
}

void takeYield(AgentState &agent, const TransferLease &yield, Time now, AgentActions &actions)
{
    const bool current = yield.agentIncarnation == agent.settings.incarnation
            && yield.leaseEpoch == agent.lease.epoch && yield.from == agent.lease.owner;
    const auto heir = std::find_if(agent.entries.begin(), agent.entries.end(),
                                   [&](const OwnerCandidate &entry) {
                                       return entry.id == yield.to;
                                   });
    if (!current || heir == agent.entries.end())
        return;
    moveLease(agent, *heir, now);
    renewLease(agent, now, actions);
}

bool leaseCovers(const AgentState &agent, const Start &start)
{
    if (!holds(Guard::Fence))
        return true;
    return start.owner == agent.lease.owner && start.leaseEpoch == agent.lease.epoch
            && start.ownerIncarnation == agent.lease.ownerIncarnation;
}

void offerSoon(AgentState &agent, Time now)
{
    agent.lease.nextOffer = now;
}

} // namespace foxwing::agent
