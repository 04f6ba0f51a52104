/*
    Inside the agent: who owns its slots.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/agent/agent.h>

namespace foxwing::agent {

// [SECTION] Functions

// Takes the owner's word that it holds the present epoch.
void takeLeaseAnswer(AgentState &agent, const LeaseAccepted &taken, Time now);

// Moves the lease away from an owner that is gone or silent, and offers it when due.
void renewLease(AgentState &agent, Time now, AgentActions &actions);

// Whether a start comes from the owner in the present epoch.
bool leaseCovers(const AgentState &agent, const Start &start);

// Moves the lease to the entry that its owner names.
void takeYield(AgentState &agent, const TransferLease &yield, Time now, AgentActions &actions);

// Makes the next renewLease() send an offer at once.
void offerSoon(AgentState &agent, Time now);

} // namespace foxwing::agent
