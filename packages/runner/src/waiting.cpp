/*
    Starts that wait at the agent for capacity.

    Freed capacity goes to the most urgent start of all entries, whichever entry learns of it first,
    and isn't idle for a round trip to an entry.

    [SECTION] Waiting starts
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

using jobs::RunId;
using jobs::StartRefusal;

// [SECTION] Waiting starts

jobs::ResourceVector waitingDemand(const RunnerState &runner, std::uint32_t priority)
{
    jobs::ResourceVector demand;
    for (const WaitingStart &start : runner.waiting) {
        if (start.priority <= priority)
            demand += start.demand;
    }
    return demand;
}

std::vector<jobs::PriorityBacklog> backlogRows(const RunnerState &runner)
{
    std::vector<jobs::PriorityBacklog> rows;
    for (const WaitingStart &start : runner.waiting) {
        const bool full = rows.size() >= runner.settings.maxWaitingRows;
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
    const std::int64_t waiting = waitingDemand(runner, message.priority).milliCores;
    return (waiting + message.demand.milliCores) * 100
            <= runner.endpoint.capacity.milliCores * runner.settings.maxWaitingPercent;
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
    const StartRefusal refusal = runner.endpoint.leaving || runner.stopping ? StartRefusal::Leaving
            : isCordoned(runner)                                            ? StartRefusal::Cordoned
                                 : StartRefusal::NotReady;
    std::vector<WaitingStart> pending;
    pending.swap(runner.waiting);
    bool blocked = false;
    for (const WaitingStart &start : pending) {
        if (!mayStart || maxStarts(runner, now) == 0) {
            refuseStart(runner, start.session, start.id, refusal);
        } else if (now >= start.until || !jobs::fits(start.demand, runner.endpoint.capacity)) {
            // An expired start is refused even if it fits now: after a pause of this process its
            // entry may have started the task elsewhere, and both would run. One that exceeds a
            // reduced total capacity would only block the others.
            refuseStart(runner, start.session, start.id, StartRefusal::NoCapacity);
        } else if (!blocked && jobs::fits(start.demand, freeCapacity(runner))) {
            startRun(runner, start, now, actions);
        } else {
            // Freed capacity is reserved for it; otherwise smaller starts could starve it.
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
    const auto ofSession = [&](const WaitingStart &start) { return start.session == session; };
    runner.waiting.erase(std::remove_if(runner.waiting.begin(), runner.waiting.end(), ofSession),
                         runner.waiting.end());
}

} // namespace foxwing::runner
