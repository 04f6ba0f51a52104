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

inline double decayedAmount(const DecayingSum &sum, Milliseconds span, Time now)
{
    const double spans = std::chrono::duration<double>(now - sum.at)
            / std::chrono::duration<double>(span);
    return sum.amount * std::exp(-spans);
}

inline void addTo(DecayingSum &sum, Milliseconds span, double amount, Time now)
{
    sum.amount = decayedAmount(sum, span, now) + amount;
    sum.at = now;
}

inline double perSecond(const DecayingSum &sum, Milliseconds span, Time now)
{
    return decayedAmount(sum, span, now) / std::chrono::duration<double>(span).count();
}

} // namespace foxwing
