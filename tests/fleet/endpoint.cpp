/*
    The fake endpoint.

    [SECTION] Clock and lease
    [SECTION] Commands
*/
#include "endpoint.h"

#include <algorithm>

namespace foxwing::test {

using runner::CommandStatus;

namespace {

constexpr Milliseconds StopDuration { 50 };
constexpr Milliseconds MaxLease { 1000 };

} // namespace

// [SECTION] Clock and lease

Milliseconds FakeEndpoint::clock(Time now) const
{
    const double passed = static_cast<double>(now.time_since_epoch().count()) * m_rate / 1000;
    return Milliseconds(static_cast<std::int64_t>(passed)) + m_offset;
}

void FakeEndpoint::end(const jobs::RunId &id, jobs::RunOutcome outcome)
{
    m_runs.erase(id);
    std::uint32_t &highest = m_highestEnded[id.task];
    highest = std::max(highest, id.run);
    m_ended.push_back({ ++m_lastEnd, id, outcome });
}

void FakeEndpoint::advance(Time now)
{
    std::vector<std::pair<jobs::RunId, jobs::RunOutcome>> ends;
    const bool leaseExpired = clock(now) > m_leaseUntil;
    for (const auto &[id, run] : m_runs) {
        if (leaseExpired)
            ends.emplace_back(id, jobs::RunOutcome::LeaseExpired);
        else if (now >= run.doneAt && run.stopping)
            ends.emplace_back(id, jobs::RunOutcome::Stopped);
        else if (now >= run.doneAt)
            ends.emplace_back(id, run.fails ? jobs::RunOutcome::Failed : jobs::RunOutcome::Done);
    }
    for (const auto &[id, outcome] : ends)
        end(id, outcome);
}

void FakeEndpoint::crash(std::string nextIncarnation)
{
    endpointIncarnation = std::move(nextIncarnation);
    reset();
}

void FakeEndpoint::restart(Time now)
{
    reset();
    startedAt += Milliseconds(1);
    m_offset -= clock(now);
}

void FakeEndpoint::reset()
{
    heartbeats = 0;
    leaving = false;
    m_runs.clear();
    m_ended.clear();
    m_highestEnded.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_leaseUntil = Milliseconds(0);
}

// [SECTION] Commands

std::optional<CommandStatus> FakeEndpoint::refuse(const std::string &expectedIncarnation,
                                                  std::uint64_t fence)
{
    if (expectedIncarnation != endpointIncarnation)
        return CommandStatus::OtherIncarnation;
    if (checksFence && fence < m_fence)
        return CommandStatus::Fenced;
    m_fence = fence;
    return std::nullopt;
}

runner::CommandResult FakeEndpoint::start(const runner::StartCommand &command, Time now,
                                          Milliseconds work)
{
    advance(now);
    if (const auto refused = refuse(command.endpointIncarnation, command.fence))
        return { *refused, clock(now) };
    if (command.deadline < clock(now))
        return { CommandStatus::TooLate, clock(now) };
    m_leaseUntil = std::max(m_leaseUntil, std::min(command.deadline, clock(now) + MaxLease));
    if (m_runs.count(command.id) != 0)
        return { CommandStatus::Ok, clock(now) };
    const auto highest = m_highestEnded.find(command.id.task);
    if (highest != m_highestEnded.end() && command.id.run <= highest->second)
        return { CommandStatus::StaleRun, clock(now) };
    EndpointRun run;
    run.startedAt = now;
    const auto runTime = std::chrono::duration_cast<Microseconds>(work * slowdown);
    run.doneAt = stalls ? now + std::chrono::hours(1) : now + runTime;
    run.fails = failsAll;
    m_runs.emplace(command.id, run);
    return { CommandStatus::Ok, clock(now) };
}

runner::CommandResult FakeEndpoint::stop(const runner::StopCommand &command, Time now)
{
    advance(now);
    if (const auto refused = refuse(command.endpointIncarnation, command.fence))
        return { *refused, clock(now) };
    std::uint32_t &highest = m_highestEnded[command.id.task];
    highest = std::max(highest, command.id.run);
    const auto run = m_runs.find(command.id);
    if (run != m_runs.end() && !run->second.stopping) {
        run->second.stopping = true;
        run->second.doneAt = now + StopDuration;
    }
    return { CommandStatus::Ok, clock(now) };
}

runner::PollResult FakeEndpoint::poll(const runner::PollCommand &command, Time now)
{
    advance(now);
    runner::PollResult poll;
    if (const auto refused = refuse(command.endpointIncarnation, command.fence)) {
        poll.result = { *refused, clock(now) };
        return poll;
    }
    if (command.deadline)
        m_leaseUntil = std::max(m_leaseUntil, std::min(*command.deadline, clock(now) + MaxLease));
    const auto acknowledged = [&](const runner::EndedRun &run) {
        return run.number <= command.lastSeenEnd;
    };
    m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(), acknowledged), m_ended.end());
    poll.result = { CommandStatus::Ok, clock(now) };
    if (reportsStartTime)
        poll.startedAt = startedAt;
    for (const auto &[id, run] : m_runs) {
        const double total = static_cast<double>((run.doneAt - run.startedAt).count());
        const double elapsed = static_cast<double>((now - run.startedAt).count());
        poll.running.push_back(
                { id, static_cast<std::uint32_t>(100 * elapsed / std::max(1.0, total)) });
    }
    poll.ended = m_ended;
    return poll;
}

} // namespace foxwing::test
