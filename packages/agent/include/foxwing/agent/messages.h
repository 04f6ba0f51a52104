/*
    Messages between entries and agents.

    Agents communicate with entries only. All messages are one-way and may be lost, duplicated or
    delayed. Progress depends on them; the guarantee that a task starts at most once does not.

    [SECTION] References
    [SECTION] To the agent
    [SECTION] From the agent
    [SECTION] Variants
*/
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <foxwing/base/codec.h>
#include <foxwing/base/time.h>

namespace foxwing::agent {

// [SECTION] References

// One attempt at one task of one job.
struct TaskRef
{
    // "team/submission", unique in the whole system.
    std::string job;

    // Position of the task in its job, from 0.
    std::uint32_t task = 0;

    // Increases by one each time the previous attempt is proved never to have started.
    std::uint32_t attempt = 0;
};
template<class Fields>
void describe(Fields &fields, TaskRef &ref)
{
    fields("job", ref.job);
    fields("task", ref.task);
    fields("attempt", ref.attempt);
}

// How a task ended at its endpoint.
enum class TaskEnd {
    Succeeded,
    Failed,
    Cancelled,
    DeadlinePassed,
    // The endpoint could not be reached, so the task did not run.
    Unreachable,
};
constexpr TaskEnd lastOf(TaskEnd)
{
    return TaskEnd::Unreachable;
}

// Why an agent refused to start a task. Each cause guarantees that this attempt never starts.
enum class RefusalCause {
    WrongIncarnation,
    WrongLease,
    Fenced,
    AlreadyVoided,
    // Another attempt of the same task runs or ran here: the only refusal that forbids a retry.
    OtherAttemptStarted,
    NoFreeSlot,
    Leaving,
    TooManyUnsettled,
    DeadlinePassed,
    EndpointUnreachable,
};
constexpr RefusalCause lastOf(RefusalCause)
{
    return RefusalCause::EndpointUnreachable;
}

// State of one task, reported to a new owner of its job.
struct TaskStatus
{
    TaskRef ref;
    bool finished = false;
    bool voided = false;
    TaskEnd end = TaskEnd::Failed;
    std::string body;

    // False once the body of a settled result has been dropped.
    bool bodyKept = true;
};
template<class Fields>
void describe(Fields &fields, TaskStatus &status)
{
    fields("ref", status.ref);
    fields("finished", status.finished);
    fields("voided", status.voided);
    fields("end", status.end);
    fields("body", status.body);
    fields("bodyKept", status.bodyKept);
}

// [SECTION] To the agent

// Run this task now.
struct Start
{
    static constexpr const char *Type = "start";

    // Identity
    TaskRef ref;
    std::string team;

    // Sender, and the epochs that authorize it
    std::string owner;
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t jobEpoch = 0;
    std::uint64_t leaseEpoch = 0;
    std::uint64_t agentIncarnation = 0;

    // The work; timeLeft counts from the arrival at the agent.
    Microseconds timeLeft { 0 };
    std::string payload;
};
template<class Fields>
void describe(Fields &fields, Start &start)
{
    fields("ref", start.ref);
    fields("team", start.team);
    fields("owner", start.owner);
    fields("ownerIncarnation", start.ownerIncarnation);
    fields("jobEpoch", start.jobEpoch);
    fields("leaseEpoch", start.leaseEpoch);
    fields("agentIncarnation", start.agentIncarnation);
    fields("timeLeft", start.timeLeft);
    fields("payload", start.payload);
}

// Never start this attempt. Answered by NotStarted, or by Started if it came too late.
struct Void
{
    static constexpr const char *Type = "void";
    std::string from;
    TaskRef ref;
    std::uint64_t agentIncarnation = 0;
};
template<class Fields>
void describe(Fields &fields, Void &message)
{
    fields("from", message.from);
    fields("ref", message.ref);
    fields("agentIncarnation", message.agentIncarnation);
}

// Stop these tasks if they run; void them if they have not started.
struct Cancel
{
    static constexpr const char *Type = "cancel";
    std::string from;
    std::vector<TaskRef> refs;
    std::uint64_t agentIncarnation = 0;
};
template<class Fields>
void describe(Fields &fields, Cancel &message)
{
    fields("from", message.from);
    fields("refs", message.refs);
    fields("agentIncarnation", message.agentIncarnation);
}

// The owner has received these results; the agent may drop the bodies.
struct Settle
{
    static constexpr const char *Type = "settle";
    std::vector<TaskRef> refs;
};
template<class Fields>
void describe(Fields &fields, Settle &message)
{
    fields("refs", message.refs);
}

// A new owner takes a job over: refuse every earlier epoch, and report the state of its tasks.
struct Fence
{
    static constexpr const char *Type = "fence";
    std::string job;
    std::uint64_t jobEpoch = 0;
    std::string owner;
};
template<class Fields>
void describe(Fields &fields, Fence &fence)
{
    fields("job", fence.job);
    fields("jobEpoch", fence.jobEpoch);
    fields("owner", fence.owner);
}

// The owner accepts the lease that the agent offered.
struct LeaseAccepted
{
    static constexpr const char *Type = "lease-taken";
    std::string owner;
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t leaseEpoch = 0;
    std::uint64_t agentIncarnation = 0;
};
template<class Fields>
void describe(Fields &fields, LeaseAccepted &accepted)
{
    fields("owner", accepted.owner);
    fields("ownerIncarnation", accepted.ownerIncarnation);
    fields("leaseEpoch", accepted.leaseEpoch);
    fields("agentIncarnation", accepted.agentIncarnation);
}

// The owner hands the lease over to another entry.
struct TransferLease
{
    static constexpr const char *Type = "yield";
    std::string from;
    std::string to;
    std::uint64_t leaseEpoch = 0;
    std::uint64_t agentIncarnation = 0;
};
template<class Fields>
void describe(Fields &fields, TransferLease &transfer)
{
    fields("from", transfer.from);
    fields("to", transfer.to);
    fields("leaseEpoch", transfer.leaseEpoch);
    fields("agentIncarnation", transfer.agentIncarnation);
}

// [SECTION] From the agent

// Leases all slots of this agent to the receiver, until it stops answering or a higher epoch is
// offered.
struct LeaseOffer
{
    static constexpr const char *Type = "lease-offer";
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    std::uint64_t leaseEpoch = 0;
    std::string service;
    std::string dataCentre;
    std::uint32_t slots = 0;

