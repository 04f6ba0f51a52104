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
    Room room;
    Milliseconds estimate { 0 };

    // Of the job's queue; smaller is more urgent
    std::uint32_t priority = 0;

    // Where there is no room, a start may wait for it at the agent for this long; zero: it is
    // refused at once.
    Milliseconds mayWait { 0 };

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
    fields("room", message.room);
    fields("estimate", message.estimate);
    fields("priority", message.priority);
    fields("mayWait", message.mayWait);
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
struct SessionBeat
{
    std::uint64_t number = 0;

    // Work waits at the entry for room: it needs fresh news of it.
    bool wantsRoom = false;
};
template<class Fields>
void describe(Fields &fields, SessionBeat &beat)
{
    fields("number", beat.number);
    fields("wantsRoom", beat.wantsRoom);
}

// [SECTION] From the agent

// How a run ended.
enum class RunEnd {
    Done,

    // By its own fault or the endpoint's
    Failed,

    // Told to stop
    Stopped,

    // Killed at the end of the endpoint's lease
    Lapsed,

    // Its endpoint is gone, as it had said.
    Lost,

    // Certainly never began.
    NeverBegan,

    // Its endpoint is gone and had not said that it leaves.
    Crashed,
};
constexpr RunEnd lastOf(RunEnd)
{
    return RunEnd::Crashed;
}

const char *toString(RunEnd end);

// Why an agent did not even try a start. The task certainly did not begin.
enum class RefusedStart {
    None,
    NoRoom,
    Leaving,
    NotReady,

    // A run with this number or a higher one was there before.
    OldRun,

    // The endpoint had no time left to begin it, or turned it down.
    Endpoint,

    // The data centre is cordoned.
    Cordoned,
};
constexpr RefusedStart lastOf(RefusedStart)
{
    return RefusedStart::Cordoned;
}

const char *toString(RefusedStart why);

struct RunReport
{
    RunId id;
    RunEnd end = RunEnd::Done;

    // NeverBegan only
    RefusedStart refused = RefusedStart::None;

    // From the start's answer to the end, as the agent saw it
    Milliseconds took { 0 };
};
template<class Fields>
void describe(Fields &fields, RunReport &report)
{
    fields("id", report.id);
    fields("end", report.end);
    fields("refused", report.refused);
    fields("took", report.took);
}

// A run that is far behind what its estimate promises.
struct LagReport
{
    RunId id;

    // What is left at its present pace; zero if it stands still.
    Milliseconds left { 0 };
    bool standsStill = false;

    // Most of what runs beside it, of other jobs too, is behind: it is the endpoint, and not the
    // estimate.
    bool endpointSlow = false;
};
template<class Fields>
void describe(Fields &fields, LagReport &report)
{
    fields("id", report.id);
    fields("left", report.left);
    fields("standsStill", report.standsStill);
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
    Room capacity;
    Room free;

    // Starts that are taken at the most just now: fewer than fit while the endpoint is on trial
    std::uint32_t mostStarts = 0;

    // Time taken by work here against its estimates; smaller is faster. In thousandths
    std::uint32_t paceMille = 1000;
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
    fields("mostStarts", view.mostStarts);
    fields("paceMille", view.paceMille);
    fields("leaving", view.leaving);
}

// Starts that wait at an agent for room, of one priority.
struct WaitingRoom
{
    std::uint32_t priority = 0;
    std::int64_t milliCores = 0;
};
template<class Fields>
void describe(Fields &fields, WaitingRoom &waiting)
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

struct Welcome
{
    // One life of the agent
    std::uint64_t incarnation = 0;
    EndpointView endpoint;

    // All that it remembers
    std::vector<CrashReport> crashed;
};
template<class Fields>
void describe(Fields &fields, Welcome &welcome)
{
    fields("incarnation", welcome.incarnation);
    fields("endpoint", welcome.endpoint);
    fields("crashed", welcome.crashed);
}

// What changed. Everything that happened before free was worked out is in it.
struct AgentUpdate
{
    // The last beat that was heard
    std::uint64_t beat = 0;

    // Starts of this session that were dealt with so far; free has them in it.
    std::uint64_t startsTaken = 0;
    Room free;
    std::uint32_t mostStarts = 0;
    std::uint32_t paceMille = 1000;
    bool leaving = false;

    // Starts of all entries that wait here, a row for each priority; most urgent first
    std::vector<WaitingRoom> waiting;

    // Room that runs of all entries gave back here of late, in thousandths of a core a second
    std::uint32_t freedPerSecond = 0;
    std::vector<RunReport> ended;
    std::vector<LagReport> lagging;

    // Set if it changed since the last update.
    std::vector<EndpointView> endpoint;

    // What changed since the last update
    std::vector<CrashReport> crashed;
};
template<class Fields>
void describe(Fields &fields, AgentUpdate &update)
{
    fields("beat", update.beat);
    fields("startsTaken", update.startsTaken);
    fields("free", update.free);
    fields("mostStarts", update.mostStarts);
    fields("paceMille", update.paceMille);
    fields("leaving", update.leaving);
    fields("waiting", update.waiting);
    fields("freedPerSecond", update.freedPerSecond);
    fields("ended", update.ended);
    fields("lagging", update.lagging);
    fields("endpoint", update.endpoint);
    fields("crashed", update.crashed);
}

} // namespace foxwing::jobs
