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
    bool bestIsLocal = false;
    std::uint64_t bestWeight = 0;
    for (const OwnerCandidate &entry : entries) {
        if (entry.id == excluded && entries.size() > 1)
            continue;
        const bool isLocal = entry.dataCentre == dataCentre;
        const std::uint64_t weight = rendezvousWeight(agentId, entry.id);
        const bool better = !best || (isLocal && !bestIsLocal)
                || (isLocal == bestIsLocal && weight > bestWeight);
        if (!better)
            continue;
        best = &entry;
        bestIsLocal = isLocal;
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

void assignLease(AgentState &agent, const OwnerCandidate &owner, Time now)
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
        assignLease(agent, *owner, now);
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

// Previous owners no longer receive offers; without these messages they would give up their tasks.
void sendKeepAlives(const AgentState &agent, AgentActions &actions)
{
    std::vector<std::string> notified { agent.lease.owner };
    for (const TaskRef &ref : agent.running) {
        const std::string &owner = agent.jobs.at(ref.job).owner;
        if (std::find(notified.begin(), notified.end(), owner) != notified.end())
            continue;
        notified.push_back(owner);
        const KeepAlive keepAlive { agent.settings.id, agent.settings.incarnation };
        actions.sends.push_back({ owner, keepAlive });
    }
}

} // namespace

// [SECTION] Renewal

void handleLeaseAccepted(AgentState &agent, const LeaseAccepted &accepted, Time now)
{
    const bool current = accepted.agentIncarnation == agent.settings.incarnation
            && accepted.leaseEpoch == agent.lease.epoch && accepted.owner == agent.lease.owner
            && accepted.ownerIncarnation == agent.lease.ownerIncarnation;
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
        sendKeepAlives(agent, actions);
    }
}

void handleTransferLease(AgentState &agent, const TransferLease &transfer, Time now,
                         AgentActions &actions)
{
    const bool current = transfer.agentIncarnation == agent.settings.incarnation
            && transfer.leaseEpoch == agent.lease.epoch && transfer.from == agent.lease.owner;
    const auto successor = std::find_if(agent.entries.begin(), agent.entries.end(),
                                        [&](const OwnerCandidate &entry) {
                                            return entry.id == transfer.to;
                                        });
    if (!current || successor == agent.entries.end())
        return;
    assignLease(agent, *successor, now);
    renewLease(agent, now, actions);
}

bool isFromLeaseHolder(const AgentState &agent, const Start &start)
{
    if (!isEnabled(Guard::Fence))
        return true;
    return start.owner == agent.lease.owner && start.leaseEpoch == agent.lease.epoch
            && start.ownerIncarnation == agent.lease.ownerIncarnation;
}

void scheduleOffer(AgentState &agent, Time now)
{
    agent.lease.nextOffer = now;
}

} // namespace foxwing::agent
