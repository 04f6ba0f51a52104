/*
    What the runner's tests share: a runner with an endpoint and one entry, a clock, and what its
    actions hold.

        Bench bench;
        bench.start(1);
        EXPECT_EQ(endsIn(bench.end(1)).size(), 1U);

    [SECTION] Names
    [SECTION] Bench
    [SECTION] Actions
*/
#pragma once

#include <gtest/gtest.h>

#include <foxwing/runner/runner.h>

namespace foxwing::runner {

using jobs::RunId;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Names

constexpr std::uint64_t Entry = 1;

inline RunId runId(std::uint32_t index, std::uint32_t run = 1)
{
    return { { "job", 0, 0, index }, run };
}

inline EndpointReport makeReport(const std::string &life, std::uint64_t sequence)
{
    EndpointReport report;
    report.life.id = life;
    report.service = "align";
    report.capacity = { 4000, 1000, 0 };
    report.sequence = sequence;
    report.clock = Milliseconds(50000);
    return report;
}

// The same of a life that tells when it began, in milliseconds since 1970.
inline EndpointReport makeReport(const std::string &life, std::int64_t born, std::uint64_t sequence)
{
    EndpointReport report = makeReport(life, sequence);
    report.life.born = WallTime(Milliseconds(born));
    return report;
}

// What a look at that life shows: nothing runs there, unless the test adds it.
inline Look makeLook(std::int64_t born, Milliseconds clock)
{
    Look look;
    look.answered = { Answer::Ok, clock };
    look.born = WallTime(Milliseconds(born));
    return look;
}

// [SECTION] Bench

struct Bench
{
    Bench()
    {
        cordonsHeard(runner, {}, CordonSource::Control, now);
        endpointHeard(runner, makeReport("life-1", 1), now);
        answerLook({});
        openSession(runner, Entry, "entry-1", now);
    }

    // Answers the look that is under way, or the next one; what comes of it.
    RunnerActions answerLook(Look look)
    {
        while (!runner.lookUnderWay)
            pass(runner.settings.lookPause);
        if (look.answered.answer == Answer::None && !failLook)
            look.answered = { Answer::Ok, clock() };
        return lookAnswered(runner, runner.lookNumber, look, now);
    }

    Milliseconds clock() const
    {
        return Milliseconds(50000)
                + std::chrono::duration_cast<Milliseconds>(now - Time(Seconds(100)));
    }

    RunnerActions start(std::uint32_t index, std::int64_t cores = 1000, std::uint32_t run = 1)
    {
        jobs::StartTasks message;
        message.job = "job";
        message.demand = { cores, 10, 0 };
        message.estimate = Milliseconds(100);
        message.starts = { { index, run } };
        return startTasks(runner, Entry, message, now);
    }

    // A start that may wait here for 100 ms.
    RunnerActions startOrWait(std::uint32_t index, std::int64_t cores, std::uint32_t priority = 0)
    {
        jobs::StartTasks message;
        message.job = "job";
        message.demand = { cores, 10, 0 };
        message.estimate = Milliseconds(100);
        message.priority = priority;
        message.maxWait = Milliseconds(100);
        message.starts = { { index, 1 } };
        return startTasks(runner, Entry, message, now);
    }

    // Another life comes under another id: its heartbeat, and the endpoint's word that it is not
    // the one before.
    RunnerActions replacedBy(const EndpointReport &report)
    {
        RunnerActions all = endpointHeard(runner, report, now);
        Look disowned;
        disowned.answered.answer = Answer::OtherLife;
        RunnerActions some = answerLook(disowned);
        all.updates.insert(all.updates.end(), some.updates.begin(), some.updates.end());
        return all;
    }

    RunnerActions replacedBy(const std::string &life) { return replacedBy(makeReport(life, 1)); }

    RunnerActions end(std::uint32_t index)
    {
        Look look;
        look.ended = { { ++lastEnd, runId(index), RunOutcome::Done } };
        return answerLook(look);
    }

    // Time goes by, with the entry heard all the while.
    RunnerActions pass(Milliseconds span)
    {
        now += span;
        for (auto &[number, session] : runner.sessions)
            session.heardAt = now;
        return tick(runner, now);
    }

    RunnerState runner = makeRunner(RunnerSettings(), 1, 100);
    Time now { Seconds(100) };
    bool failLook = false;
    std::uint64_t lastEnd = 0;
    std::uint64_t lastBeat = 0;
};

// [SECTION] Actions

inline std::vector<jobs::RunReport> endsIn(const RunnerActions &actions)
{
    std::vector<jobs::RunReport> ends;
    for (const auto &[session, update] : actions.updates)
        ends.insert(ends.end(), update.ended.begin(), update.ended.end());
    return ends;
}

inline std::vector<std::uint32_t> startedIn(const RunnerActions &actions)
{
    std::vector<std::uint32_t> indexes;
    for (const StartOrder &order : actions.starts)
        indexes.push_back(order.id.task.index);
    return indexes;
}

} // namespace foxwing::runner
