/*
    Internals that the source files of the simulation share.

    [SECTION] Durations
    [SECTION] Processes
*/
#pragma once

#include "simulation.h"

namespace foxwing::test {

// [SECTION] Durations

constexpr Milliseconds LinkDelay { 1 };
constexpr Milliseconds CommandDelay { 1 };
constexpr Milliseconds CommandTimeout { 60 };
constexpr Milliseconds TickInterval { 20 };
constexpr Milliseconds HeartbeatInterval { 1500 };
constexpr Milliseconds ResendAfter { 1300 };

// A run ends within this time after the last caller stopped waiting for its job: the session times
// out after 450 ms, the lease ends after 400 ms and 2 percent, and a stop takes 50 ms. Must not
// exceed ResendAfter.
constexpr Milliseconds MaxUnwantedRun { 1300 };

// Connections are reset this long before callers resend their jobs. By then agents have stopped the
// runs of the sessions that were reset.
constexpr Milliseconds ResetBeforeResend { 100 };

// After a reset a session is reopened, and an entry reads that a caller has disconnected, within
// these delays.
constexpr Milliseconds MaxReconnectDelay { 300 };
constexpr Milliseconds MaxCloseReadDelay { 1000 };

// The caller of a delayed call times out after CallerTimeout. The call arrives after that, and
// within MaxCallDelay.
constexpr Milliseconds CallerTimeout { 300 };
constexpr Milliseconds MaxCallDelay { 3000 };

// From a change of the cordons until no more tasks start there: the longest delay of the update,
// and a lease of the endpoint, for start commands sent before.
constexpr Milliseconds MaxUpdateDelay { 50 };
constexpr Milliseconds MaxCordonDelay { 500 };
constexpr int DataCentres = 2;

// A start command sent before its endpoint reported that it leaves is executed within this.
constexpr Milliseconds MaxLeavingDelay { 500 };

// An agent learns that a run has ended within this time if the endpoint is reachable; polls follow
// each other every 60 ms.
constexpr Milliseconds MaxEndReportDelay { 2000 };
inline const jobs::ResourceVector Capacity { 16000, 65536, 0 };

// Once a task has crashed CrashLimit endpoints, StartsAfterLimit of its starts may still be in
// flight.
constexpr int CrashLimit = 3;
constexpr int StartsAfterLimit = 2;

// Simulated time after the last job was submitted, so that all jobs are answered.
constexpr Milliseconds DrainDuration { 20000 };

inline std::string makeName(const char *kind, int number)
{
    return std::string(kind) + "-" + std::to_string(number);
}

// [SECTION] Processes

// A process that can be killed or suspended. Events for a killed incarnation are dropped; events
// during a suspension are handled when it resumes.
struct Simulation::Process
{
    bool isUp = false;
    std::uint64_t incarnation = 0;
    Time suspendedUntil {};

    // Time that its clock did not count while suspended
    Microseconds suspendedTime { 0 };
};

struct Simulation::Session
{
    std::uint64_t number = 0;
    bool open = false;

    // After a reset, when it can be reopened
    Time reopenAt {};
};

struct Simulation::Entry : Simulation::Process
{
    scheduler::SchedulerState state;
    Time lastTickAt {};
    bool knowsCordons = false;

    // To each agent
    std::vector<Session> sessions;
    std::map<std::uint64_t, std::uint64_t> calls;

    // Calls whose callers have disconnected, which the entry has not read yet
    std::set<std::uint64_t> unreadCloses;
    scheduler::CallerProbeState probes;
};

struct Simulation::Agent : Simulation::Process
{
    runner::RunnerState state;
    std::unique_ptr<FakeEndpoint> endpoint;
    bool unreachable = false;
    Time lateUntil {};
    Time partitionedUntil {};

    // When it acknowledged that its endpoint leaves
    std::optional<Time> leavingAcknowledgedAt;

    // Runs that the agent still has but its endpoint does not, and since when
    std::map<jobs::RunId, Time> endedSince;
};

struct Simulation::Call
{
    jobs::JobSpec spec;
    int entry = 0;

    // Resent after its entry was lost: tasks may have started there.
    bool resent = false;
};

} // namespace foxwing::test
