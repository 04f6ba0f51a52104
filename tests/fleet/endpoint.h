/*
    A pretended endpoint for schedules: runs what it is told while its lease lasts, keeps fences and
    run numbers, does not keep its room, and may answer late, never, or be slow.

    [SECTION] Endpoint
*/
#pragma once

#include <functional>
#include <map>
#include <vector>

#include <foxwing/runner/runner.h>

namespace foxwing::test {

// [SECTION] Endpoint

struct EndpointRun
{
    Time startedAt {};
    Time doneAt {};
    bool stopping = false;
    bool fails = false;
};

class FakeEndpoint
{
public:
    FakeEndpoint(std::string lifeName, double clockRate, Milliseconds clockOffset)
        : life(std::move(lifeName))
        , m_rate(clockRate)
        , m_offset(clockOffset)
    { }

    // The endpoint's own clock, which may run slow.
    Milliseconds clock(Time now) const;

    runner::Answered start(const runner::StartOrder &order, Time now, Milliseconds work);
    runner::Answered stop(const runner::StopOrder &order, Time now);
    runner::Look look(const runner::LookOrder &order, Time now);

    // Ends what is done, stopped, or beyond the lease.
    void advance(Time now);

    // Every run that works now, a stopping one included.
    const std::map<jobs::RunId, EndpointRun> &runs() const { return m_runs; }

    // Ends what runs; the next life has another name, or the same one and all counts anew.
    void crash(std::string nextLife);
    void beginAgain(Time now);

    std::string life;
    WallTime born { Milliseconds(1'700'000'000'000) };

    // Checks that a test takes away
    bool tellsBorn = true;
    bool keepsFence = true;

    // Heartbeats of this life
    std::uint64_t beats = 0;
    bool leaving = false;

    // Runs that begin from now on never get on.
    bool hangs = false;
    bool failsAll = false;
    double slowness = 1.0;

private:
    void forgetAll();
    void end(const jobs::RunId &id, jobs::RunOutcome how);
    std::optional<runner::Answer> refuse(const std::string &lifeWanted, std::uint64_t fence);

    double m_rate;
    Milliseconds m_offset;
    std::uint64_t m_fence = 0;
    Milliseconds m_leaseUntil { 0 };
    std::map<jobs::RunId, EndpointRun> m_runs;
    std::map<jobs::TaskId, std::uint32_t> m_highestEnded;
    std::vector<runner::EndedRow> m_ended;
    std::uint64_t m_lastEnd = 0;
};

} // namespace foxwing::test
