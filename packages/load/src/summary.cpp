/*
    Summarizing the answers of a load run.

    [SECTION] Quantiles
    [SECTION] Summary
    [SECTION] Metrics
*/
#include <foxwing/load/summary.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace foxwing::load {

// [SECTION] Quantiles

double quantileOf(const std::vector<double> &sorted, double probability)
{
    if (sorted.empty())
        return 0;
    const double position = probability * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::llround(position))];
}

namespace {

Quantiles quantilesOf(std::vector<double> &values)
{
    std::sort(values.begin(), values.end());
    return { quantileOf(values, 0.5), quantileOf(values, 0.95), quantileOf(values, 0.99) };
}

// [SECTION] Summary

ClassSummary summarizeClass(const std::vector<const Sample *> &samples)
{
    ClassSummary summary;
    std::vector<double> responses;
    double sum = 0;
    for (const Sample *sample : samples) {
        summary.tasks += sample->tasks;
        if (sample->outcome == Outcome::Failed)
            ++summary.failed;
        else if (sample->outcome == Outcome::NotRun)
            ++summary.notRun;
        else if (sample->outcome != Outcome::Complete)
            ++summary.unknown;
        if (sample->outcome != Outcome::Complete)
            continue;
        ++summary.complete;
        responses.push_back(toMilliseconds(sample->response));
        const double ideal = std::max(toMilliseconds(sample->ideal), 0.001);
        summary.sortedSlowdowns.push_back(toMilliseconds(sample->response) / ideal);
        sum += summary.sortedSlowdowns.back();
    }
    summary.responseMs = quantilesOf(responses);
    summary.slowdown = quantilesOf(summary.sortedSlowdowns);
    if (summary.complete > 0)
        summary.meanSlowdown = sum / static_cast<double>(summary.complete);
    return summary;
}

} // namespace

Summary summarize(const std::vector<Sample> &samples)
{
    std::map<std::string, std::vector<const Sample *>> byClass;
    std::vector<const Sample *> all;
    for (const Sample &sample : samples) {
        byClass[sample.workClass].push_back(&sample);
        all.push_back(&sample);
    }
    Summary summary;
    for (const Sample &sample : samples) {
        if (!sample.error.empty())
            ++summary.errors[sample.error];
    }
    for (const auto &group : byClass)
        summary.classes[group.first] = summarizeClass(group.second);
    summary.all = summarizeClass(all);
    return summary;
}

// [SECTION] Metrics

std::map<std::string, double> parseMetrics(const std::string &text)
{
    std::map<std::string, double> sums;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t space = line.rfind(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos)
            continue;
        const std::string name = line.substr(0, line.find_first_of("{ "));
        sums[name] += std::strtod(line.c_str() + space, nullptr);
    }
    return sums;
}

} // namespace foxwing::load
