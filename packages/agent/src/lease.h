/*
    Lease of the agent's slots, internal to the agent.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/agent/agent.h>

namespace foxwing::agent {

// [SECTION] Functions

// Extends the lease when its owner confirms that it holds the current epoch.
void takeLeaseAnswer(AgentState &agent, const LeaseAccepted &taken, Time now);

// Moves the lease from an owner that is gone or does not answer, and sends offers when due.
void renewLease(AgentState &agent, Time now, AgentActions &actions);

// Whether a start comes from the owner in the current epoch.
bool leaseCovers(const AgentState &agent, const Start &start);

// Moves the lease to the entry that its current owner names.
void takeYield(AgentState &agent, const TransferLease &yield, Time now, AgentActions &actions);

// Makes the next renewLease() send an offer, even before the interval has passed.
void offerSoon(AgentState &agent, Time now);

} // namespace foxwing::agent