    // Slots in use by tasks of any owner, previous owners included.
    std::uint32_t busy = 0;

    // The agent is leaving: running tasks are finished, new starts are refused.
    bool leaving = false;
};
template<class Fields>
void describe(Fields &fields, LeaseOffer &offer)
{
    fields("agent", offer.agent);
    fields("agentIncarnation", offer.agentIncarnation);
    fields("leaseEpoch", offer.leaseEpoch);
    fields("service", offer.service);
    fields("dataCentre", offer.dataCentre);
    fields("slots", offer.slots);
    fields("busy", offer.busy);
    fields("leaving", offer.leaving);
}

// The task ran and ended. Resent until settled.
struct Finished
{
    static constexpr const char *Type = "finished";
    TaskRef ref;
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    TaskEnd end = TaskEnd::Failed;
    std::string body;

    // Measured at the agent around the call to the endpoint.
    Microseconds runTime { 0 };
};
template<class Fields>
void describe(Fields &fields, Finished &finished)
{
    fields("ref", finished.ref);
    fields("agent", finished.agent);
    fields("agentIncarnation", finished.agentIncarnation);
    fields("end", finished.end);
    fields("body", finished.body);
    fields("runTime", finished.runTime);
}

// The task did not start, and this attempt never will.
struct NotStarted
{
    static constexpr const char *Type = "not-started";
    TaskRef ref;
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    RefusalCause cause = RefusalCause::WrongLease;
};
template<class Fields>
void describe(Fields &fields, NotStarted &message)
{
    fields("ref", message.ref);
    fields("agent", message.agent);
    fields("agentIncarnation", message.agentIncarnation);
    fields("cause", message.cause);
}

// The task has started here: the answer to a Void that came too late.
struct Started
{
    static constexpr const char *Type = "started";
    TaskRef ref;
    std::string agent;
    std::uint64_t agentIncarnation = 0;
};
template<class Fields>
void describe(Fields &fields, Started &message)
{
    fields("ref", message.ref);
    fields("agent", message.agent);
    fields("agentIncarnation", message.agentIncarnation);
}

// Sent to previous owners whose tasks still run here while another entry holds the lease.
struct KeepAlive
{
    static constexpr const char *Type = "alive";
    std::string agent;
    std::uint64_t agentIncarnation = 0;
};
template<class Fields>
void describe(Fields &fields, KeepAlive &keepAlive)
{
    fields("agent", keepAlive.agent);
    fields("agentIncarnation", keepAlive.agentIncarnation);
}

// The answer to a Fence: state of all tasks of the job that this incarnation of the agent knows.
struct Fenced
{
    static constexpr const char *Type = "fenced";
    std::string job;
    std::uint64_t jobEpoch = 0;
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    std::vector<TaskStatus> tasks;
};
template<class Fields>
void describe(Fields &fields, Fenced &fenced)
{
    fields("job", fenced.job);
    fields("jobEpoch", fenced.jobEpoch);
    fields("agent", fenced.agent);
    fields("agentIncarnation", fenced.agentIncarnation);
    fields("tasks", fenced.tasks);
}

// [SECTION] Variants

using ToAgent = std::variant<Start, Void, Cancel, Settle, Fence, LeaseAccepted, TransferLease>;
using FromAgent = std::variant<LeaseOffer, Finished, NotStarted, Started, KeepAlive, Fenced>;

} // namespace foxwing::agent
