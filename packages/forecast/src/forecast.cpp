/*
    Wait estimates: waiting work divided by the rate of freed capacity.

    [SECTION] Input
    [SECTION] Wait
*/
#include <foxwing/forecast/forecast.h>

#include <algorithm>
#include <cmath>

namespace foxwing::forecast {

// [SECTION] Input

namespace {

void addBacklog(ServiceLoad &serviceLoad, const jobs::PriorityBacklog &backlog)
{
    const auto isMoreUrgent = [](const jobs::PriorityBacklog &row, std::uint32_t priority) {
        return row.priority < priority;
    };
    const auto row = std::lower_bound(serviceLoad.waiting.begin(), serviceLoad.waiting.end(),
                                      backlog.priority, isMoreUrgent);
    if (row != serviceLoad.waiting.end() && row->priority == backlog.priority)
        row->milliCores += backlog.milliCores;
    else
        serviceLoad.waiting.insert(row, backlog);
}

} // namespace

void addAgent(ServiceLoad &serviceLoad, const AgentReport &report, Time now)
{
    const Microseconds age = now - report.lastReceivedAt;
    if (age > MaxReportAge)
        return;
    serviceLoad.age = std::max(serviceLoad.age, age);
    serviceLoad.freedPerSecond += report.freedPerSecond;
    if (report.freeMilliCores > 0)
        serviceLoad.free.push_back(report.freeMilliCores);
    for (const jobs::PriorityBacklog &row : report.waiting)
        addBacklog(serviceLoad, row);
}

// [SECTION] Wait

namespace {

double agentBacklog(const ServiceLoad &serviceLoad, std::uint32_t priority)
{
    double milliCores = 0;
    for (const jobs::PriorityBacklog &row : serviceLoad.waiting) {
        if (row.priority <= priority)
            milliCores += static_cast<double>(row.milliCores);
    }
    return milliCores;
}

// Free capacity in whole tasks of this size; an endpoint's remainder can't be used.
double usableCapacity(const ServiceLoad &serviceLoad, std::int64_t taskMilliCores)
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
    const double maxSeconds = std::chrono::duration<double>(MaxWait).count();
    return Milliseconds(std::llround(std::min(seconds, maxSeconds) * 1000));
}

} // namespace

bool hasWorkAhead(const ServiceLoad &serviceLoad, const JobDemand &demand)
{
    return demand.queuedAhead > 0 || agentBacklog(serviceLoad, demand.priority) > 0;
}

std::optional<Milliseconds> expectedWait(const ServiceLoad &serviceLoad, const JobDemand &demand)
{
    // The free capacity reported by agents already excludes their own waiting starts.
    const double localDemand = static_cast<double>(demand.queuedAhead + demand.milliCores)
            - usableCapacity(serviceLoad, demand.taskMilliCores);
    if (localDemand <= 0)
        return Milliseconds(0);
    const double localRate = serviceLoad.freedPerSecond * serviceLoad.share;
    if (localRate <= 0)
        return std::nullopt;
    return rounded(agentBacklog(serviceLoad, demand.priority) / serviceLoad.freedPerSecond
                   + localDemand / localRate);
}

Milliseconds estimateRetryAfter(const ServiceLoad &serviceLoad, const JobDemand &demand,
                                double jitter)
{
    const Milliseconds wait = expectedWait(serviceLoad, demand).value_or(MaxRetryAfter);
    const double base = static_cast<double>(
            std::clamp(wait, MinRetryAfter, MaxRetryAfter / 2).count());
    const double spread = std::clamp(jitter, 0.0, 1.0);
    return std::min(MaxRetryAfter, Milliseconds(std::llround(base * (1 + spread))));
}

} // namespace foxwing::forecast
