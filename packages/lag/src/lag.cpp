/*
    Average delay of event-loop turns, and the decision to withdraw or return.

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

Microseconds median(std::array<Microseconds, MedianTurns> delays)
{
    std::sort(delays.begin(), delays.end());
    return delays[MedianTurns / 2];
}

// Updates the average; a turn's weight depends on the time since the turn before.
void updateAverage(LagState &lag, Microseconds delay, Time now)
{
    lag.delays[lag.next] = std::clamp<Microseconds>(delay, Microseconds(0), lag.settings.maxDelay);
    lag.next = (lag.next + 1) % MedianTurns;
    const double windows = toMilliseconds(now - lag.lastTurnAt)
            / toMilliseconds(lag.settings.window);
    const double weight = 1 - std::exp(-windows);
    const double change = weight * toMilliseconds(median(lag.delays) - lag.averageDelay);
    lag.averageDelay += std::chrono::duration_cast<Microseconds>(
            std::chrono::duration<double, std::milli>(change));
}

// [SECTION] Decision

void updateLagging(LagState &lag)
{
    const Microseconds upper = lag.settings.withdrawAbove;
    const Microseconds lower = std::min<Microseconds>(lag.settings.resumeBelow, upper / 2);
    if (upper.count() > 0 && lag.averageDelay > upper)
        lag.lagging = true;
    else if (lag.averageDelay < lower)
        lag.lagging = false;
}

bool drawsToWithdraw(LagState &lag)
{
    // Remainder instead of a standard distribution, whose results differ between libraries.
    constexpr std::uint64_t Hundred = 100;
    return lag.random() % Hundred < lag.settings.withdrawPercent;
}

bool withdrawIfDue(LagState &lag, Time now)
{
    // The average falls slowly, so check that turns are still late.
    const bool onTime = median(lag.delays) <= lag.settings.withdrawAbove;
    if (!lag.lagging || onTime || now < lag.nextWithdrawalAt)
        return false;
    if (!drawsToWithdraw(lag)) {
        lag.nextWithdrawalAt = now + lag.settings.redrawInterval;
        return false;
    }
    lag.withdrawn = true;
    lag.withdrawnSince = now;
    ++lag.withdrawals;
    return true;
}

bool resumeIfDue(LagState &lag, Time now)
{
    const Microseconds duration = now - lag.withdrawnSince;
    if (duration < lag.settings.minWithdrawal
        || (lag.lagging && duration < lag.settings.maxWithdrawal))
        return false;
    lag.withdrawn = false;
    // A suspended host has not been withdrawn for all of the time suspended.
    const Microseconds counted = std::min<Microseconds>(duration, lag.settings.maxWithdrawal);
    lag.nextWithdrawalAt = now + counted * lag.settings.serviceRatio;
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
    if (lag.lastTurnAt == Time {}) {
        lag.lastTurnAt = now;
        lag.nextWithdrawalAt = now + lag.settings.startupGrace;
        return false;
    }
    updateAverage(lag, now - dueAt, now);
    lag.lastTurnAt = now;
    updateLagging(lag);
    return lag.withdrawn ? resumeIfDue(lag, now) : withdrawIfDue(lag, now);
}

bool isWithdrawn(const LagState &lag)
{
    return lag.withdrawn;
}

bool closesConnections(const LagState &lag)
{
    return lag.withdrawn && lag.lastTurnAt >= lag.withdrawnSince + lag.settings.closeAfter;
}

bool isLagging(const LagState &lag)
{
    return lag.lagging;
}

} // namespace foxwing::lag
