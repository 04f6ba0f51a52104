/*
    Messages between an entry and an agent about runs.

    An entry opens a session; the agent answers with SessionAccepted once all runs of this entry's
    earlier sessions have ended. A session ends with its connection, or when either side has
    received nothing from the other for a while; the agent then stops the session's runs.

    [SECTION] From the entry
    [SECTION] From the agent
*/
#pragma once

#include <variant>

#include <foxwing/jobs/job.h>

namespace foxwing::jobs {

// [SECTION] From the entry

// Starts tasks of one step of a job. The agent starts or refuses each.
struct StartTasks
{
    std::string job;
    std::uint32_t repeat = 0;
    std::uint32_t step = 0;

    // Passed to each task unchanged
    std::string payload;
    ResourceVector demand;
    Milliseconds estimate { 0 };

    // Priority of the job's queue; smaller is more urgent
    std::uint32_t priority = 0;

    // How long a start may wait at the agent for free capacity; zero: refuse it at once.
    Milliseconds maxWait { 0 };

    struct Start
    {
        std::uint32_t index = 0;
        std::uint32_t run = 0;
    };
    std::vector<Start> starts;
};
template<class Fields>
void describe(Fields &fields, StartTasks::Start &start)
{
    fields("index", start.index);
    fields("run", start.run);
}
template<class Fields>
void describe(Fields &fields, StartTasks &message)
{
    fields("job", message.job);
    fields("repeat", message.repeat);
    fields("step", message.step);
    fields("payload", message.payload);
    fields("room", message.demand);
    fields("estimate", message.estimate);
    fields("priority", message.priority);
    fields("mayWait", message.maxWait);
    fields("starts", message.starts);
}

struct StopRuns
{
    std::vector<RunId> runs;
};
template<class Fields>
void describe(Fields &fields, StopRuns &message)
{
    fields("runs", message.runs);
}

// Keeps the session alive when there is nothing else to send.
struct SessionHeartbeat
{
    std::uint64_t number = 0;

    // Work at the entry waits for capacity, so the agent should report changes of it soon.
    bool needsCapacity = false;
};
template<class Fields>
void describe(Fields &fields, SessionHeartbeat &heartbeat)
{
    fields("number", heartbeat.number);
    fields("wantsRoom", heartbeat.needsCapacity);
}

// [SECTION] From the agent

// How a run ended.
enum class RunOutcome {
    Done,

    // Error of the task or of the endpoint
    Failed,

    // Stopped on request
    Stopped,

    // Killed when the endpoint's lease expired
    LeaseExpired,

    // The endpoint left after announcing it.
    Lost,

    // The task is known not to have begun.
    NeverStarted,

    // The endpoint disappeared without announcing that it leaves.
    Crashed,
};
constexpr RunOutcome lastOf(RunOutcome)
{
    return RunOutcome::Crashed;
}

const char *toString(RunOutcome outcome);

// Why an agent refused a start. The task is known not to have begun.
enum class StartRefusal {
    None,
    NoCapacity,
    Leaving,
    NotReady,

    // A run of the task with this number or a higher one has been seen.
    StaleRun,

    // The endpoint rejected the start, or the time left was too short to begin it.
    Endpoint,

    // The data centre is cordoned.
    Cordoned,
};
constexpr StartRefusal lastOf(StartRefusal)
{
    return StartRefusal::Cordoned;
}

const char *toString(StartRefusal refusal);

struct RunReport
{
    RunId id;
    RunOutcome end = RunOutcome::Done;

    // NeverStarted only
    StartRefusal refused = StartRefusal::None;

    // From the response to the start until the end, as measured by the agent
    Milliseconds duration { 0 };
};
template<class Fields>
void describe(Fields &fields, RunReport &report)
{
    fields("id", report.id);
    fields("end", report.end);
    fields("refused", report.refused);
    fields("took", report.duration);
}

// A run that takes much longer than its estimate.
struct StragglerReport
{
    RunId id;

    // Remaining time at the current rate of progress; zero without any progress
    Milliseconds remaining { 0 };
    bool stalled = false;

