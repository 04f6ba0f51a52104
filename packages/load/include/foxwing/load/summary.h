/*
    Summary of a load run: outcomes, response times compared with the ideal, and wrong answers.

    [SECTION] Types
    [SECTION] Functions
*/
#pragma once

#include <map>
#include <string>
#include <vector>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::load {

// [SECTION] Types

// One answered submission.
struct Sample
{
    std::string workClass;
    Outcome outcome = Outcome::Unknown;
    Microseconds response { 0 };
    Microseconds ideal { 0 };
    std::uint32_t tasks = 0;

    // Kind of the error, or the reason why there was no answer; empty if complete.
    std::string error;
};

struct Quantiles
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

struct ClassSummary
{
    std::size_t complete = 0;
    std::size_t failed = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t tasks = 0;

    // Of complete submissions; a slowdown is response time / ideal time
    Quantiles responseMs;
    Quantiles slowdown;
    double meanSlowdown = 0;
    std::vector<double> sortedSlowdowns;
};

// Results of the whole experiment.
struct Summary
{
    std::map<std::string, ClassSummary> classes;
    ClassSummary all;

    // Answers that were incomplete or had the results of other tasks; must be empty.
    std::vector<std::string> violations;
    std::size_t unanswered = 0;

    // Number of errors by kind
    std::map<std::string, std::size_t> errors;

    // Increase of the processes' counters during the experiment
    double starts = 0;
    double messages = 0;
    double wastedMessages = 0;
    Milliseconds elapsed { 0 };

    // Median time of direct calls to the endpoint, 0 if not measured
    double baselineMs = 0;
};

// [SECTION] Functions

Summary summarize(const std::vector<Sample> &samples);

// The quantile of sorted values; 0 if there are none.
double quantileOf(const std::vector<double> &sorted, double probability);

// Parses the Prometheus text format and sums the series of each metric.
std::map<std::string, double> parseMetrics(const std::string &text);

} // namespace foxwing::load
