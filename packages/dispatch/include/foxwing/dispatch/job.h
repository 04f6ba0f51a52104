/*
    Jobs and their tasks, as their owner keeps them.

    A single request is a job of one task. A job ends in exactly one Answer: complete with every
    result, or failed, or not run; never with a part of its results.

    [SECTION] What a caller asks for
    [SECTION] What the owner keeps
    [SECTION] What a caller gets
*/
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <foxwing/agent/messages.h>
#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::dispatch {

// [SECTION] What a caller asks for

struct JobSpec
{
    // Identity: key is "team/submission".
    std::string key;
    std::string team;
    std::string service;

    // The caller's name for this sort of work; estimates and histograms are kept for each.
    std::string workClass;

    // One payload for each task, passed to the endpoint as it is.
    std::vector<std::string> payloads;

    // How long the caller expects one task to take; zero if it did not say. Often far off, so it is
    // used only until run times of the class have been measured.
    Microseconds declaredTime { 0 };

    // The answer is of no use after this.
    Time deadline {};

    // Running it twice would do no harm. Such work may try a worker that is under suspicion.
    bool repeatable = false;

    // A single request. If it is repeatable too, it may run again when its worker is lost; tasks of
    // jobs never do.
    bool request = false;
};

// [SECTION] What a caller gets

struct Answer
{
    Outcome outcome = Outcome::Pending;

    // One body for each task, in order; empty unless the outcome is Complete.
    std::vector<std::string> results;

    // Why, unless the outcome is Complete.
    Error error;
};

// [SECTION] What the owner keeps

enum class TaskState {
    // No attempt may have started.
    Waiting,
    // An attempt was sent, and nothing is known of it.
    Sent,
    // The agent said that it runs.
    Running,
    // It ended well and the result is here.
    Done,
};

struct Task
{
    TaskState state = TaskState::Waiting;
    std::uint32_t attempt = 0;

    // Where the present attempt is
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    Time sentAt {};

    // When to ask the agent about it, should nothing be heard; doubles each time.
    Time nextVerify {};
    Milliseconds verifyWait { 0 };

    // What its team was charged when it was sent; corrected once it has ended.
    Microseconds charged { 0 };

    // Position in the dispatcher's list of outstanding tasks while it is on a worker.
    std::size_t outstandingAt = 0;

    std::string result;
};

enum class JobState {
    // A new owner collects what agents know before anything is sent.
    Collecting,
    Active,
    Ended,
};

struct Job
{
    JobSpec spec;
    std::uint64_t epoch = 1;
    JobState state = JobState::Active;
    std::vector<Task> tasks;

    // Progress
    std::uint32_t waiting = 0;
    std::uint32_t done = 0;
    std::uint32_t refusals = 0;
    Time arrivedAt {};

    // Not before this is another task sent, after refusals.
    Time holdUntil {};

    // Some attempt may have run although no task shows it: "not run" can't be said any more.
    bool mayHaveRun = false;

    // Takeover: agents that have not answered the fence yet.
    std::vector<std::string> unanswered;
    bool collectionHasGaps = false;
    std::int64_t claimedAt = 0;
    Time collectUntil {};
    Time nextFence {};

    Answer answer;
    Time endedAt {};
};

} // namespace foxwing::dispatch
