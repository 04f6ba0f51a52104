/*
    Test fixture of the scheduler: a scheduler with agents and a clock, and queries on its actions.

        SchedulerFixture fixture({ 4000, 4000 });
        const SchedulerActions actions = fixture.submit("job", 3);
        EXPECT_EQ(startsIn(actions), 3U);

    [SECTION] Fixture
    [SECTION] Actions
*/
#pragma once

#include <gtest/gtest.h>

#include <foxwing/scheduler/scheduler.h>

namespace foxwing::scheduler {

using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Fixture

inline jobs::EndpointView makeView(std::int64_t milliCores)
{
    jobs::EndpointView view;
    view.endpointIncarnation = "life";
    view.service = "align";
    view.capacity = { milliCores, 10000, 0 };
    view.free = view.capacity;
    view.maxStarts = 1000;
    return view;
}

struct SchedulerFixture
{
    explicit SchedulerFixture(const std::vector<std::int64_t> &milliCores,
                              const SchedulerSettings &settings = {})
        : scheduler(makeScheduler(settings))
    {
        for (std::size_t i = 0; i < milliCores.size(); ++i)
            openSession("agent-" + std::to_string(i), makeView(milliCores[i]));
    }

    SchedulerActions openSession(const std::string &name, const jobs::EndpointView &view)
    {
        agentConnected(scheduler, name, now);
        jobs::SessionAccepted message;
        message.endpoint = view;
        return agentAccepted(scheduler, name, message, now);
    }

    // A job of one step, whose tasks take 1000 millicores and 100 ms.
    SchedulerActions submit(const std::string &id, std::uint32_t tasks)
    {
        jobs::StepSpec step;
        step.tasks = tasks;
        step.demand = { 1000, 10, 0 };
        step.estimate = Milliseconds(100);
        return submit(id, { step });
    }

    SchedulerActions submit(const std::string &id, const std::vector<jobs::StepSpec> &steps)
    {
        jobs::JobSpec spec;
        spec.id = id;
        spec.steps = steps;
        spec.traits = traits;
        return scheduler::submit(scheduler, spec, options(), now, &number);
    }

    JobOptions options() const
    {
        JobOptions options;
        options.queue = "queue";
        options.service = "align";
        options.maxAttempts = 2;
        options.stretch = 1.6;
        options.priority = priority;
        options.targetLatency = Milliseconds(60);
        options.startDeadline = now + Milliseconds(1500);
        return options;
    }

    // An update by the agent that includes all starts sent to it.
    SchedulerActions report(const std::string &agent, const std::vector<jobs::RunReport> &ended,
                            std::int64_t free = 100000)
    {
        jobs::AgentUpdate update;
        update.startsHandled = scheduler.agents.at(agent).startsSent;
        update.free = { free, 10000, 0 };
        update.maxStarts = 1000;
        update.ended = ended;
        return agentUpdated(scheduler, agent, update, now);
    }

    SchedulerActions advance(Milliseconds duration)
    {
        now += duration;
        for (auto &[name, agent] : scheduler.agents)
            agent.lastReceivedAt = now;
        return tick(scheduler, now);
    }

    SchedulerState scheduler;
    Time now { Seconds(100) };
    std::uint64_t number = 0;
    std::uint32_t priority = 0;
    jobs::JobTraits traits { false, false, false, false };
};

// [SECTION] Actions

inline std::size_t startsIn(const SchedulerActions &actions)
{
    std::size_t count = 0;
    for (const AgentSend &send : actions.sends) {
        if (const auto *start = std::get_if<jobs::StartTasks>(&send.message))
            count += start->starts.size();
    }
    return count;
}

inline std::size_t stopsIn(const SchedulerActions &actions)
{
    std::size_t count = 0;
    for (const AgentSend &send : actions.sends) {
        if (const auto *stop = std::get_if<jobs::StopRuns>(&send.message))
            count += stop->runs.size();
    }
    return count;
}

inline jobs::RunReport runReport(const std::string &job, std::uint32_t index, std::uint32_t run,
                                 RunOutcome end, StartRefusal refused = StartRefusal::None)
{
    return { { { job, 0, 0, index }, run }, end, refused, Milliseconds(100) };
}

} // namespace foxwing::scheduler
