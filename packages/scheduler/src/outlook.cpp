/*
    What the entry knows of the forecast: the picture of a service, the part of it that is this
    entry's, and what follows for its jobs.

    [SECTION] Picture
    [SECTION] Share
    [SECTION] Waits
    [SECTION] Late jobs
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

// [SECTION] Picture

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

forecast::ServiceLoad pictureOf(const SchedulerState &scheduler, const std::string &service,
                                Time now)
{
    forecast::ServiceLoad serviceLoad;
    for (const auto &[name, agent] : scheduler.agents) {
        if (takesWork(scheduler, agent, service))
            forecast::addAgent(serviceLoad,
                               { roomAt(agent).milliCores, agent.waiting, agent.freedPerSecond,
                                 agent.heardAt },
                               now);
    }
    return serviceLoad;
}

// [SECTION] Share

namespace {

// Never taken for less, so that a queue of which nothing ran of late is tried again.
constexpr double LeastShare = 0.01;

std::set<std::string> services(const SchedulerState &scheduler)
{
    std::set<std::string> names;
    for (const auto &[name, agent] : scheduler.agents) {
        if (agent.accepted)
            names.insert(agent.endpoint.service);
    }
    return names;
}

bool goesByPriority(const SchedulerState &scheduler)
{
    const Order order = scheduler.settings.order;
    return order == Order::Priority || order == Order::LeastWork;
}

} // namespace

void addTold(SchedulerState &scheduler, Time now)
{
    const SchedulerSettings &settings = scheduler.settings;
    const Microseconds span = now - scheduler.toldAddedAt;
    if (!usesForecast(scheduler) || span < settings.shareInterval)
        return;
    scheduler.toldAddedAt = now;
    // After a pause of this process the pace of the time between is not known.
    if (span > 2 * settings.shareInterval)
        return;
    for (const std::string &service : services(scheduler)) {
        const double pace = pictureOf(scheduler, service, now).freedPerSecond;
        addTo(scheduler.told[service], settings.shareSpan,
              pace * std::chrono::duration<double>(span).count(), now);
    }
}

double shareFor(const SchedulerState &scheduler, const std::string &service, std::uint32_t priority,
                Time now)
{
    const double alike = 1.0 / std::max(1U, scheduler.entries);
    const auto freed = scheduler.freed.find(service);
    const auto all = scheduler.told.find(service);
    if (freed == scheduler.freed.end() || all == scheduler.told.end())
        return alike;
    const Milliseconds span = scheduler.settings.shareSpan;
    const double told = fadedAmount(all->second, span, now);
    double own = 0;
    for (const auto &[other, sum] : freed->second.own) {
        if (other >= priority || !goesByPriority(scheduler))
            own += fadedAmount(sum, span, now);
    }
    return told > 0 ? std::clamp(own / told, LeastShare, 1.0) : alike;
}

double wholeShare(const SchedulerState &scheduler, const std::string &service, Time now)
{
    return shareFor(scheduler, service, 0, now);
}

// [SECTION] Waits

namespace {

// Declared rooms can be absurd: sums of such ones must not overflow.
constexpr double MostMilliCores = 1e12;

std::int64_t roomOf(const jobs::StepSpec &step, std::uint32_t tasks)
{
    const double milliCores = static_cast<double>(step.demand.milliCores) * tasks;
    return static_cast<std::int64_t>(std::min(MostMilliCores, milliCores));
}

std::int64_t roomWanted(const Job &job)
{
    // A job that comes has no tasks yet.
    const jobs::StepSpec &step = job.spec.steps.front();
    return roomOf(step, job.tasks.empty() ? step.tasks : job.waiting);
}

forecast::JobDemand wantedBy(const Job &job, std::int64_t before)
{
    return { job.terms.priority, job.spec.steps.front().demand.milliCores, roomWanted(job),
             before };
}

std::int64_t workBefore(const SchedulerState &scheduler, const Job &wanted, const QueueKey &place)
{
    std::int64_t work = 0;
    for (const QueueKey &key : scheduler.queue) {
        if (!(key < place))
            break;
        const Job &job = scheduler.jobs.at(key.number);
        if (job.terms.service == wanted.terms.service)
            work += roomWanted(job);
    }
    return work;
}

} // namespace

std::optional<Milliseconds> waitOnTime(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (job.spec.steps.empty())
        return std::nullopt;
    forecast::ServiceLoad serviceLoad = pictureOf(scheduler, job.terms.service, now);
    serviceLoad.share = shareFor(scheduler, job.terms.service, job.terms.priority, now);
    const forecast::JobDemand wanted = wantedBy(job,
                                                workBefore(scheduler, job, keyOf(scheduler, job)));
    // The next in turn is tried whatever its own size.
    if (!forecast::hasWorkAhead(serviceLoad, wanted))
        return Milliseconds(0);
    return forecast::expectedWait(serviceLoad, wanted);
}

std::optional<Milliseconds> waitLate(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (job.spec.steps.empty())
        return std::nullopt;
    forecast::ServiceLoad serviceLoad = pictureOf(scheduler, job.terms.service, now);
    serviceLoad.share = wholeShare(scheduler, job.terms.service, now);
    QueueKey place = keyOf(scheduler, job);
    place.group = Rank::Late;
    place.rank = job.lateUntil.time_since_epoch().count();
    return forecast::expectedWait(serviceLoad, wantedBy(job, workBefore(scheduler, job, place)));
}

Milliseconds estimateRetryAfter(SchedulerState &scheduler, const Job &job, Time now)
{
    std::uniform_real_distribution<double> chance(0, 1);
    const double drawn = chance(scheduler.random);
    if (job.spec.steps.empty())
        return forecast::MinRetryAfter;
    forecast::ServiceLoad serviceLoad = pictureOf(scheduler, job.terms.service, now);
    serviceLoad.share = shareFor(scheduler, job.terms.service, job.terms.priority, now);
    const std::int64_t before = workBefore(scheduler, job, keyOf(scheduler, job));
    return forecast::estimateRetryAfter(serviceLoad, wantedBy(job, before), drawn);
}

Outlook outlook(const SchedulerState &scheduler, Time now)
{
    constexpr std::int64_t OneCore = 1000;
    Outlook all;
    for (const std::string &service : services(scheduler)) {
        forecast::ServiceLoad serviceLoad = pictureOf(scheduler, service, now);
        serviceLoad.share = wholeShare(scheduler, service, now);
        forecast::JobDemand wanted { scheduler.leastUrgent, OneCore, OneCore, 0 };
        for (const QueueKey &key : scheduler.queue) {
            const Job &job = scheduler.jobs.at(key.number);
            wanted.queuedAhead += job.terms.service == service ? roomWanted(job) : 0;
        }
        all.age = std::max(all.age, serviceLoad.age);
        const auto wait = forecast::expectedWait(serviceLoad, wanted);
        all.wait = wait ? std::max(*wait, all.wait.value_or(Milliseconds(0))) : all.wait;
    }
    all.waitingLate = static_cast<std::size_t>(
            std::count_if(scheduler.queue.begin(), scheduler.queue.end(),
                          [](const QueueKey &key) { return key.group == Rank::Late; }));
    return all;
}

// [SECTION] Late jobs

namespace {

// One service, with the work that goes before the job that is looked at.
struct Line
{
    forecast::ServiceLoad serviceLoad;
    std::int64_t before = 0;

    // Late jobs that are let wait, and what they want
    std::size_t late = 0;
    std::int64_t lateBefore = 0;
};

bool beginsInTime(const Line &line, const Job &job, Time now)
{
    const auto wait = forecast::expectedWait(line.serviceLoad, wantedBy(job, line.before));
    return wait && now + *wait <= job.lateUntil;
}

// A late job waits: a spell begins, or goes on.
LateSpell &noteLateWaits(SchedulerState &scheduler, const std::string &service, Time now)
{
    LateSpell &spell = scheduler.lateSpells[service];
    if (now >= spell.seenAt + scheduler.settings.lateSpan)
        spell.since = now;
    spell.seenAt = now;
    return spell;
}

// Whether what late jobs got of late lets this one wait, too.
bool lateRoomAllows(const SchedulerSettings &settings, const LateSpell &spell, const Line &line,
                    const Job &job, Time now)
{
    if (now < spell.since + settings.lateSpan || line.late < settings.lateProbes)
        return true;
    const double left = std::chrono::duration<double>(job.lateUntil - now).count();
    const double capacity = perSecond(spell.taken, settings.lateSpan, now) * left;
    return static_cast<double>(line.lateBefore + roomWanted(job)) <= capacity;
}

// Whether a late job may wait behind those before it in the line.
bool joinsLate(SchedulerState &scheduler, Line &line, const Job &job, Time now)
{
    const LateSpell &spell = noteLateWaits(scheduler, job.terms.service, now);
    if (!beginsInTime(line, job, now) || !lateRoomAllows(scheduler.settings, spell, line, job, now))
        return false;
    ++line.late;
    line.lateBefore += roomWanted(job);
    return true;
}

} // namespace

std::set<std::uint64_t> worthWaiting(SchedulerState &scheduler, Time now)
{
    std::set<std::uint64_t> kept;
    if (!scheduler.settings.serveLate)
        return kept;
    std::map<std::string, Line> lines;
    for (const QueueKey &key : sortOut(scheduler, now)) {
        const Job &job = scheduler.jobs.at(key.number);
        const std::string &service = job.terms.service;
        const auto [line, isNew] = lines.try_emplace(service);
        if (isNew) {
            line->second.serviceLoad = pictureOf(scheduler, service, now);
            line->second.serviceLoad.share = wholeShare(scheduler, service, now);
        }
        const bool late = key.group == Rank::Late;
        if (late && !joinsLate(scheduler, line->second, job, now))
            continue;
        if (late)
            kept.insert(key.number);
        line->second.before += roomWanted(job);
    }
    return kept;
}

void noteLateStart(SchedulerState &scheduler, const Job &job, std::int64_t milliCores, Time now)
{
    if (scheduler.settings.serveLate && job.firstPlacedAt > job.onTimeUntil)
        addTo(scheduler.lateSpells[job.terms.service].taken, scheduler.settings.lateSpan,
              static_cast<double>(milliCores), now);
}

namespace {

// What the job takes when it begins: the steps that wait for no other.
forecast::JobDemand wantedToBegin(const Job &job)
{
    forecast::JobDemand wanted { job.terms.priority, 0, 0, 0 };
    for (const jobs::StepSpec &step : job.spec.steps) {
        if (!step.after.empty())
            continue;
        wanted.taskMilliCores = std::max(wanted.taskMilliCores, step.demand.milliCores);
        wanted.milliCores += roomOf(step, step.tasks);
    }
    return wanted;
}

} // namespace

bool fitsWhole(const SchedulerState &scheduler, const Job &job, Time now)
{
    forecast::ServiceLoad serviceLoad;
    for (const auto &[name, agent] : scheduler.agents) {
        if (takesWork(scheduler, agent, job.terms.service))
            forecast::addAgent(serviceLoad,
                               { roomFor(scheduler, agent, job).milliCores, {}, 0, agent.heardAt },
                               now);
    }
    return forecast::expectedWait(serviceLoad, wantedToBegin(job)) == Milliseconds(0);
}

} // namespace foxwing::scheduler
