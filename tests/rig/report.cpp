/*
    Evaluates replays: shares, wrong refusals and the table.

    [SECTION] Shares
    [SECTION] Table
*/
#include "rig.h"

#include <algorithm>
#include <cstdio>

namespace foxwing::test {

// [SECTION] Shares

namespace {

double percentOf(std::uint64_t part, std::uint64_t total)
{
    return 100.0 * static_cast<double>(part)
            / static_cast<double>(std::max<std::uint64_t>(1, total));
}

double medianMilliseconds(std::vector<Microseconds> delays)
{
    if (delays.empty())
        return 0;
    std::sort(delays.begin(), delays.end());
    return toMilliseconds(delays[delays.size() / 2]);
}

} // namespace

double wronglyRefusedPercent(const RigSettings &settings, const RigReport &report)
{
    RigSettings other = settings;
    other.scheduler.maxWaitPercent = 0;
    other.scheduler.maxWaitFactor = 1e6;
    const std::set<std::string> completed = replay(other).completed;
    const auto wrong = std::count_if(report.refusedImmediately.begin(),
                                     report.refusedImmediately.end(), [&](const std::string &id) {
                                         return completed.count(id) != 0;
                                     });
    return percentOf(static_cast<std::uint64_t>(wrong), report.refusedImmediately.size());
}

std::pair<double, double> refusedByEntry(const QueueReport &queue)
{
    double lowest = 100;
    double highest = 0;
    for (const auto &[number, entry] : queue.entries) {
        const double percent = percentOf(entry.refused, entry.submitted);
        lowest = std::min(lowest, percent);
        highest = std::max(highest, percent);
    }
    return { std::min(lowest, highest), highest };
}

// [SECTION] Table

std::string table(const std::vector<std::pair<std::string, RigReport>> &rows)
{
    std::string text =
            "| variant | credit | served | refused within 5 ms | of these wrongly | starts per "
            "task | "
            "refused despite capacity | idle while jobs wait |"
            " by queue: on time, of the largest tenth, late, refused, of the largest tenth,"
            " at the entries with the least and the most, failed, refused after"
            " (median) |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    char line[256];
    for (const auto &[name, report] : rows) {
        std::snprintf(line, sizeof line,
                      "| %s | %.2f %% | %.2f %% | %.0f %% | %.1f %% | %.2f | %llu | %.1f %% |",
                      name.c_str(), report.creditPercent, report.servedPercent,
                      report.refusedImmediatelyPercent, report.wronglyRefusedPercent,
                      report.startsPerTask,
                      static_cast<unsigned long long>(report.refusedDespiteCapacity),
                      report.idleWhileWaitingPercent);
        text += line;
        for (const auto &[queue, one] : report.queues) {
            std::snprintf(line, sizeof line,
                          " %s: %.2f %%, %.2f %%, %.2f %%, %.2f %%, %.2f %%, %.0f to %.0f %%,"
                          " %.2f %%, %.0f ms;",
                          queue.c_str(), percentOf(one.onTime, one.submitted),
                          percentOf(one.largeOnTime, one.largeSubmitted),
                          percentOf(one.late, one.submitted), percentOf(one.refused, one.submitted),
                          percentOf(one.largeRefused, one.largeSubmitted),
                          refusedByEntry(one).first, refusedByEntry(one).second,
                          percentOf(one.failed, one.submitted),
                          medianMilliseconds(one.refusalDelays));
            text += line;
        }
        text += " |\n";
    }
    return text;
}

} // namespace foxwing::test
