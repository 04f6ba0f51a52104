/*
    An experiment for the load tool: what is sent to a running system, and how often.

        Error reason;
        std::optional<Experiment> experiment = readExperiment("bench/light.toml", &reason);

    [SECTION] Types
    [SECTION] Functions
*/
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::load {

// [SECTION] Types

enum class Distribution {
    Fixed,
    // Between half of the mean and one and a half of it.
    Uniform,
    // With a coefficient of variation of about 1.
    LogNormal,
    // Nine of ten tasks take half of the mean, one takes five and a half times it.
    Bimodal,
};

// One sort of work.
struct Mix
{
    std::string workClass = "default";
    std::string service;
    std::string token;

    // Submissions a second, and tasks in each.
    double rate = 10;
    std::uint32_t minTasks = 1;
    std::uint32_t maxTasks = 1;

    // Run time of a task
    Milliseconds mean { 100 };
    Distribution spread = Distribution::Fixed;

    // What is declared is the true time times a factor from 1/wrong to wrong; 0 declares nothing.
    double estimateErrorFactor = 0;
    Milliseconds deadline { 60000 };

    // A single request instead of a job; without an id unless it is resubmitted.
    bool request = false;
    bool repeatable = false;
};

struct Experiment
{
    // Entries, each asked in turn
    std::vector<std::string> urls;

    // Send only to entries whose /readyz says so, as a balancer does
    bool followReady = false;

    // Processes whose metrics are read before and after, to count messages
    std::vector<std::string> metricsUrls;

    // An endpoint that is called directly, to learn the ideal; empty for none
    std::string baselineUrl;

    std::uint64_t seed = 1;
    Milliseconds duration { 10000 };

    // Left out of the report
    Milliseconds warmUp { 1000 };

    // Load is multiplied by burstFactor for burstLength out of each burstEvery; 0 for no bursts.
    Milliseconds burstEvery { 0 };
    Milliseconds burstLength { 0 };
    double burstFactor = 1;

    // Share of jobs that are submitted a second time, to the next entry, and that are cancelled
    double resubmitShare = 0;
    double cancelShare = 0;

    // How long answers are awaited after the last submission
    Milliseconds drain { 30000 };

    std::vector<Mix> mixes;

    // Rows of "milliseconds,class,tasks,task milliseconds" instead of rates; classes as above.
    std::string traceFile;
};

// [SECTION] Functions

std::optional<Experiment> readExperiment(const std::string &path, Error *reason);

} // namespace foxwing::load
