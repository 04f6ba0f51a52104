/*
    Regression of measured on estimated run times, with decaying weights.

    [SECTION] Functions
*/
#include <foxwing/scheduler/runtimemodel.h>

#include <algorithm>
#include <cmath>

namespace foxwing::scheduler {

// [SECTION] Functions

void recordRunTime(RunTimeModel &model, Milliseconds estimate, Microseconds measured)
{
    if (estimate.count() <= 0 || measured.count() <= 0)
        return;
    const double maxFactor = model.settings.maxFactor;
    const double measuredMs = std::chrono::duration<double, std::milli>(measured).count();
    const double estimateMs = static_cast<double>(estimate.count());
    const double x = std::log(estimateMs);
    const double y = std::log(std::clamp(measuredMs / estimateMs, 1 / maxFactor, maxFactor));
    const double decay = 1 - 1 / model.settings.decaySamples;
    model.weight = model.weight * decay + 1;
    model.sumX = model.sumX * decay + x;
    model.sumY = model.sumY * decay + y;
    model.sumXX = model.sumXX * decay + x * x;
    model.sumXY = model.sumXY * decay + x * y;
}

Milliseconds expectedRunTime(const RunTimeModel &model, Milliseconds estimate)
{
    if (estimate.count() <= 0 || model.weight <= 0)
        return estimate;
    const double prior = model.settings.priorSamples;
    const double meanX = model.sumX / model.weight;
    const double meanY = model.sumY / model.weight;
    const double variance = model.sumXX - model.weight * meanX * meanX;
    const double covariance = model.sumXY - model.weight * meanX * meanY;
    // Variance of the prior's samples (a spread by a factor of 1.6); pulls the slope towards that
    // of correct estimates.
    constexpr double PriorVariance = 0.22;
    const double slope = std::clamp(covariance / (variance + prior * PriorVariance), -1.0, 0.0);
    const double share = model.weight / (model.weight + prior);
    const double x = std::log(static_cast<double>(estimate.count()));
    const double y = share * meanY + slope * (x - meanX);
    const double maxFactor = model.settings.maxFactor;
    const double factor = std::clamp(std::exp(y), 1 / maxFactor, maxFactor);
    const double expected = static_cast<double>(estimate.count()) * factor;
    return Milliseconds(std::max<std::int64_t>(1, std::llround(expected)));
}

} // namespace foxwing::scheduler
