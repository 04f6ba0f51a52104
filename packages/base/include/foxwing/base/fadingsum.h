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

struct FadingSum
{
    // Each amount decays by a factor of e within one window
    double amount = 0;
    Time at {};
};

inline double fadedAmount(const FadingSum &sum, Milliseconds span, Time now)
{
    const double spans = std::chrono::duration<double>(now - sum.at)
            / std::chrono::duration<double>(span);
    return sum.amount * std::exp(-spans);
}

inline void addTo(FadingSum &sum, Milliseconds span, double amount, Time now)
{
    sum.amount = fadedAmount(sum, span, now) + amount;
    sum.at = now;
}

inline double perSecond(const FadingSum &sum, Milliseconds span, Time now)
{
    return fadedAmount(sum, span, now) / std::chrono::duration<double>(span).count();
}

} // namespace foxwing
