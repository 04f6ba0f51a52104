/*
    The entry: takes submissions from callers, claims them, runs them or joins whoever does, and
   gives each caller its one answer.

    It puts together the claims of submissions and the dispatcher. Like them it decides only: feed
   it callers' requests, messages and ticks, and carry out the EntryActions.

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

    // A question to another entry is asked again after this long, then with doubled waits.
    Milliseconds askInterval { 100 };
    Milliseconds longestAskInterval { 400 };
    Milliseconds joinInterval { 500 };
    Milliseconds longestJoinInterval { 4000 };

    // "Not run" needs the word of the claim's home; without it in this time the answer is
    // "unknown".
    Milliseconds releaseSpan { 1000 };

    // With no word from control for this long no new work is taken.
    Milliseconds configurationLease { 10000 };

    // Callers that may wait at the same time.
    std::uint32_t mostWaiters = 100000;
};

// [SECTION] Requests

// Which caller waits; the shell's own number for it.
using WaiterId = std::uint64_t;

struct SubmitRequest
{
    WaiterId waiter = 0;
    std::string team;

    // Version 7 UUID; empty only for a single request that has none.
    std::string submission;

    // Of everything in the body that says what is to be done.
    std::string digest;

    std::string service;
    std::string workClass;
    std::vector<std::string> payloads;
    Microseconds declaredTime { 0 };
    Microseconds timeLeft { 0 };
    bool repeatable = false;
    bool request = false;
};

// [SECTION] State

enum class PendingState {
    // The home of the claim is asked.
    Asking,
    // Another entry runs it; its answer is awaited.
    Joined,
    // The dispatcher of this entry runs it.
    Running,
    // The claim of a lost entry is held; the list of agents must be newer than that.
    Refreshing,
    // It ended as "not run" and the home must confirm that before anybody is told.
    Releasing,
};

struct Pending
{
    SubmitRequest request;
    PendingState state = PendingState::Asking;

    // Asked without a body: only to fetch or to cancel.
    bool lookOnly = false;
    bool cancel = false;

    // Another entry was asked to run it; the body is kept in case that entry is lost.
    bool handedOff = false;

    // Refused already; the claim only makes sure that no other entry runs it.
    Error refusal;

    std::vector<WaiterId> waiters;
    std::vector<std::string> joinedBy;
    claims::EntryIdentity owner;
    std::uint64_t nonce = 0;
    std::uint64_t epoch = 1;
    Time deadline {};
    Time nextSend {};
    Time releaseUntil {};
    Time grantedAt {};
    std::int64_t claimedAt = 0;
    Milliseconds resendDelay { 0 };
};

// An agent that may have started tasks, as control last told.
struct KnownAgent
{
    std::string id;
    std::string service;

    // When a life of it ended last; milliseconds since 1970, 0 for never.
    std::int64_t lostAt = 0;
    bool live = false;
};

struct KnownAgents
{
    std::vector<KnownAgent> agents;

    // Agents that were lost before this date may be missing; milliseconds since 1970.
    std::int64_t since = 0;
};

// An ask that was given up before its answer came; a late grant must be given back.
struct AbandonedAsk
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
    Directory directory;
    KnownAgents agents;
    dispatch::Dispatcher dispatcher;
    claims::ClaimTable claims;
    Placement placement;
    std::unordered_map<std::string, Pending> pending;

    // Keys of pending submissions that wait for another process.
    std::vector<std::string> watched;

    // The newest of them, bounded.
    std::deque<AbandonedAsk> abandonedAsks;

    // Jobs that waiters of this entry ask for, to take a caller that has gone off the list.
    std::unordered_map<WaiterId, std::string> waiterJobs;

    bool leaving = false;

    // All claims were in service once. When they move later, work waits a moment and is not
    // refused.
    bool wasInService = false;

    // Control should be asked at once, since a takeover waits for its word.
    bool beatWanted = false;
    std::uint64_t nextNonce = 1;
    std::uint64_t nextAnonymous = 1;

    // For ids of requests that came without one.
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

// A submission by an authenticated team. Answered exactly once with a Reply, now or later.
EntryActions submit(EntryState &entry, const SubmitRequest &request, Time now, WallTime wallNow);

// Waits for the answer of an earlier submission of the same team.
EntryActions fetch(EntryState &entry, WaiterId waiter, const std::string &team,
                   const std::string &submission, Time deadline, Time now);

// Cancels an earlier submission of the same team, and waits for its answer.
EntryActions cancel(EntryState &entry, WaiterId waiter, const std::string &team,
                    const std::string &submission, Time deadline, Time now);

// The caller has gone. Its work goes on: it may come back for the answer.
void abandon(EntryState &entry, WaiterId waiter);

EntryActions handleAgent(EntryState &entry, const agent::FromAgent &message, Time now);
EntryActions handleClaim(EntryState &entry, const claims::ClaimMessage &message, Time now,
                         WallTime wallNow);
EntryActions handleEntry(EntryState &entry, const EntryMessage &message, Time now);

// The shell could not deliver this message, or does not know.
EntryActions sendFailed(EntryState &entry, const agent::ToAgent &message, Time now);

// Control's word: a newer view of the entries.
EntryActions setView(EntryState &entry, const claims::View &view, Time now);

EntryActions tick(EntryState &entry, Time now, WallTime wallNow);

// Whether a balancer should send work here: control is heard from, and claims have been in service.
// A change of view does not turn entries off, or all would be off at the same moment.
bool ready(const EntryState &entry, Time now);

// Whether control was heard from recently enough for the configuration to be believed.
bool configured(const EntryState &entry, Time now);

// Whether nothing is left to finish or to answer.
bool drained(const EntryState &entry);

} // namespace foxwing::entry
