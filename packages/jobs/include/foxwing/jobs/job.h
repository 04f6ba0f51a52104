/*
    Job specification: steps of tasks, and the resources that each task takes.

    A job's tasks are identified by step and index. Each start of a task is a run; the runs of one
    task are numbered from 1 and never overlap.

    [SECTION] Resources
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

// [SECTION] Resources

// Resources that a task takes or that an endpoint has.
struct ResourceVector
{
    // Thousandths of a core
    std::int64_t milliCores = 0;
    std::int64_t megabytes = 0;
    std::int64_t accelerators = 0;
};
template<class Fields>
void describe(Fields &fields, ResourceVector &resources)
{
    fields("milliCores", resources.milliCores);
    fields("megabytes", resources.megabytes);
    fields("accelerators", resources.accelerators);
}

inline bool fits(const ResourceVector &demand, const ResourceVector &free)
{
    return demand.milliCores <= free.milliCores && demand.megabytes <= free.megabytes
            && demand.accelerators <= free.accelerators;
}

inline ResourceVector &operator+=(ResourceVector &resources, const ResourceVector &other)
{
    resources.milliCores += other.milliCores;
    resources.megabytes += other.megabytes;
    resources.accelerators += other.accelerators;
    return resources;
}

inline ResourceVector &operator-=(ResourceVector &resources, const ResourceVector &other)
{
    resources.milliCores -= other.milliCores;
    resources.megabytes -= other.megabytes;
    resources.accelerators -= other.accelerators;
    return resources;
}

inline bool operator==(const ResourceVector &left, const ResourceVector &right)
{
    return left.milliCores == right.milliCores && left.megabytes == right.megabytes
            && left.accelerators == right.accelerators;
}

// [SECTION] Tasks

struct TaskId
{
    // Chosen by the caller
    std::string job;

    // Iteration of a repeated job, from 0
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

    // The caller's estimate of one task's run time; often far off
    Milliseconds estimate { 0 };

    // Steps that must be complete before this one starts
    std::vector<std::uint32_t> after;

    // Label that the endpoint must have; empty: any endpoint
    std::string label;

    // Preferred rack, the one that holds the data; elsewhere tasks run slower. Empty: any
    std::string rack;

    // Maximum number of this step's tasks on one endpoint; 0: unlimited
    std::uint32_t maxPerEndpoint = 0;
};

// Features beyond tasks that run once and return a result.
struct JobTraits
{
    // The caller queries the job's state later, so the job must outlive this process.
    bool durable = true;

    // The tasks of a step only work when they all run together.
    bool gang = false;

    // Tasks run until the job is cancelled.
    bool longRunning = false;

    // Steps run repeatedly at set times.
    bool recurring = false;
};

struct JobSpec
{
    std::string id;

    // Passed to each task unchanged
    std::string payload;
    std::vector<StepSpec> steps;
    JobTraits traits;
};

// Estimate of the bytes that it takes, without its tasks
inline std::size_t memoryOf(const JobSpec &job)
{
    std::size_t bytes = job.id.size() + job.payload.size();
    for (const StepSpec &step : job.steps)
        bytes += sizeof(StepSpec) + step.after.size() * sizeof(std::uint32_t) + step.label.size()
                + step.rack.size();
    return bytes;
}

} // namespace foxwing::jobs
