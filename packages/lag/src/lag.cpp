/*
    Average lateness of event-loop turns, and the decision to withdraw or return.

    [SECTION] Measurement
    [SECTION] Decision
    [SECTION] Functions
*/
#include <foxwing/lag/lag.h>

#include <algorithm>
#include <cmath>

namespace foxwing::lag {

namespace {

// [SECTION] Measurement

Microseconds middle(std::array<Microseconds, JudgedTurns> late)
{
    std::sort(late.begin(), late.end());
    return late[JudgedTurns / 2];
}

// Updates the average; a turn's weight depends on the time since the turn before.
void measure(LagState &lag, Microseconds late, Time now)
{
    lag.late[lag.next] = std::clamp<Microseconds>(late, Microseconds(0), lag.settings.mostLate);
    lag.next = (lag.next + 1) % JudgedTurns;
    const double spans = toMilliseconds(now - lag.at) / toMilliseconds(lag.settings.span);
    const double weight = 1 - std::exp(-spans);
    const double step = weight * toMilliseconds(middle(lag.late) - lag.averageDelay);
    lag.averageDelay += std::chrono::duration_cast<Microseconds>(
            std::chrono::duration<double, std::milli>(step));
}

// [SECTION] Decision

void judge(LagState &lag)
{
    const Microseconds above = lag.settings.withdrawAbove;
    const Microseconds below = std::min<Microseconds>(lag.settings.takeAgainBelow, above / 2);
    if (above.count() > 0 && lag.averageDelay > above)
        lag.slow = true;
    else if (lag.averageDelay < below)
        lag.slow = false;
}

bool drawsToStandBack(LagState &lag)
{
    // Remainder instead of a standard distribution, whose results differ between libraries.
    constexpr std::uint64_t All = 100;
    return lag.random() % All < lag.settings.standBackPercent;
}

bool standBackIfDue(LagState &lag, Time now)
{
    // The average falls slowly, so check that turns are still late.
    const bool over = middle(lag.late) <= lag.settings.withdrawAbove;
    if (!lag.slow || over || now < lag.mayStandBackFrom)
        return false;
    if (!drawsToStandBack(lag)) {
        lag.mayStandBackFrom = now + lag.settings.askAgainAfter;
        return false;
    }
    lag.back = true;
    lag.withdrawnSince = now;
    ++lag.withdrawals;
    return true;
}

bool takeAgainIfDue(LagState &lag, Time now)
{
    const Microseconds paused = now - lag.withdrawnSince;
    if (paused < lag.settings.leastPause || (lag.slow && paused < lag.settings.mostPause))
        return false;
    lag.back = false;
    // A suspended host has not been withdrawn for all of the time suspended.
    const Microseconds counted = std::min<Microseconds>(paused, lag.settings.mostPause);
    lag.mayStandBackFrom = now + counted * lag.settings.workForPauses;
    return true;
}

} // namespace

// [SECTION] Functions

LagState makeLag(const LagSettings &settings)
{
    LagState lag;
    lag.settings = settings;
    lag.random.seed(settings.seed);
    return lag;
}

bool recordTurn(LagState &lag, Time dueAt, Time now)
{
    if (lag.at == Time {}) {
        lag.at = now;
        lag.mayStandBackFrom = now + lag.settings.startupGrace;
        return false;
    }
    measure(lag, now - dueAt, now);
    lag.at = now;
    judge(lag);
    return lag.back ? takeAgainIfDue(lag, now) : standBackIfDue(lag, now);
}

bool isWithdrawn(const LagState &lag)
{
    return lag.back;
}

bool closesConnections(const LagState &lag)
{
    return lag.back && lag.at >= lag.withdrawnSince + lag.settings.noticedAfter;
}

bool isLagging(const LagState &lag)
{
    return lag.slow;
}

} // namespace foxwing::lag
