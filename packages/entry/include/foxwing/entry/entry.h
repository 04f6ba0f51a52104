/*
    The entry: accepts submissions from callers, claims them, runs them or joins the entry that
    does, and answers each caller exactly once.

    Combines the claim table and the dispatcher. Like both it does no I/O: pass in requests,
    messages and ticks, and apply the EntryActions that it returns.

        EntryState entry = makeEntry(settings);
        EntryActions actions = submit(entry, request, now, wallNow);
        for (const Reply &reply : actions.replies)
            ...

    [SECTION] Settings
    [SECTION] Requests
    [SECTION] State
    [SECTION] Actions
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <foxwing/claims/claims.h>
#include <foxwing/dispatch/dispatcher.h>
#include <foxwing/entry/messages.h>
#include <foxwing/entry/placement.h>
#include <foxwing/entry/teams.h>

namespace foxwing::entry {

// [SECTION] Settings

struct EntrySettings
{
    // Identity
    claims::EntryIdentity self;
    std::string dataCentre;

    dispatch::DispatchSettings dispatch;
    claims::ClaimSettings claims;
    PlacementSettings placement;

    // Delay before a request to another entry is sent again; doubles up to the maximum.
    Milliseconds claimInterval { 100 };
    Milliseconds maxClaimInterval { 400 };
    Milliseconds joinInterval { 500 };
    Milliseconds maxJoinInterval { 4000 };

    // "Not run" must be confirmed by the claim's primary; without a reply within this time the
    // answer is "unknown".
    Milliseconds releaseTimeout { 1000 };

    // No new work is accepted if control has not confirmed the configuration for this long.
    Milliseconds configurationLease { 10000 };

    // Callers that may wait at the same time
    std::uint32_t maxWaiters = 100000;
};

// [SECTION] Requests

// Identifies a waiting caller; assigned by the code that applies the actions.
using WaiterId = std::uint64_t;

struct SubmitRequest
{
    WaiterId waiter = 0;
    std::string team;

    // Version 7 UUID; empty only for a single request that has none.
    std::string submission;

    // Digest of all body fields that define the work
    std::string digest;

    std::string service;
    std::string workClass;
    std::vector<std::string> payloads;
    Microseconds declaredTime { 0 };
    Microseconds timeLeft { 0 };
    bool repeatable = false;

    // A single request, not a job
    bool request = false;
};

// [SECTION] State

enum class PendingState {
    // The claim was requested from its primary.
    Claiming,
    // Another entry runs it; waiting for its answer.
    Joined,
    // The dispatcher of this entry runs it.
    Running,
    // Took over the claim of a lost entry; waiting for a list of agents newer than the grant.
    Refreshing,
    // Ended as "not run"; the claim's primary must confirm that before the callers are answered.
    Releasing,
};

// A submission that is not answered yet.
struct Pending
{
    SubmitRequest request;
    PendingState state = PendingState::Claiming;

    // Fetch or cancel: there is no body, so nothing can be run.
    bool lookupOnly = false;
    bool cancel = false;

    // Handed off to another entry; the body is kept in case that entry is lost.
    bool handedOff = false;

    // Set if already refused; the claim then only ensures that no other entry runs it.
    Error refusal;

    std::vector<WaiterId> waiters;
    std::vector<std::string> joinedBy;
    claims::EntryIdentity owner;
    std::uint64_t nonce = 0;
    std::uint64_t epoch = 1;
    Time deadline {};
    Time nextSend {};
    Time releaseDeadline {};
    Time grantedAt {};
    std::int64_t claimedAt = 0;
    Milliseconds resendDelay { 0 };
};

// An agent that may have started tasks, as last reported by control.
struct KnownAgent
{
    std::string id;
    std::string service;

    // When an incarnation of it was last lost; milliseconds since 1970, 0 for never.
    std::int64_t lostAt = 0;
    bool live = false;
};

struct KnownAgents
{
    std::vector<KnownAgent> agents;

    // Agents that were lost before this time may be missing; milliseconds since 1970.
    std::int64_t completeSince = 0;
};

// A claim request that expired before its answer arrived; a late grant must be released.
struct AbandonedClaim
{
    std::string job;
    std::uint64_t nonce = 0;
};

struct EntryCounters
{
    std::uint64_t submissions = 0;
    std::uint64_t refusals = 0;
    std::uint64_t joins = 0;
    std::uint64_t handoffs = 0;
    std::uint64_t repliesComplete = 0;
    std::uint64_t repliesFailed = 0;
    std::uint64_t repliesNotRun = 0;
    std::uint64_t repliesUnknown = 0;
};

struct EntryState
{
    EntrySettings settings;
    Registry registry;
    KnownAgents agents;
    dispatch::Dispatcher dispatcher;
    claims::ClaimTable claims;
    Placement placement;
    std::unordered_map<std::string, Pending> pending;

    // Keys of pending submissions that wait for another process
    std::vector<std::string> remotePending;

    // Newest last, bounded
    std::deque<AbandonedClaim> abandonedClaims;

    // The job of each waiter, to find the pending submission when a caller disconnects
    std::unordered_map<WaiterId, std::string> waiterJobs;

    bool leaving = false;

    // All claim shards were active once. Later, while shards move, work waits a moment instead of
    // being refused.
    bool shardsWereActive = false;

    // Send a heartbeat to control at once, since a takeover waits for its reply.
    bool heartbeatRequested = false;
    std::uint64_t nextNonce = 1;
    std::uint64_t nextAnonymousId = 1;

    // Generates ids for requests without one
    std::mt19937_64 random;
    EntryCounters counters;
};

// [SECTION] Actions

using OutgoingMessage = std::variant<agent::ToAgent, claims::ClaimMessage, EntryMessage>;

struct Outgoing
{
    std::string to;
    OutgoingMessage message;
};

struct Reply
{
    WaiterId waiter = 0;
    std::string submission;
    dispatch::Answer answer;
};

struct EntryActions
{
    std::vector<Outgoing> sends;
    std::vector<Reply> replies;
};

// [SECTION] Functions

EntryState makeEntry(const EntrySettings &settings);

// Handles a submission of an authenticated team. It is answered by exactly one Reply, now or later.
EntryActions submit(EntryState &entry, const SubmitRequest &request, Time now, WallTime wallNow);

// Waits for the answer of an earlier submission of the same team.
EntryActions fetch(EntryState &entry, WaiterId waiter, const std::string &team,
                   const std::string &submission, Time deadline, Time now);

// Cancels an earlier submission of the same team, and waits for its answer.
EntryActions cancel(EntryState &entry, WaiterId waiter, const std::string &team,
                    const std::string &submission, Time deadline, Time now);

// The caller disconnected. Its work continues, since it may fetch the answer later.
void abandon(EntryState &entry, WaiterId waiter);

EntryActions handleAgent(EntryState &entry, const agent::FromAgent &message, Time now);
EntryActions handleClaim(EntryState &entry, const claims::ClaimMessage &message, Time now,
                         WallTime wallNow);
EntryActions handleEntry(EntryState &entry, const EntryMessage &message, Time now);

// The message was not delivered, or delivery is uncertain.
EntryActions sendFailed(EntryState &entry, const agent::ToAgent &message, Time now);

// Applies a newer view of the entries from control.
EntryActions setView(EntryState &entry, const claims::View &view, Time now);

EntryActions tick(EntryState &entry, Time now, WallTime wallNow);

// Whether a load balancer should send work here: the configuration is fresh, and the claim shards
// have been active. Stays true across view changes, or all entries would turn unready at once.
bool ready(const EntryState &entry, Time now);

// Whether control has confirmed the configuration within its lease.
bool hasFreshConfiguration(const EntryState &entry, Time now);

// Whether no job is active and no submission is pending.
bool drained(const EntryState &entry);

} // namespace foxwing::entry
