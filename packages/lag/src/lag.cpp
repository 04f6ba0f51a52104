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
    const double step = weight * toMilliseconds(middle(lag.late) - lag.behind);
    lag.behind += std::chrono::duration_cast<Microseconds>(
            std::chrono::duration<double, std::milli>(step));
}

// [SECTION] Decision

void judge(LagState &lag)
{
    const Microseconds above = lag.settings.standBackAbove;
    const Microseconds below = std::min<Microseconds>(lag.settings.takeAgainBelow, above / 2);
    if (above.count() > 0 && lag.behind > above)
        lag.slow = true;
    else if (lag.behind < below)
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
    const bool over = middle(lag.late) <= lag.settings.standBackAbove;
    if (!lag.slow || over || now < lag.mayStandBackFrom)
        return false;
    if (!drawsToStandBack(lag)) {
        lag.mayStandBackFrom = now + lag.settings.askAgainAfter;
        return false;
    }
    lag.back = true;
    lag.backSince = now;
    ++lag.timesBack;
    return true;
}

bool takeAgainIfDue(LagState &lag, Time now)
{
    const Microseconds paused = now - lag.backSince;
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

bool noteTurn(LagState &lag, Time dueAt, Time now)
{
    if (lag.at == Time {}) {
        lag.at = now;
        lag.mayStandBackFrom = now + lag.settings.afterStart;
        return false;
    }
    measure(lag, now - dueAt, now);
    lag.at = now;
    judge(lag);
    return lag.back ? takeAgainIfDue(lag, now) : standBackIfDue(lag, now);
}

bool standsBack(const LagState &lag)
{
    return lag.back;
}

bool sendsCallersAway(const LagState &lag)
{
    return lag.back && lag.at >= lag.backSince + lag.settings.noticedAfter;
}

bool isBehind(const LagState &lag)
{
    return lag.slow;
}

} // namespace foxwing::lag
