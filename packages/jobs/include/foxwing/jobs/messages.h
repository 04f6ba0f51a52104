/*
    What an entry and an agent tell each other about runs.

    An entry opens a session with Hello; the agent answers Welcome once nothing of this entry's
    earlier sessions runs any more. A session ends with its connection, or when either side has not
    heard the other for a while; the agent then stops what the session runs.

    [SECTION] From the entry
    [SECTION] From the agent
*/
#pragma once

#include <variant>

#include <foxwing/jobs/job.h>

namespace foxwing::jobs {

// [SECTION] From the entry

// Tasks of one step of a job, to be started now or refused now.
struct StartTasks
{
    std::string job;
    std::uint32_t repeat = 0;
    std::uint32_t step = 0;

    // Handed to each task as it is
    std::string payload;
    ResourceVector demand;
    Milliseconds estimate { 0 };

    // Of the job's queue; smaller is more urgent
    std::uint32_t priority = 0;

    // Where there is no room, a start may wait for it at the agent for this long; zero: it is
    // refused at once.
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

// Keeps the session alive when there is nothing else to say.
struct SessionHeartbeat
{
    std::uint64_t number = 0;

    // Work waits at the entry for room: it needs fresh news of it.
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

    // By its own fault or the endpoint's
    Failed,

    // Told to stop
    Stopped,

    // Killed at the end of the endpoint's lease
    LeaseExpired,

    // Its endpoint is gone, as it had said.
    Lost,

    // Certainly never began.
    NeverStarted,

    // Its endpoint is gone and had not said that it leaves.
    Crashed,
};
constexpr RunOutcome lastOf(RunOutcome)
{
    return RunOutcome::Crashed;
}

const char *toString(RunOutcome end);

// Why an agent did not even try a start. The task certainly did not begin.
enum class StartRefusal {
    None,
    NoCapacity,
    Leaving,
    NotReady,

    // A run with this number or a higher one was there before.
    StaleRun,

    // The endpoint had no time left to begin it, or turned it down.
    Endpoint,

    // The data centre is cordoned.
    Cordoned,
};
constexpr StartRefusal lastOf(StartRefusal)
{
    return StartRefusal::Cordoned;
}

const char *toString(StartRefusal why);

struct RunReport
{
    RunId id;
    RunOutcome end = RunOutcome::Done;

    // NeverStarted only
    StartRefusal refused = StartRefusal::None;

    // From the start's answer to the end, as the agent saw it
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

// A run that is far behind what its estimate promises.
struct StragglerReport
{
    RunId id;

    // What is left at its present pace; zero if it stands still.
    Milliseconds remaining { 0 };
    bool stalled = false;

    // Most of what runs beside it, of other jobs too, is behind: it is the endpoint, and not the
    // estimate.
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

// The agent's endpoint as an entry needs to know it.
struct EndpointView
{
    // One life of the endpoint; empty while none is known
    std::string endpointIncarnation;
    std::string service;
    std::string dataCentre;
    std::vector<std::string> labels;
    ResourceVector capacity;
    ResourceVector free;

    // Starts that are taken at the most just now: fewer than fit while the endpoint is on trial
    std::uint32_t maxStarts = 0;

    // Time taken by work here against its estimates; smaller is faster. In thousandths
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

// Starts that wait at an agent for room, of one priority.
struct PriorityBacklog
{
    std::uint32_t priority = 0;
    std::int64_t milliCores = 0;
};
template<class Fields>
void describe(Fields &fields, PriorityBacklog &waiting)
{
    fields("priority", waiting.priority);
    fields("milliCores", waiting.milliCores);
}

// How often the agent's endpoint crashed while it ran the task, as far as the agent remembers.
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
    // One life of the agent
    std::uint64_t incarnation = 0;
    EndpointView endpoint;

    // All that it remembers
    std::vector<CrashReport> crashed;
};
template<class Fields>
void describe(Fields &fields, SessionAccepted &welcome)
{
    fields("incarnation", welcome.incarnation);
    fields("endpoint", welcome.endpoint);
    fields("crashed", welcome.crashed);
}

// What changed. Everything that happened before free was worked out is in it.
struct AgentUpdate
{
    // The last beat that was heard
    std::uint64_t heartbeat = 0;

    // Starts of this session that were dealt with so far; free has them in it.
    std::uint64_t startsHandled = 0;
    ResourceVector free;
    std::uint32_t maxStarts = 0;
    std::uint32_t slowdownPermille = 1000;
    bool leaving = false;

    // Starts of all entries that wait here, a row for each priority; most urgent first
    std::vector<PriorityBacklog> waiting;

    // Room that runs of all entries gave back here of late, in thousandths of a core a second
    std::uint32_t freedPerSecond = 0;
    std::vector<RunReport> ended;
    std::vector<StragglerReport> stragglers;

    // Set if it changed since the last update.
    std::vector<EndpointView> endpoint;

    // What changed since the last update
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
