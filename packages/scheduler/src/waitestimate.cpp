/*
    Use of the forecast: its input for a service, this entry's share of freed capacity, and the
    waits of its jobs that follow.

    [SECTION] Service load
    [SECTION] Share
    [SECTION] Waits
    [SECTION] Late jobs
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

// [SECTION] Service load

bool usesForecast(const SchedulerState &scheduler)
{
    return scheduler.settings.forecast || scheduler.settings.serveLate;
}

namespace {

bool takesWork(const SchedulerState &scheduler, const Agent &agent, const std::string &service)
{
    return agent.accepted && !agent.endpoint.leaving && agent.endpoint.maxStarts > 0
            && agent.endpoint.service == service && !isCordoned(scheduler, agent);
}

} // namespace

forecast::ServiceLoad serviceLoadOf(const SchedulerState &scheduler, const std::string &service,
                                    Time now)
{
    forecast::ServiceLoad serviceLoad;
    for (const auto &[name, agent] : scheduler.agents) {
        if (takesWork(scheduler, agent, service))
            forecast::addAgent(serviceLoad,
                               { freeAt(agent).milliCores, agent.waiting, agent.freedPerSecond,
                                 agent.lastReceivedAt },
                               now);
    }
    return serviceLoad;
}

// [SECTION] Share

namespace {

// Lower bound, so that a queue of which nothing ran lately is tried again.
constexpr double MinShare = 0.01;

std::set<std::string> services(const SchedulerState &scheduler)
{
    std::set<std::string> names;
    for (const auto &[name, agent] : scheduler.agents) {
        if (agent.accepted)
            names.insert(agent.endpoint.service);
    }
    return names;
}

bool ordersByPriority(const SchedulerState &scheduler)
{
    const Order order = scheduler.settings.order;
    return order == Order::Priority || order == Order::LeastWork;
}

} // namespace

void addReportedFreed(SchedulerState &scheduler, Time now)
{
    const SchedulerSettings &settings = scheduler.settings;
    const Microseconds elapsed = now - scheduler.reportedFreedAt;
    if (!usesForecast(scheduler) || elapsed < settings.shareInterval)
        return;
    scheduler.reportedFreedAt = now;
    // After a pause of this process, the rate in between is not known.
    if (elapsed > 2 * settings.shareInterval)
        return;
    for (const std::string &service : services(scheduler)) {
        const double rate = serviceLoadOf(scheduler, service, now).freedPerSecond;
        addTo(scheduler.reportedFreed[service], settings.shareWindow,
              rate * std::chrono::duration<double>(elapsed).count(), now);
    }
}

double shareFor(const SchedulerState &scheduler, const std::string &service, std::uint32_t priority,
                Time now)
{
    const double equalShare = 1.0 / std::max(1U, scheduler.entryCount);
    const auto freed = scheduler.freed.find(service);
    const auto total = scheduler.reportedFreed.find(service);
    if (freed == scheduler.freed.end() || total == scheduler.reportedFreed.end())
        return equalShare;
    const Milliseconds window = scheduler.settings.shareWindow;
    const double reportedFreed = decayedAmount(total->second, window, now);
    double own = 0;
    for (const auto &[other, sum] : freed->second.own) {
        if (other >= priority || !ordersByPriority(scheduler))
            own += decayedAmount(sum, window, now);
    }
    return reportedFreed > 0 ? std::clamp(own / reportedFreed, MinShare, 1.0) : equalShare;
}

double totalShare(const SchedulerState &scheduler, const std::string &service, Time now)
{
    return shareFor(scheduler, service, 0, now);
}

// [SECTION] Waits

namespace {

// Declared capacities are not validated, and sums of them must not overflow.
constexpr double MaxMilliCores = 1e12;

std::int64_t milliCoresOf(const jobs::StepSpec &step, std::uint32_t tasks)
{
    const double milliCores = static_cast<double>(step.demand.milliCores) * tasks;
    return static_cast<std::int64_t>(std::min(MaxMilliCores, milliCores));
}

std::int64_t waitingMilliCores(const Job &job)
{
    // A job that is being admitted has no tasks yet.
    const jobs::StepSpec &step = job.spec.steps.front();
    return milliCoresOf(step, job.tasks.empty() ? step.tasks : job.waiting);
}

forecast::JobDemand demandOf(const Job &job, std::int64_t queuedAhead)
{
    return { job.options.priority, job.spec.steps.front().demand.milliCores, waitingMilliCores(job),
             queuedAhead };
}

std::int64_t workAhead(const SchedulerState &scheduler, const Job &arriving, const QueueKey &ownKey)
{
    std::int64_t work = 0;
    for (const QueueKey &key : scheduler.queue) {
        if (!(key < ownKey))
            break;
        const Job &job = scheduler.jobs.at(key.number);
        if (job.options.service == arriving.options.service)
            work += waitingMilliCores(job);
    }
    return work;
}

} // namespace

std::optional<Milliseconds> waitIfOnTime(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (job.spec.steps.empty())
        return std::nullopt;
    forecast::ServiceLoad serviceLoad = serviceLoadOf(scheduler, job.options.service, now);
    serviceLoad.share = shareFor(scheduler, job.options.service, job.options.priority, now);
    const forecast::JobDemand jobDemand = demandOf(job,
                                                   workAhead(scheduler, job,
                                                             keyOf(scheduler, job)));
    // The first job in line is tried whatever its size.
    if (!forecast::hasWorkAhead(serviceLoad, jobDemand))
        return Milliseconds(0);
    return forecast::expectedWait(serviceLoad, jobDemand);
}

std::optional<Milliseconds> waitIfLate(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (job.spec.steps.empty())
        return std::nullopt;
    forecast::ServiceLoad serviceLoad = serviceLoadOf(scheduler, job.options.service, now);
    serviceLoad.share = totalShare(scheduler, job.options.service, now);
    QueueKey ownKey = keyOf(scheduler, job);
    ownKey.group = QueueGroup::Late;
    ownKey.sortValue = job.lateStartUntil.time_since_epoch().count();
    return forecast::expectedWait(serviceLoad, demandOf(job, workAhead(scheduler, job, ownKey)));
}

Milliseconds estimateRetryAfter(SchedulerState &scheduler, const Job &job, Time now)
{
    std::uniform_real_distribution<double> chance(0, 1);
    const double jitter = chance(scheduler.random);
    if (job.spec.steps.empty())
        return forecast::MinRetryAfter;
    forecast::ServiceLoad serviceLoad = serviceLoadOf(scheduler, job.options.service, now);
    serviceLoad.share = shareFor(scheduler, job.options.service, job.options.priority, now);
    const std::int64_t queuedAhead = workAhead(scheduler, job, keyOf(scheduler, job));
    return forecast::estimateRetryAfter(serviceLoad, demandOf(job, queuedAhead), jitter);
}

ForecastStatus forecastStatus(const SchedulerState &scheduler, Time now)
{
    constexpr std::int64_t OneCore = 1000;
    ForecastStatus status;
    for (const std::string &service : services(scheduler)) {
        forecast::ServiceLoad serviceLoad = serviceLoadOf(scheduler, service, now);
        serviceLoad.share = totalShare(scheduler, service, now);
        forecast::JobDemand jobDemand { scheduler.leastUrgent, OneCore, OneCore, 0 };
        for (const QueueKey &key : scheduler.queue) {
            const Job &job = scheduler.jobs.at(key.number);
            jobDemand.queuedAhead += job.options.service == service ? waitingMilliCores(job) : 0;
        }
        status.age = std::max(status.age, serviceLoad.age);
        const auto wait = forecast::expectedWait(serviceLoad, jobDemand);
        status.wait = wait ? std::max(*wait, status.wait.value_or(Milliseconds(0))) : status.wait;
    }
    status.waitingLate = static_cast<std::size_t>(
            std::count_if(scheduler.queue.begin(), scheduler.queue.end(),
                          [](const QueueKey &key) { return key.group == QueueGroup::Late; }));
    return status;
}

// [SECTION] Late jobs

namespace {

// The waiting work of one service that goes before the job being examined.
struct WorkAhead
{
    forecast::ServiceLoad serviceLoad;
    std::int64_t queuedAhead = 0;

    // Late jobs that may wait, and what they need
    std::size_t late = 0;
    std::int64_t lateAhead = 0;
};

bool startsInTime(const WorkAhead &ahead, const Job &job, Time now)
{
    const auto wait = forecast::expectedWait(ahead.serviceLoad, demandOf(job, ahead.queuedAhead));
    return wait && now + *wait <= job.lateStartUntil;
}

// A late job waits: starts a period of waiting or extends it.
LatePeriod &recordLateWait(SchedulerState &scheduler, const std::string &service, Time now)
{
    LatePeriod &period = scheduler.latePeriods[service];
    if (now >= period.lastSeenAt + scheduler.settings.lateWindow)
        period.since = now;
    period.lastSeenAt = now;
    return period;
}

// Whether the capacity recently given to late jobs allows this one to wait, too.
bool lateCapacityAllows(const SchedulerSettings &settings, const LatePeriod &period,
                        const WorkAhead &ahead, const Job &job, Time now)
{
    if (now < period.since + settings.lateWindow || ahead.late < settings.minLateWaiting)
        return true;
    const double timeLeft = std::chrono::duration<double>(job.lateStartUntil - now).count();
    const double capacity = perSecond(period.granted, settings.lateWindow, now) * timeLeft;
    return static_cast<double>(ahead.lateAhead + waitingMilliCores(job)) <= capacity;
}

// Whether a late job may wait behind those before it.
bool mayWaitLate(SchedulerState &scheduler, WorkAhead &ahead, const Job &job, Time now)
{
    const LatePeriod &period = recordLateWait(scheduler, job.options.service, now);
    if (!startsInTime(ahead, job, now)
        || !lateCapacityAllows(scheduler.settings, period, ahead, job, now))
        return false;
    ++ahead.late;
    ahead.lateAhead += waitingMilliCores(job);
    return true;
}

} // namespace

std::set<std::uint64_t> lateJobsToKeep(SchedulerState &scheduler, Time now)
{
    std::set<std::uint64_t> toKeep;
    if (!scheduler.settings.serveLate)
        return toKeep;
    std::map<std::string, WorkAhead> aheadByService;
    for (const QueueKey &key : refreshQueue(scheduler, now)) {
        const Job &job = scheduler.jobs.at(key.number);
        const std::string &service = job.options.service;
        const auto [ahead, isNew] = aheadByService.try_emplace(service);
        if (isNew) {
            ahead->second.serviceLoad = serviceLoadOf(scheduler, service, now);
            ahead->second.serviceLoad.share = totalShare(scheduler, service, now);
        }
        const bool late = key.group == QueueGroup::Late;
        if (late && !mayWaitLate(scheduler, ahead->second, job, now))
            continue;
        if (late)
            toKeep.insert(key.number);
        ahead->second.queuedAhead += waitingMilliCores(job);
    }
    return toKeep;
}

void recordLateStart(SchedulerState &scheduler, const Job &job, std::int64_t milliCores, Time now)
{
    if (scheduler.settings.serveLate && job.firstPlacedAt > job.onTimeUntil)
        addTo(scheduler.latePeriods[job.options.service].granted, scheduler.settings.lateWindow,
              static_cast<double>(milliCores), now);
}

namespace {

// What the job needs to start: the steps that depend on no other.
forecast::JobDemand startDemand(const Job &job)
{
    forecast::JobDemand jobDemand { job.options.priority, 0, 0, 0 };
    for (const jobs::StepSpec &step : job.spec.steps) {
        if (!step.after.empty())
            continue;
        jobDemand.taskMilliCores = std::max(jobDemand.taskMilliCores, step.demand.milliCores);
        jobDemand.milliCores += milliCoresOf(step, step.tasks);
    }
    return jobDemand;
}

} // namespace

bool fitsEntirely(const SchedulerState &scheduler, const Job &job, Time now)
{
    forecast::ServiceLoad serviceLoad;
    for (const auto &[name, agent] : scheduler.agents) {
        if (takesWork(scheduler, agent, job.options.service))
            forecast::addAgent(serviceLoad,
                               { freeFor(scheduler, agent, job).milliCores,
                                 {},
                                 0,
                                 agent.lastReceivedAt },
                               now);
    }
    return forecast::expectedWait(serviceLoad, startDemand(job)) == Milliseconds(0);
}

} // namespace foxwing::scheduler
