/*
    Lease of the agent's slots, internal to the agent.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/agent/agent.h>

namespace foxwing::agent {

// [SECTION] Functions

// Extends the lease when its owner confirms that it holds the current epoch.
void handleLeaseAccepted(AgentState &agent, const LeaseAccepted &accepted, Time now);

// Moves the lease away from an owner that is lost or does not answer, and sends offers when due.
void renewLease(AgentState &agent, Time now, AgentActions &actions);

// Whether a start comes from the owner in the current epoch.
bool isFromLeaseHolder(const AgentState &agent, const Start &start);

// Moves the lease to the entry that its current owner names.
void handleTransferLease(AgentState &agent, const TransferLease &transfer, Time now,
                         AgentActions &actions);

// Makes the next renewLease() send an offer, even before the interval has passed.
void scheduleOffer(AgentState &agent, Time now);

} // namespace foxwing::agent
