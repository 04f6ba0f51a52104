/*
    Regression of measured on estimated run times, with decaying weights.

    [SECTION] Functions
*/
#include <foxwing/scheduler/runtimemodel.h>

#include <algorithm>
#include <cmath>

namespace foxwing::scheduler {

// [SECTION] Functions

void noteRunTime(RunTimes &times, Milliseconds guess, Microseconds measured)
{
    if (guess.count() <= 0 || measured.count() <= 0)
        return;
    const double most = times.settings.mostFactor;
    const double measuredMs = std::chrono::duration<double, std::milli>(measured).count();
    const double guessMs = static_cast<double>(guess.count());
    const double x = std::log(guessMs);
    const double y = std::log(std::clamp(measuredMs / guessMs, 1 / most, most));
    const double fade = 1 - 1 / times.settings.memory;
    times.weight = times.weight * fade + 1;
    times.sumX = times.sumX * fade + x;
    times.sumY = times.sumY * fade + y;
    times.sumXX = times.sumXX * fade + x * x;
    times.sumXY = times.sumXY * fade + x * y;
}

Milliseconds expectedRunTime(const RunTimes &times, Milliseconds guess)
{
    if (guess.count() <= 0 || times.weight <= 0)
        return guess;
    const double trust = times.settings.trustInGuesses;
    const double meanX = times.sumX / times.weight;
    const double meanY = times.sumY / times.weight;
    const double spread = times.sumXX - times.weight * meanX * meanX;
    const double joint = times.sumXY - times.weight * meanX * meanY;
    // Variance of the prior's samples (a spread by a factor of 1.6); pulls the slope towards that
    // of correct estimates.
    constexpr double GuessVariance = 0.22;
    const double slope = std::clamp(joint / (spread + trust * GuessVariance), -1.0, 0.0);
    const double share = times.weight / (times.weight + trust);
    const double x = std::log(static_cast<double>(guess.count()));
    const double y = share * meanY + slope * (x - meanX);
    const double most = times.settings.mostFactor;
    const double factor = std::clamp(std::exp(y), 1 / most, most);
    const double expected = static_cast<double>(guess.count()) * factor;
    return Milliseconds(std::max<std::int64_t>(1, std::llround(expected)));
}

} // namespace foxwing::scheduler
