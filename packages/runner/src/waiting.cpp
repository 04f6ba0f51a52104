/*
    Starts that wait at the agent for the next free room.

    Of several entries that want the same room the most urgent gets it, whichever entry learns of
    it first; and room does not stand idle for the time that its news takes to an entry and back.

    [SECTION] Waiting
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

using jobs::RunId;
using jobs::StartRefusal;

// [SECTION] Waiting

jobs::ResourceVector waitingRoom(const RunnerState &runner, std::uint32_t priority)
{
    jobs::ResourceVector demand;
    for (const WaitingStart &start : runner.waiting) {
        if (start.priority <= priority)
            demand += start.demand;
    }
    return demand;
}

std::vector<jobs::PriorityBacklog> waitingRows(const RunnerState &runner)
{
    std::vector<jobs::PriorityBacklog> rows;
    for (const WaitingStart &start : runner.waiting) {
        const bool full = rows.size() >= runner.settings.mostWaitingRows;
        if (rows.empty() || (rows.back().priority != start.priority && !full))
            rows.push_back({ start.priority, 0 });
        rows.back().milliCores += start.demand.milliCores;
    }
    return rows;
}

bool mayWaitHere(const RunnerState &runner, const jobs::StartTasks &message)
{
    if (message.maxWait.count() <= 0 || !jobs::fits(message.demand, runner.endpoint.capacity))
        return false;
    const std::int64_t waiting = waitingRoom(runner, message.priority).milliCores;
    return (waiting + message.demand.milliCores) * 100
            <= runner.endpoint.capacity.milliCores * runner.settings.waitingPercent;
}

bool isWaiting(const RunnerState &runner, const jobs::TaskId &task)
{
    return std::any_of(runner.waiting.begin(), runner.waiting.end(),
                       [&](const WaitingStart &start) { return start.id.task == task; });
}

void addWaiting(RunnerState &runner, WaitingStart start)
{
    const auto after = [&](const WaitingStart &other) { return other.priority > start.priority; };
    const auto place = std::find_if(runner.waiting.begin(), runner.waiting.end(), after);
    runner.waiting.insert(place, std::move(start));
}

void startWaiting(RunnerState &runner, Time now, RunnerActions &actions)
{
    const bool mayStart = maxStarts(runner, now) > 0;
    const StartRefusal never = runner.endpoint.leaving || runner.stopping ? StartRefusal::Leaving
            : isCordoned(runner)                                          ? StartRefusal::Cordoned
                                                                          : StartRefusal::NotReady;
    std::vector<WaitingStart> rest;
    rest.swap(runner.waiting);
    bool blocked = false;
    for (const WaitingStart &start : rest) {
        if (!mayStart || maxStarts(runner, now) == 0) {
            refuseStart(runner, start.session, start.id, never);
        } else if (now >= start.until || !jobs::fits(start.demand, runner.endpoint.capacity)) {
            // Too late also where room is free by now: after a pause of this process its entry may
            // have started the task elsewhere long ago, and both would run. And where the room has
            // shrunk below it, it would only hold up the others.
            refuseStart(runner, start.session, start.id, StartRefusal::NoCapacity);
        } else if (!blocked && jobs::fits(start.demand, freeRoom(runner))) {
            startRun(runner, start, now, actions);
        } else {
            // What comes free is kept for it: smaller ones would take it away for ever.
            blocked = true;
            runner.waiting.push_back(start);
        }
    }
}

bool dropWaiting(RunnerState &runner, const RunId &id)
{
    const auto found = std::find_if(runner.waiting.begin(), runner.waiting.end(),
                                    [&](const WaitingStart &start) {
                                        return start.id.task == id.task && start.id.run == id.run;
                                    });
    if (found == runner.waiting.end())
        return false;
    const std::uint64_t session = found->session;
    runner.waiting.erase(found);
    refuseStart(runner, session, id, StartRefusal::NoCapacity);
    return true;
}

void dropWaitingOf(RunnerState &runner, std::uint64_t session)
{
    const auto its = [&](const WaitingStart &start) { return start.session == session; };
    runner.waiting.erase(std::remove_if(runner.waiting.begin(), runner.waiting.end(), its),
                         runner.waiting.end());
}

} // namespace foxwing::runner
