/*
    Makes a plan from rates or from a trace.

    [SECTION] Times
    [SECTION] Rates
    [SECTION] Traces
    [SECTION] Functions
*/
#include <foxwing/load/plan.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <random>
#include <sstream>

namespace foxwing::load {

namespace {

// [SECTION] Times

Milliseconds drawTime(const Mix &mix, std::mt19937_64 &random)
{
    const auto mean = static_cast<double>(mix.mean.count());
    double drawn = mean;
    if (mix.distribution == Distribution::Uniform) {
        drawn = std::uniform_real_distribution<double>(mean / 2, mean * 3 / 2)(random);
    } else if (mix.distribution == Distribution::LogNormal) {
        // Standard deviation of the logarithm, for a coefficient of variation of 1.
        constexpr double Sigma = 0.8326;
        drawn = std::lognormal_distribution<double>(std::log(mean) - Sigma * Sigma / 2,
                                                    Sigma)(random);
    } else if (mix.distribution == Distribution::Bimodal) {
        drawn = std::bernoulli_distribution(0.1)(random) ? mean * 5.5 : mean / 2;
    }
    return Milliseconds(std::max<std::int64_t>(1, std::llround(drawn)));
}

Milliseconds drawEstimate(const Mix &mix, const PlannedJob &job, std::mt19937_64 &random)
{
    if (mix.estimateErrorFactor < 1)
        return Milliseconds { 0 };
    const double power = std::uniform_real_distribution<double>(-1, 1)(random);
    const double factor = std::pow(mix.estimateErrorFactor, power);
    const auto ideal = static_cast<double>(idealTime(job).count());
    return Milliseconds(std::max<std::int64_t>(1, std::llround(ideal * factor)));
}

// [SECTION] Rates

double loadFactor(const Experiment &experiment, Microseconds at)
{
    if (experiment.burstEvery.count() == 0)
        return 1;
    return at % experiment.burstEvery < experiment.burstLength ? experiment.burstFactor : 1;
}

void planMix(const Experiment &experiment, std::size_t number, std::mt19937_64 &random,
             std::vector<PlannedJob> &plan)
{
    const Mix &mix = experiment.mixes[number];
    std::exponential_distribution<double> interval(mix.rate / 1e6);
    std::uniform_int_distribution<std::uint32_t> taskCount(mix.minTasks, mix.maxTasks);
    Microseconds at { 0 };
    for (;;) {
        const double factor = std::max(loadFactor(experiment, at), 1e-6);
        at += Microseconds(static_cast<std::int64_t>(interval(random) / factor) + 1);
        if (at >= experiment.duration)
            return;
        PlannedJob job;
        job.at = at;
        job.mix = number;
        const std::uint32_t tasks = taskCount(random);
        for (std::uint32_t i = 0; i < tasks; ++i)
            job.tasks.push_back(drawTime(mix, random));
        plan.push_back(std::move(job));
    }
}

// [SECTION] Traces

std::optional<std::size_t> findMix(const Experiment &experiment, const std::string &workClass)
{
    for (std::size_t i = 0; i < experiment.mixes.size(); ++i) {
        if (experiment.mixes[i].workClass == workClass)
            return i;
    }
    return std::nullopt;
}

std::optional<PlannedJob> readRow(const Experiment &experiment, const std::string &line)
{
    std::istringstream row(line);
    std::string at;
    std::string workClass;
    std::string tasks;
    std::string duration;
    std::getline(row, at, ',');
    std::getline(row, workClass, ',');
    std::getline(row, tasks, ',');
    std::getline(row, duration, ',');
    const auto isNumber = [](const std::string &text) {
        return !text.empty() && text.size() < 10
                && text.find_first_not_of("0123456789") == std::string::npos;
    };
    const std::optional<std::size_t> mix = findMix(experiment, workClass);
    if (!mix || !isNumber(at) || !isNumber(tasks) || !isNumber(duration)
        || std::stoul(tasks) > 10000)
        return std::nullopt;
    PlannedJob job;
    job.at = Milliseconds(std::stol(at));
    job.mix = *mix;
    job.tasks.assign(std::stoul(tasks), Milliseconds(std::stol(duration)));
    return job;
}

bool planTrace(const Experiment &experiment, std::vector<PlannedJob> &plan, Error *reason)
{
    std::ifstream file(experiment.traceFile);
    std::string line;
    std::size_t number = 0;
    while (std::getline(file, line)) {
        ++number;
        if (line.empty() || line[0] == '#')
            continue;
        const std::optional<PlannedJob> job = readRow(experiment, line);
        if (!job || job->tasks.empty()) {
            fail(reason, ErrorKind::BadRequest,
                 experiment.traceFile + ":" + std::to_string(number)
                         + ": must be milliseconds,class,tasks,task milliseconds, with the class "
                           "of one of the mixes");
            return false;
        }
        plan.push_back(*job);
    }
    if (number == 0)
        fail(reason, ErrorKind::NotFound, experiment.traceFile + ": is empty or can't be read");
    return number > 0;
}

} // namespace

// [SECTION] Functions

Milliseconds idealTime(const PlannedJob &job)
{
    return job.tasks.empty() ? Milliseconds { 0 }
                             : *std::max_element(job.tasks.begin(), job.tasks.end());
}

std::optional<std::vector<PlannedJob>> makePlan(const Experiment &experiment, Error *reason)
{
    std::mt19937_64 random(experiment.seed);
    std::vector<PlannedJob> plan;
    if (experiment.traceFile.empty()) {
        for (std::size_t i = 0; i < experiment.mixes.size(); ++i)
            planMix(experiment, i, random, plan);
    } else if (!planTrace(experiment, plan, reason)) {
        return std::nullopt;
    }
    std::stable_sort(plan.begin(), plan.end(), [](const PlannedJob &left, const PlannedJob &right) {
        return left.at < right.at;
    });
    std::bernoulli_distribution resubmits(experiment.resubmitShare);
    std::bernoulli_distribution cancels(experiment.cancelShare);
    for (PlannedJob &job : plan) {
        const Mix &mix = experiment.mixes[job.mix];
        job.estimate = drawEstimate(mix, job, random);
        job.resubmit = resubmits(random);
        job.cancel = cancels(random);
    }
    return plan;
}

} // namespace foxwing::load
