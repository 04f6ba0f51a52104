/*
    Counters and histograms in the Prometheus text exposition format.

    There is one histogram per metric, team and class. Quantiles are estimated with
    Boost.Accumulators; buckets allow a monitoring system to aggregate over processes. The number of
    series is limited, so that a team can't exhaust memory with class names.

        Metrics metrics;
        observe(metrics, "foxwing_response_ms", { "team-a", "align" }, 12.5);
        writeExposition(metrics, { { "foxwing_starts_total", "Tasks started", 17 } });

    [SECTION] Types
    [SECTION] Functions
*/
#pragma once

// Boost 1.74 requires it and doesn't include it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace foxwing::metrics {

// [SECTION] Types

// Upper bounds of the buckets, in the unit of the observed values; the last bucket has none.
constexpr std::array<double, 14> BucketBounds { 1,   2,   5,    10,   20,   50,    100,
                                                200, 500, 1000, 2000, 5000, 10000, 60000 };

// Series of a metric above this number are counted under the class "other" of their team.
constexpr std::size_t MaxSeries = 2000;

namespace accumulators = boost::accumulators;

using Quantiles = accumulators::accumulator_set<
        double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                            accumulators::tag::max, accumulators::tag::extended_p_square_quantile>>;

struct Labels
{
    std::string team;
    std::string workClass;

    bool operator<(const Labels &other) const
    {
        return std::tie(team, workClass) < std::tie(other.team, other.workClass);
    }
};

struct Histogram
{
    Histogram();

    std::array<std::uint64_t, BucketBounds.size() + 1> buckets {};
    Quantiles values;
};

// A value that is stored elsewhere and only written here.
struct Sample
{
    // Followed by labels in braces, if any. Samples of one name must be adjacent.
    std::string name;
    std::string help;
    double value = 0;

    // Whether the value can decrease
    bool gauge = false;
};

struct Metrics
{
    // By name, then by labels
    std::map<std::string, std::map<Labels, Histogram>> histograms;
};

// [SECTION] Functions

void observe(Metrics &metrics, const std::string &name, const Labels &labels, double value);

// The name of a series with one label, for Sample::name.
std::string labelled(const std::string &name, const std::string &label, const std::string &value);

// The estimated quantile of a histogram for the probability 0.5, 0.95 or 0.99.
double quantile(const Histogram &histogram, double probability);

// Writes all histograms and samples as text.
std::string writeExposition(const Metrics &metrics, const std::vector<Sample> &samples);

} // namespace foxwing::metrics
