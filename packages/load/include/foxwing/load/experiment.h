/*
    An experiment of the load tool: which jobs are sent to a running system, and at which rate.

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
    // Between 0.5 and 1.5 times the mean.
    Uniform,
    // With a coefficient of variation of about 1.
    LogNormal,
    // Nine of ten tasks take 0.5 times the mean, the tenth 5.5 times.
    Bimodal,
};

// Jobs of one class.
struct Mix
{
    std::string workClass = "default";
    std::string service;
    std::string token;

    // Submissions per second, and tasks of each.
    double rate = 10;
    std::uint32_t minTasks = 1;
    std::uint32_t maxTasks = 1;

    // Run time of a task
    Milliseconds mean { 100 };
    Distribution distribution = Distribution::Fixed;

    // The estimate of a job is its true time times a random factor from 1/x to x; 0 sends none.
    double estimateErrorFactor = 0;
    Milliseconds deadline { 60000 };

    // Sends single requests instead of jobs; without an id unless resubmitted or cancelled.
    bool request = false;
    bool repeatable = false;
};

struct Experiment
{
    // Entries, used in turn
    std::vector<std::string> urls;

    // Send only to entries whose /readyz reports ready, as a load balancer does
    bool followReady = false;

    // Processes whose metrics are read before and after the run, to count messages
    std::vector<std::string> metricsUrls;

    // An endpoint that is called directly to measure the baseline; empty for none
    std::string baselineUrl;

    std::uint64_t seed = 1;
    Milliseconds duration { 10000 };

    // Jobs sent in this first part are not reported
    Milliseconds warmUp { 1000 };

    // The rates are multiplied by burstFactor for burstLength of each burstEvery; 0: no bursts.
    Milliseconds burstEvery { 0 };
    Milliseconds burstLength { 0 };
    double burstFactor = 1;

    // Shares of jobs that are submitted again to the next entry, and that are cancelled
    double resubmitShare = 0;
    double cancelShare = 0;

    // How long to wait for answers after the last submission
    Milliseconds drain { 30000 };

    std::vector<Mix> mixes;

    // Replaces the rates: rows of "milliseconds,class,tasks,task milliseconds", where the class
    // names a mix.
    std::string traceFile;
};

// [SECTION] Functions

std::optional<Experiment> readExperiment(const std::string &path, Error *reason);

} // namespace foxwing::load
