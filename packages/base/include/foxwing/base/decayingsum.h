/*
    A sum in which old amounts decay exponentially, to estimate a rate.

        addTo(freed, Milliseconds(300), cpu, now);
        const double rate = perSecond(freed, Milliseconds(300), now);

    [SECTION] Sum
*/
#pragma once

#include <cmath>

#include <foxwing/base/time.h>

namespace foxwing {

// [SECTION] Sum

struct DecayingSum
{
    // Each amount decays by a factor of e within one window
    double amount = 0;
    Time at {};
};

inline double decayedAmount(const DecayingSum &sum, Milliseconds window, Time now)
{
    const double windows = std::chrono::duration<double>(now - sum.at)
            / std::chrono::duration<double>(window);
    return sum.amount * std::exp(-windows);
}

inline void addTo(DecayingSum &sum, Milliseconds window, double amount, Time now)
{
    sum.amount = decayedAmount(sum, window, now) + amount;
    sum.at = now;
}

inline double perSecond(const DecayingSum &sum, Milliseconds window, Time now)
{
    return decayedAmount(sum, window, now) / std::chrono::duration<double>(window).count();
}

} // namespace foxwing
