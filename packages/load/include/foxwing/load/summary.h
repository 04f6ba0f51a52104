/*
    What came back: outcomes, response times against the ideal, and whether each answer was right.

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

    // Kind of the error, or why there was no answer; empty if complete.
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

    // Of complete submissions
    Quantiles responseMs;
    Quantiles slowdown;
    double meanSlowdown = 0;
    std::vector<double> sortedSlowdowns;
};

// What the whole experiment came to.
struct Summary
{
    std::map<std::string, ClassSummary> classes;
    ClassSummary all;

    // Answers that were partial, foreign or doubled; must be empty.
    std::vector<std::string> violations;
    std::size_t unanswered = 0;

    // How often each error came
    std::map<std::string, std::size_t> errors;

    // Counted by the processes over the experiment
    double starts = 0;
    double messages = 0;
    double wastedMessages = 0;
    Milliseconds elapsed { 0 };

    // Median of direct calls to the endpoint, 0 if not measured
    double baselineMs = 0;
};

// [SECTION] Functions

Summary summarize(const std::vector<Sample> &samples);

// The quantile of sorted values; 0 if there are none.
double quantileOf(const std::vector<double> &sorted, double probability);

// Sums of all series of each counter in an exposition text.
std::map<std::string, double> parseMetrics(const std::string &text);

} // namespace foxwing::load
