/*
    Weighted fair queue.

    [SECTION] Membership of the sets
    [SECTION] Functions
*/
#include <foxwing/dispatch/fairqueue.h>

#include <algorithm>

namespace foxwing::dispatch {

// [SECTION] Membership of the sets

namespace {

bool isEligible(const TeamQueue &team)
{
    return !team.blocked && !team.byAge.empty();
}

void removeActive(FairQueue &queue, const std::string &name, const TeamQueue &team)
{
    queue.active.erase({ team.virtualTime, name });
}

void addActive(FairQueue &queue, const std::string &name, const TeamQueue &team)
{
    if (isEligible(team))
        queue.active.insert({ team.virtualTime, name });
}

void removeJob(FairQueue &queue, const std::string &key)
{
    const auto found = queue.jobs.find(key);
    if (found == queue.jobs.end())
        return;
    const QueuedJob &job = found->second;
    TeamQueue &team = queue.teams[job.team];
    removeActive(queue, job.team, team);
    team.bySize.erase({ job.remaining, job.arrival, key });
    team.byAge.erase({ job.arrival, job.arrivedAt, key });
    queue.byAge.erase({ job.arrival, job.arrivedAt, key });
    addActive(queue, job.team, team);
    queue.jobs.erase(found);
}

const std::string *oldestUnblocked(const FairQueue &queue)
{
    for (const AgeOrder &order : queue.byAge) {
        if (!queue.teams.at(queue.jobs.at(order.key).team).blocked)
            return &order.key;
    }
    return nullptr;
}

} // namespace

// [SECTION] Functions

void pushJob(FairQueue &queue, const std::string &teamName, double weight, const std::string &key,
             std::uint32_t remaining, Time now)
{
    if (queue.jobs.count(key) != 0)
        return setRemaining(queue, key, remaining);
    if (remaining == 0)
        return;
    TeamQueue &team = queue.teams[teamName];
    removeActive(queue, teamName, team);
    team.weight = std::max(weight, 0.001);
    if (team.byAge.empty())
        team.virtualTime = std::max(team.virtualTime, queue.virtualNow);
    const QueuedJob job { teamName, remaining, queue.nextArrival++, now };
    team.bySize.insert({ remaining, job.arrival, key });
    team.byAge.insert({ job.arrival, now, key });
    queue.byAge.insert({ job.arrival, now, key });
    queue.jobs.emplace(key, job);
    addActive(queue, teamName, team);
}

void setRemaining(FairQueue &queue, const std::string &key, std::uint32_t remaining)
{
    const auto found = queue.jobs.find(key);
    if (found == queue.jobs.end())
        return;
    if (remaining == 0)
        return removeJob(queue, key);
    QueuedJob &job = found->second;
    TeamQueue &team = queue.teams[job.team];
    team.bySize.erase({ job.remaining, job.arrival, key });
    job.remaining = remaining;
    team.bySize.insert({ remaining, job.arrival, key });
}

const std::string *nextJob(const FairQueue &queue, Time now)
{
    if (queue.settings.order == QueueOrder::FirstCome)
        return oldestUnblocked(queue);
    if (queue.active.empty())
        return nullptr;
    const TeamQueue &team = queue.teams.at(queue.active.begin()->team);
    const AgeOrder &oldest = *team.byAge.begin();
    if (now >= oldest.arrivedAt + queue.settings.starvationLimit)
        return &oldest.key;
    return &team.bySize.begin()->key;
}

void blockTeam(FairQueue &queue, const std::string &teamName, bool blocked)
{
    const auto found = queue.teams.find(teamName);
    if (found == queue.teams.end() || found->second.blocked == blocked)
        return;
    removeActive(queue, teamName, found->second);
    found->second.blocked = blocked;
    addActive(queue, teamName, found->second);
}

void chargeTeam(FairQueue &queue, const std::string &teamName, Microseconds runTime)
{
    TeamQueue &team = queue.teams[teamName];
    removeActive(queue, teamName, team);
    team.virtualTime += static_cast<double>(runTime.count()) / team.weight;
    addActive(queue, teamName, team);
    if (!queue.active.empty())
        queue.virtualNow = std::max(queue.virtualNow, queue.active.begin()->virtualTime);
}

} // namespace foxwing::dispatch
