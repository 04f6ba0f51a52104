/*
    The pretended endpoint.

    [SECTION] Clock and lease
    [SECTION] Orders
*/
#include "endpoint.h"

#include <algorithm>

namespace foxwing::test {

using runner::Answer;

namespace {

constexpr Milliseconds StopTakes { 50 };
constexpr Milliseconds LongestLease { 1000 };

} // namespace

// [SECTION] Clock and lease

Milliseconds FakeEndpoint::clock(Time now) const
{
    const double passed = static_cast<double>(now.time_since_epoch().count()) * m_rate / 1000;
    return Milliseconds(static_cast<std::int64_t>(passed)) + m_offset;
}

void FakeEndpoint::end(const jobs::RunId &id, jobs::RunOutcome how)
{
    m_runs.erase(id);
    std::uint32_t &highest = m_highestEnded[id.task];
    highest = std::max(highest, id.run);
    m_ended.push_back({ ++m_lastEnd, id, how });
}

void FakeEndpoint::advance(Time now)
{
    std::vector<std::pair<jobs::RunId, jobs::RunOutcome>> over;
    const bool lapsed = clock(now) > m_leaseUntil;
    for (const auto &[id, run] : m_runs) {
        if (lapsed)
            over.emplace_back(id, jobs::RunOutcome::LeaseExpired);
        else if (now >= run.doneAt && run.stopping)
            over.emplace_back(id, jobs::RunOutcome::Stopped);
        else if (now >= run.doneAt)
            over.emplace_back(id, run.fails ? jobs::RunOutcome::Failed : jobs::RunOutcome::Done);
    }
    for (const auto &[id, how] : over)
        end(id, how);
}

void FakeEndpoint::crash(std::string nextLife)
{
    life = std::move(nextLife);
    forgetAll();
}

void FakeEndpoint::beginAgain(Time now)
{
    forgetAll();
    born += Milliseconds(1);
    m_offset -= clock(now);
}

void FakeEndpoint::forgetAll()
{
    beats = 0;
    leaving = false;
    m_runs.clear();
    m_ended.clear();
    m_highestEnded.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_leaseUntil = Milliseconds(0);
}

// [SECTION] Orders

std::optional<Answer> FakeEndpoint::refuse(const std::string &lifeWanted, std::uint64_t fence)
{
    if (lifeWanted != life)
        return Answer::OtherLife;
    if (keepsFence && fence < m_fence)
        return Answer::Fenced;
    m_fence = fence;
    return std::nullopt;
}

runner::Answered FakeEndpoint::start(const runner::StartOrder &order, Time now, Milliseconds work)
{
    advance(now);
    if (const auto refused = refuse(order.life, order.fence))
        return { *refused, clock(now) };
    if (order.deadline < clock(now))
        return { Answer::TooLate, clock(now) };
    m_leaseUntil = std::max(m_leaseUntil, std::min(order.deadline, clock(now) + LongestLease));
    if (m_runs.count(order.id) != 0)
        return { Answer::Ok, clock(now) };
    const auto highest = m_highestEnded.find(order.id.task);
    if (highest != m_highestEnded.end() && order.id.run <= highest->second)
        return { Answer::StaleRun, clock(now) };
    EndpointRun run;
    run.startedAt = now;
    const auto takes = std::chrono::duration_cast<Microseconds>(work * slowness);
    run.doneAt = hangs ? now + std::chrono::hours(1) : now + takes;
    run.fails = failsAll;
    m_runs.emplace(order.id, run);
    return { Answer::Ok, clock(now) };
}

runner::Answered FakeEndpoint::stop(const runner::StopOrder &order, Time now)
{
    advance(now);
    if (const auto refused = refuse(order.life, order.fence))
        return { *refused, clock(now) };
    std::uint32_t &highest = m_highestEnded[order.id.task];
    highest = std::max(highest, order.id.run);
    const auto run = m_runs.find(order.id);
    if (run != m_runs.end() && !run->second.stopping) {
        run->second.stopping = true;
        run->second.doneAt = now + StopTakes;
    }
    return { Answer::Ok, clock(now) };
}

runner::Look FakeEndpoint::look(const runner::LookOrder &order, Time now)
{
    advance(now);
    runner::Look look;
    if (const auto refused = refuse(order.life, order.fence)) {
        look.answered = { *refused, clock(now) };
        return look;
    }
    if (order.deadline)
        m_leaseUntil = std::max(m_leaseUntil, std::min(*order.deadline, clock(now) + LongestLease));
    const auto seen = [&](const runner::EndedRow &row) { return row.number <= order.lastSeen; };
    m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(), seen), m_ended.end());
    look.answered = { Answer::Ok, clock(now) };
    if (tellsBorn)
        look.born = born;
    for (const auto &[id, run] : m_runs) {
        const double whole = static_cast<double>((run.doneAt - run.startedAt).count());
        const double ran = static_cast<double>((now - run.startedAt).count());
        look.running.push_back(
                { id, static_cast<std::uint32_t>(100 * ran / std::max(1.0, whole)) });
    }
    look.ended = m_ended;
    return look;
}

} // namespace foxwing::test
