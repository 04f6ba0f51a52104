/*
    A fake endpoint for the simulation. It executes commands while its lease lasts and checks fences
    and run numbers, but not its capacity. It can be slow or stall.

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
    FakeEndpoint(std::string incarnationName, double clockRate, Milliseconds clockOffset)
        : endpointIncarnation(std::move(incarnationName))
        , m_rate(clockRate)
        , m_offset(clockOffset)
    { }

    // The endpoint's own clock, which may be slow
    Milliseconds clock(Time now) const;

    runner::CommandResult start(const runner::StartCommand &command, Time now, Milliseconds work);
    runner::CommandResult stop(const runner::StopCommand &command, Time now);
    runner::PollResult poll(const runner::PollCommand &command, Time now);

    // Ends runs that are done, stopped, or past the lease.
    void advance(Time now);

    // Current runs, including those being stopped
    const std::map<jobs::RunId, EndpointRun> &runs() const { return m_runs; }

    // Both end all runs and reset all counters; restart() keeps the name of the incarnation.
    void crash(std::string nextIncarnation);
    void restart(Time now);

    std::string endpointIncarnation;
    WallTime startedAt { Milliseconds(1'700'000'000'000) };

    // Guards that a test can disable
    bool reportsStartTime = true;
    bool checksFence = true;

    // Heartbeats sent by this incarnation
    std::uint64_t heartbeats = 0;
    bool leaving = false;

    // Runs started from now on never make progress.
    bool stalls = false;
    bool failsAll = false;
    double slowdown = 1.0;

private:
    void reset();
    void end(const jobs::RunId &id, jobs::RunOutcome outcome);
    std::optional<runner::CommandStatus> refuse(const std::string &expectedIncarnation,
                                                std::uint64_t fence);

    double m_rate;
    Milliseconds m_offset;
    std::uint64_t m_fence = 0;
    Milliseconds m_leaseUntil { 0 };
    std::map<jobs::RunId, EndpointRun> m_runs;
    std::map<jobs::TaskId, std::uint32_t> m_highestEnded;
    std::vector<runner::EndedRun> m_ended;
    std::uint64_t m_lastEnd = 0;
};

} // namespace foxwing::test
