/*
    Jobs and their tasks, as their owner stores them.

    A single request is a job of one task. A job ends with exactly one Answer: complete with every
    result, failed, or not run. There are no partial results.

    [SECTION] Job specification
    [SECTION] Answer
    [SECTION] Job state
*/
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <foxwing/agent/messages.h>
#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::dispatch {

// [SECTION] Job specification

struct JobSpec
{
    // "team/submission"
    std::string key;
    std::string team;
    std::string service;

    // The caller's name for this kind of work; estimates and histograms are kept per class.
    std::string workClass;

    // One payload per task, passed to the endpoint unchanged.
    std::vector<std::string> payloads;

    // The caller's estimate of the run time of one task, or zero. Often far off, so it is used only
    // until run times of the class have been measured.
    Microseconds declaredTime { 0 };

    Time deadline {};

    // The work is idempotent. Such work may go to a worker on probation.
    bool repeatable = false;

    // A single request. If it is repeatable, it may be retried when its worker is lost; tasks of
    // other jobs never are.
    bool request = false;
};

// [SECTION] Answer

struct Answer
{
    Outcome outcome = Outcome::Pending;

    // One body per task, in order; empty unless the outcome is Complete.
    std::vector<std::string> results;

    // Set unless the outcome is Complete.
    Error error;
};

// [SECTION] Job state

enum class TaskState {
    // No attempt may have started.
    Waiting,
    // An attempt was sent; whether it started is unknown.
    Sent,
    // The agent reported that the task runs.
    Running,
    // The result was received.
    Done,
};

struct Task
{
    TaskState state = TaskState::Waiting;
    std::uint32_t attempt = 0;

    // Worker of the current attempt
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    Time sentAt {};

    // When to query the agent if it reports nothing; the interval doubles each time.
    Time nextVerifyAt {};
    Milliseconds verifyInterval { 0 };

    // Run time charged to the team at the start; corrected at the end.
    Microseconds chargedTime { 0 };

    // Index in Dispatcher::outstanding while the task is on a worker.
    std::size_t outstandingIndex = 0;

    std::string result;
};

enum class JobState {
    // A takeover waits until the agents have reported its tasks; no task is sent.
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

    // After refusals no task is sent before this.
    Time backoffUntil {};

    // Some attempt may have run although no task shows it: "not run" is ruled out.
    bool mayHaveRun = false;

    // Takeover: agents that have not acknowledged the fence yet.
    std::vector<std::string> unansweredFences;
    bool collectionIncomplete = false;
    std::int64_t claimedAt = 0;
    Time collectDeadline {};
    Time nextFenceAt {};

    Answer answer;
    Time endedAt {};
};

} // namespace foxwing::dispatch
