/*
    Wait estimates: waiting work divided by the rate of released capacity.

    [SECTION] Picture
    [SECTION] Wait
*/
#include <foxwing/forecast/forecast.h>

#include <algorithm>
#include <cmath>

namespace foxwing::forecast {

// [SECTION] Picture

namespace {

void addWaiting(ServiceLoad &serviceLoad, const jobs::PriorityBacklog &told)
{
    const auto before = [](const jobs::PriorityBacklog &row, std::uint32_t priority) {
        return row.priority < priority;
    };
    const auto row = std::lower_bound(serviceLoad.waiting.begin(), serviceLoad.waiting.end(),
                                      told.priority, before);
    if (row != serviceLoad.waiting.end() && row->priority == told.priority)
        row->milliCores += told.milliCores;
    else
        serviceLoad.waiting.insert(row, told);
}

} // namespace

void addAgent(ServiceLoad &serviceLoad, const AgentNews &news, Time now)
{
    const Microseconds age = now - news.heardAt;
    if (age > OldestNews)
        return;
    serviceLoad.age = std::max(serviceLoad.age, age);
    serviceLoad.freedPerSecond += news.freedPerSecond;
    if (news.freeMilliCores > 0)
        serviceLoad.free.push_back(news.freeMilliCores);
    for (const jobs::PriorityBacklog &row : news.waiting)
        addWaiting(serviceLoad, row);
}

// [SECTION] Wait

namespace {

double waitingAtAgents(const ServiceLoad &serviceLoad, std::uint32_t priority)
{
    double milliCores = 0;
    for (const jobs::PriorityBacklog &row : serviceLoad.waiting) {
        if (row.priority <= priority)
            milliCores += static_cast<double>(row.milliCores);
    }
    return milliCores;
}

// Free capacity in whole tasks of this size; an endpoint's remainder can't be used.
double usableRoom(const ServiceLoad &serviceLoad, std::int64_t taskMilliCores)
{
    const std::int64_t task = std::max<std::int64_t>(1, taskMilliCores);
    double milliCores = 0;
    for (const std::int64_t free : serviceLoad.free) {
        const std::int64_t tasks = free / task;
        milliCores += static_cast<double>(tasks * task);
    }
    return milliCores;
}

Milliseconds rounded(double seconds)
{
    const double most = std::chrono::duration<double>(LongestWait).count();
    return Milliseconds(std::llround(std::min(seconds, most) * 1000));
}

} // namespace

bool hasWorkAhead(const ServiceLoad &serviceLoad, const JobDemand &wanted)
{
    return wanted.queuedAhead > 0 || waitingAtAgents(serviceLoad, wanted.priority) > 0;
}

std::optional<Milliseconds> expectedWait(const ServiceLoad &serviceLoad, const JobDemand &wanted)
{
    // The free capacity reported by agents already excludes their own waiting starts.
    const double here = static_cast<double>(wanted.queuedAhead + wanted.milliCores)
            - usableRoom(serviceLoad, wanted.taskMilliCores);
    if (here <= 0)
        return Milliseconds(0);
    const double pace = serviceLoad.freedPerSecond * serviceLoad.share;
    if (pace <= 0)
        return std::nullopt;
    return rounded(waitingAtAgents(serviceLoad, wanted.priority) / serviceLoad.freedPerSecond
                   + here / pace);
}

Milliseconds estimateRetryAfter(const ServiceLoad &serviceLoad, const JobDemand &wanted,
                                double chance)
{
    const Milliseconds wait = expectedWait(serviceLoad, wanted).value_or(MaxRetryAfter);
    const double base = static_cast<double>(
            std::clamp(wait, MinRetryAfter, MaxRetryAfter / 2).count());
    const double spread = std::clamp(chance, 0.0, 1.0);
    return std::min(MaxRetryAfter, Milliseconds(std::llround(base * (1 + spread))));
}

} // namespace foxwing::forecast
