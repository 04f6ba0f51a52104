/*
    What a job is: steps of tasks, and the room that each task takes.

    A job's tasks are named by step and index. A start of a task is a run; runs of one task are
    numbered from 1 and never overlap.

    [SECTION] Room
    [SECTION] Tasks
    [SECTION] Jobs
*/
#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <foxwing/base/time.h>

namespace foxwing::jobs {

// [SECTION] Room

// What a task takes of an endpoint, or what an endpoint has.
struct ResourceVector
{
    // Thousandths of a core
    std::int64_t milliCores = 0;
    std::int64_t megabytes = 0;
    std::int64_t accelerators = 0;
};
template<class Fields>
void describe(Fields &fields, ResourceVector &demand)
{
    fields("milliCores", demand.milliCores);
    fields("megabytes", demand.megabytes);
    fields("accelerators", demand.accelerators);
}

inline bool fits(const ResourceVector &needed, const ResourceVector &free)
{
    return needed.milliCores <= free.milliCores && needed.megabytes <= free.megabytes
            && needed.accelerators <= free.accelerators;
}

inline ResourceVector &operator+=(ResourceVector &demand, const ResourceVector &other)
{
    demand.milliCores += other.milliCores;
    demand.megabytes += other.megabytes;
    demand.accelerators += other.accelerators;
    return demand;
}

inline ResourceVector &operator-=(ResourceVector &demand, const ResourceVector &other)
{
    demand.milliCores -= other.milliCores;
    demand.megabytes -= other.megabytes;
    demand.accelerators -= other.accelerators;
    return demand;
}

inline bool operator==(const ResourceVector &left, const ResourceVector &right)
{
    return left.milliCores == right.milliCores && left.megabytes == right.megabytes
            && left.accelerators == right.accelerators;
}

// [SECTION] Tasks

struct TaskId
{
    // As the caller named it
    std::string job;

    // Which time of a repeated job, from 0
    std::uint32_t repeat = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator<(const TaskId &other) const
    {
        return std::tie(job, repeat, step, index)
                < std::tie(other.job, other.repeat, other.step, other.index);
    }
    bool operator==(const TaskId &other) const
    {
        return std::tie(index, step, repeat, job)
                == std::tie(other.index, other.step, other.repeat, other.job);
    }
};
template<class Fields>
void describe(Fields &fields, TaskId &task)
{
    fields("job", task.job);
    fields("repeat", task.repeat);
    fields("step", task.step);
    fields("index", task.index);
}

// One start of a task.
struct RunId
{
    TaskId task;
    std::uint32_t run = 0;

    bool operator<(const RunId &other) const
    {
        return std::tie(run, task) < std::tie(other.run, other.task);
    }
    bool operator==(const RunId &other) const { return run == other.run && task == other.task; }
};
template<class Fields>
void describe(Fields &fields, RunId &id)
{
    fields("task", id.task);
    fields("run", id.run);
}

// [SECTION] Jobs

struct StepSpec
{
    std::uint32_t tasks = 0;
    ResourceVector demand;

    // The caller's guess of one task's time; often far off.
    Milliseconds estimate { 0 };

    // Steps whose tasks must all be done first
    std::vector<std::uint32_t> after;

    // A label that the endpoint must have; empty for any
    std::string label;

    // The rack where the data lies; elsewhere the work takes longer. Empty for any
    std::string rack;

    // Tasks of this step on one endpoint at the most; 0 for any number
    std::uint32_t maxPerEndpoint = 0;
};

// What makes a job more than tasks that run once and are answered.
struct JobTraits
{
    // The caller asks for the state later: the job must outlive this process.
    bool durable = true;

    // Tasks of a step that only work together
    bool gang = false;

    // Tasks that run until the job is cancelled
    bool longRunning = false;

    // Steps that run again and again at set times
    bool recurring = false;
};

struct JobSpec
{
    std::string id;

    // Handed to each task as it is
    std::string payload;
    std::vector<StepSpec> steps;
    JobTraits traits;
};

} // namespace foxwing::jobs
