/*
    Crashes of endpoints while they ran a task, as reported by their agents to all entries.

    [SECTION] Reports
    [SECTION] Jobs
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

// [SECTION] Reports

namespace {

void forgetOldCrashes(SchedulerState &scheduler, Time now)
{
    for (auto item = scheduler.crashingUntil.begin(); item != scheduler.crashingUntil.end();)
        item = now >= item->second ? scheduler.crashingUntil.erase(item) : std::next(item);
    std::map<std::string, CrashedJob> &jobs = scheduler.crashedJobs;
    for (auto item = jobs.begin(); item != jobs.end();)
        item = now >= item->second.until ? jobs.erase(item) : std::next(item);
    while (jobs.size() > scheduler.settings.maxCrashedJobs) {
        jobs.erase(
                std::min_element(jobs.begin(), jobs.end(), [](const auto &one, const auto &other) {
                    return one.second.until < other.second.until;
                }));
    }
}

// The same crash may be reported again in another session: counts are not added up.
void recordCrashes(SchedulerState &scheduler, const std::string &agent,
                   const jobs::CrashReport &report, Time now)
{
    CrashedJob &job = scheduler.crashedJobs[report.task.job];
    job.until = now + scheduler.settings.crashRetention;
    std::uint32_t &crashes = job.crashes[report.task][agent];
    crashes = std::max(crashes, report.crashes);
}

} // namespace

std::uint32_t crashCount(const SchedulerState &scheduler, const jobs::TaskId &task)
{
    const auto job = scheduler.crashedJobs.find(task.job);
    if (job == scheduler.crashedJobs.end())
        return 0;
    const auto known = job->second.crashes.find(task);
    std::uint32_t sum = 0;
    if (known == job->second.crashes.end())
        return sum;
    for (const auto &[agent, crashes] : known->second)
        sum += crashes;
    return sum;
}

// [SECTION] Jobs

bool isCrashing(SchedulerState &scheduler, const std::string &id, Time now)
{
    forgetOldCrashes(scheduler, now);
    if (scheduler.crashingUntil.count(id) != 0)
        return true;
    const auto job = scheduler.crashedJobs.find(id);
    return job != scheduler.crashedJobs.end()
            && std::any_of(job->second.crashes.begin(), job->second.crashes.end(),
                           [&](const auto &task) {
                               return crashCount(scheduler, task.first)
                                       >= scheduler.settings.maxCrashes;
                           });
}

void giveUpIfCrashing(SchedulerState &scheduler, Job &job, const Task &task,
                      const std::string &agent, Time now, SchedulerActions &actions)
{
    if (job.closed || task.crashes < scheduler.settings.maxCrashes)
        return;
    ++scheduler.counters.crashingJobs;
    scheduler.crashingUntil[job.spec.id] = now + scheduler.settings.crashRetention;
    answerJob(scheduler, job, JobOutcome::TimedOut,
              std::to_string(task.crashes) + " endpoints crashed under task "
                      + std::to_string(task.step) + "." + std::to_string(task.index) + ", last at "
                      + agent,
              now, actions);
}

namespace {

// The newest job with the id if it is open.
Job *openJob(SchedulerState &scheduler, const std::string &id)
{
    const auto number = scheduler.byId.find(id);
    if (number == scheduler.byId.end())
        return nullptr;
    Job &job = scheduler.jobs.at(number->second);
    return job.closed ? nullptr : &job;
}

void applyCrashes(SchedulerState &scheduler, const std::string &agent, const jobs::TaskId &id,
                  Time now, SchedulerActions &actions)
{
    Job *job = openJob(scheduler, id.job);
    if (!job)
        return;
    const auto task = std::find_if(job->tasks.begin(), job->tasks.end(), [&](const Task &other) {
        return other.step == id.step && other.index == id.index;
    });
    if (task == job->tasks.end() || task->state == TaskState::Done)
        return;
    task->crashes = std::max(task->crashes, crashCount(scheduler, id));
    giveUpIfCrashing(scheduler, *job, *task, agent, now, actions);
}

} // namespace

void handleCrashReports(SchedulerState &scheduler, const std::string &agent,
                        const std::vector<jobs::CrashReport> &reports, Time now,
                        SchedulerActions &actions)
{
    if (reports.empty())
        return;
    for (const jobs::CrashReport &report : reports) {
        recordCrashes(scheduler, agent, report, now);
        applyCrashes(scheduler, agent, report.task, now, actions);
    }
    forgetOldCrashes(scheduler, now);
}

} // namespace foxwing::scheduler
