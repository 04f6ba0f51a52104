/*
    Inside the fleet in virtual time: what its files share.

    [SECTION] Spans
    [SECTION] Processes
*/
#pragma once

#include "simulation.h"

namespace foxwing::test {

// [SECTION] Spans

constexpr Milliseconds LinkDelay { 1 };
constexpr Milliseconds OrderDelay { 1 };
constexpr Milliseconds OrderTimeout { 60 };
constexpr Milliseconds TickInterval { 20 };
constexpr Milliseconds BeatInterval { 1500 };
constexpr Milliseconds ResendAfter { 1300 };

// Within it a run ends whose job nobody waits for: the entry is silent for 450 ms, then the lease
// ends after 400 ms and 2 percent, and a stop takes 50 ms; less than after which a caller that lost
// its entry sends the job again.
constexpr Milliseconds UnwantedRunBound { 1300 };

// All connections are reset so long before the callers that lost their entries send again: agents
// have stopped the runs of the sessions that were reset by then.
constexpr Milliseconds ResetBeforeResend { 100 };

// A session comes back, and an entry reads that a caller is gone, within these after the reset.
constexpr Milliseconds LastSessionBack { 300 };
constexpr Milliseconds LastEndRead { 1000 };

// A call that is held up comes between these after it was sent, and was given up before.
constexpr Milliseconds HeldCallGivenUp { 300 };
constexpr Milliseconds LongestHeldCall { 3000 };

// From a change of the cordons until all who are in touch with control know it: the longest way of
// the news, and a lease of the endpoint for starts that were ordered before.
constexpr Milliseconds LongestNews { 50 };
constexpr Milliseconds CordonBound { 500 };
constexpr int DataCentres = 2;

// A start that was ordered before its endpoint said that it leaves begins within this.
constexpr Milliseconds LeavingBound { 500 };

// Within it an agent in reach of its endpoint learns that a run is over: looks come every 60 ms.
constexpr Milliseconds LearnsOfEndBound { 2000 };
inline const jobs::ResourceVector Capacity { 16000, 65536, 0 };

// Starts of a task that crashes endpoints may be under way when the third has crashed.
constexpr int CrashesEnough = 3;
constexpr int StartsBeyond = 2;

// Work after the last job came, so that every answer is out.
constexpr Milliseconds Tail { 20000 };

inline std::string nameOf(const char *kind, int number)
{
    return std::string(kind) + "-" + std::to_string(number);
}

// [SECTION] Processes

// Something that can be killed or stand still; what is for a killed life of it is dropped, what
// comes while it stands still is done when it goes on.
struct World::Process
{
    bool up = false;
    std::uint64_t endpointIncarnation = 0;
    Time frozenUntil {};

    // Suspended time that its clock has left out
    Microseconds slept { 0 };
};

struct World::Session
{
    std::uint64_t number = 0;
    bool open = false;

    // After a reset, when it can be opened again
    Time backAt {};
};

struct World::Entry : World::Process
{
    scheduler::SchedulerState state;
    Time lastTurn {};
    bool knowsCordons = false;

    // To each agent
    std::vector<Session> sessions;
    std::map<std::uint64_t, std::uint64_t> calls;

    // Calls whose callers are gone, which the entry has not read yet
    std::set<std::uint64_t> endsUnread;
    scheduler::CallerProbeState watch;
};

struct World::Agent : World::Process
{
    runner::RunnerState state;
    std::unique_ptr<FakeEndpoint> endpoint;
    bool dark = false;
    Time lateUntil {};
    Time cutUntil {};

    // When it acknowledged that its endpoint leaves
    std::optional<Time> toldLeavingAt;

    // Runs that it holds and its endpoint does not, and since when
    std::map<jobs::RunId, Time> overSince;
};

struct World::Call
{
    jobs::JobSpec spec;
    int entry = 0;

    // Sent before, to an entry that was lost: what began there does not speak against this one.
    bool resent = false;
};

} // namespace foxwing::test