    // Most runs on the endpoint, of more than one job, are late too: the endpoint is slow rather
    // than the estimate wrong.
    bool endpointSlow = false;
};
template<class Fields>
void describe(Fields &fields, StragglerReport &report)
{
    fields("id", report.id);
    fields("left", report.remaining);
    fields("standsStill", report.stalled);
    fields("endpointSlow", report.endpointSlow);
}

// State of the agent's endpoint, as entries need it for placement.
struct EndpointView
{
    // Incarnation of the endpoint; empty while unknown
    std::string endpointIncarnation;
    std::string service;
    std::string dataCentre;
    std::vector<std::string> labels;
    ResourceVector capacity;
    ResourceVector free;

    // Maximum number of starts accepted now; less than capacity allows while the endpoint is on
    // probation
    std::uint32_t maxStarts = 0;

    // Run time relative to estimates, in thousandths; smaller is faster
    std::uint32_t slowdownPermille = 1000;
    bool leaving = false;
};
template<class Fields>
void describe(Fields &fields, EndpointView &view)
{
    fields("life", view.endpointIncarnation);
    fields("service", view.service);
    fields("dataCentre", view.dataCentre);
    fields("labels", view.labels);
    fields("capacity", view.capacity);
    fields("free", view.free);
    fields("mostStarts", view.maxStarts);
    fields("paceMille", view.slowdownPermille);
    fields("leaving", view.leaving);
}

// Starts of one priority that wait at an agent for capacity.
struct PriorityBacklog
{
    std::uint32_t priority = 0;
    std::int64_t milliCores = 0;
};
template<class Fields>
void describe(Fields &fields, PriorityBacklog &backlog)
{
    fields("priority", backlog.priority);
    fields("milliCores", backlog.milliCores);
}

// How often the agent's endpoint crashed while it ran the task, as far as the agent remembers
struct CrashReport
{
    TaskId task;
    std::uint32_t crashes = 0;
};
template<class Fields>
void describe(Fields &fields, CrashReport &report)
{
    fields("task", report.task);
    fields("crashes", report.crashes);
}

struct SessionAccepted
{
    // Incarnation of the agent
    std::uint64_t incarnation = 0;
    EndpointView endpoint;

    // All crashes that the agent remembers
    std::vector<CrashReport> crashed;
};
template<class Fields>
void describe(Fields &fields, SessionAccepted &accepted)
{
    fields("incarnation", accepted.incarnation);
    fields("endpoint", accepted.endpoint);
    fields("crashed", accepted.crashed);
}

// Changes at the agent. Contains all that happened before `free` was computed.
struct AgentUpdate
{
    // Number of the last heartbeat received
    std::uint64_t heartbeat = 0;

    // Number of this session's starts handled so far; `free` accounts for them.
    std::uint64_t startsHandled = 0;
    ResourceVector free;
    std::uint32_t maxStarts = 0;
    std::uint32_t slowdownPermille = 1000;
    bool leaving = false;

    // Waiting starts of all entries, one row per priority, most urgent first
    std::vector<PriorityBacklog> waiting;

    // Capacity recently freed by runs of all entries, in millicores per second
    std::uint32_t freedPerSecond = 0;
    std::vector<RunReport> ended;
    std::vector<StragglerReport> stragglers;

    // One element if it changed since the last update, otherwise empty
    std::vector<EndpointView> endpoint;

    // Changes since the last update
    std::vector<CrashReport> crashed;
};
template<class Fields>
void describe(Fields &fields, AgentUpdate &update)
{
    fields("beat", update.heartbeat);
    fields("startsTaken", update.startsHandled);
    fields("free", update.free);
    fields("mostStarts", update.maxStarts);
    fields("paceMille", update.slowdownPermille);
    fields("leaving", update.leaving);
    fields("waiting", update.waiting);
    fields("freedPerSecond", update.freedPerSecond);
    fields("ended", update.ended);
    fields("lagging", update.stragglers);
    fields("endpoint", update.endpoint);
    fields("crashed", update.crashed);
}

} // namespace foxwing::jobs
