/*
    Shared by the runner's tests: a runner with an endpoint, one entry and a clock, and helpers to
    inspect its actions.

        RunnerFixture fixture;
        fixture.start(1);
        EXPECT_EQ(reportedEnds(fixture.end(1)).size(), 1U);

    [SECTION] Test data
    [SECTION] Fixture
    [SECTION] Actions
*/
#pragma once

#include <gtest/gtest.h>

#include <foxwing/runner/runner.h>

namespace foxwing::runner {

using jobs::RunId;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Test data

constexpr std::uint64_t EntrySession = 1;

inline RunId runId(std::uint32_t index, std::uint32_t run = 1)
{
    return { { "job", 0, 0, index }, run };
}

inline EndpointReport makeReport(const std::string &id, std::uint64_t sequence)
{
    EndpointReport report;
    report.endpointIncarnation.id = id;
    report.service = "align";
    report.capacity = { 4000, 1000, 0 };
    report.sequence = sequence;
    report.clock = Milliseconds(50000);
    return report;
}

// With a start time, in milliseconds since 1970.
inline EndpointReport makeReport(const std::string &id, std::int64_t startedAt,
                                 std::uint64_t sequence)
{
    EndpointReport report = makeReport(id, sequence);
    report.endpointIncarnation.startedAt = WallTime(Milliseconds(startedAt));
    return report;
}

// A successful poll of an endpoint without runs.
inline PollResult makePollResult(std::int64_t startedAt, Milliseconds clock)
{
    PollResult poll;
    poll.result = { CommandStatus::Ok, clock };
    poll.startedAt = WallTime(Milliseconds(startedAt));
    return poll;
}

// [SECTION] Fixture

struct RunnerFixture
{
    RunnerFixture()
    {
        handleCordons(runner, {}, CordonSource::Control, now);
        handleHeartbeat(runner, makeReport("incarnation-1", 1), now);
        completePoll({});
        openSession(runner, EntrySession, "entry-1", now);
    }

    // Completes the pending poll, or the next one.
    RunnerActions completePoll(PollResult poll)
    {
        while (!runner.pollPending)
            advance(runner.settings.pollRetryDelay);
        if (poll.result.status == CommandStatus::None && !failPolls)
            poll.result = { CommandStatus::Ok, clock() };
        return handlePollResult(runner, runner.pollNumber, poll, now);
    }

    Milliseconds clock() const
    {
        return Milliseconds(50000)
                + std::chrono::duration_cast<Milliseconds>(now - Time(Seconds(100)));
    }

    RunnerActions start(std::uint32_t index, std::int64_t milliCores = 1000, std::uint32_t run = 1)
    {
        jobs::StartTasks message;
        message.job = "job";
        message.demand = { milliCores, 10, 0 };
        message.estimate = Milliseconds(100);
        message.starts = { { index, run } };
        return startTasks(runner, EntrySession, message, now);
    }

    // A start that may wait here for 100 ms.
    RunnerActions startOrWait(std::uint32_t index, std::int64_t milliCores,
                              std::uint32_t priority = 0)
    {
        jobs::StartTasks message;
        message.job = "job";
        message.demand = { milliCores, 10, 0 };
        message.estimate = Milliseconds(100);
        message.priority = priority;
        message.maxWait = Milliseconds(100);
        message.starts = { { index, 1 } };
        return startTasks(runner, EntrySession, message, now);
    }

    // An incarnation with another id: its heartbeat, and a poll that rejects the previous id.
    RunnerActions replaceEndpoint(const EndpointReport &report)
    {
        RunnerActions actions = handleHeartbeat(runner, report, now);
        PollResult rejected;
        rejected.result.status = CommandStatus::OtherIncarnation;
        RunnerActions polled = completePoll(rejected);
        actions.updates.insert(actions.updates.end(), polled.updates.begin(), polled.updates.end());
        return actions;
    }

    RunnerActions replaceEndpoint(const std::string &id)
    {
        return replaceEndpoint(makeReport(id, 1));
    }

    RunnerActions end(std::uint32_t index)
    {
        PollResult poll;
        poll.ended = { { ++lastEndNumber, runId(index), RunOutcome::Done } };
        return completePoll(poll);
    }

    // Advances the clock and keeps the sessions alive.
    RunnerActions advance(Milliseconds duration)
    {
        now += duration;
        for (auto &[number, session] : runner.sessions)
            session.lastReceivedAt = now;
        return tick(runner, now);
    }

    RunnerState runner = makeRunner(RunnerSettings(), 1, 100);
    Time now { Seconds(100) };
    bool failPolls = false;
    std::uint64_t lastEndNumber = 0;
    std::uint64_t lastHeartbeat = 0;
};

// [SECTION] Actions

inline std::vector<jobs::RunReport> reportedEnds(const RunnerActions &actions)
{
    std::vector<jobs::RunReport> ends;
    for (const auto &[session, update] : actions.updates)
        ends.insert(ends.end(), update.ended.begin(), update.ended.end());
    return ends;
}

inline std::vector<std::uint32_t> startedIndexes(const RunnerActions &actions)
{
    std::vector<std::uint32_t> indexes;
    for (const StartCommand &command : actions.starts)
        indexes.push_back(command.id.task.index);
    return indexes;
}

} // namespace foxwing::runner
