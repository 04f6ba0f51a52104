/*
    Random fault schedules. Invariants: no task starts twice, "not run" is true, and answers are
    complete and belong to the caller's own job.

    FOXWING_SCHEDULES sets the number of seeds, FOXWING_SEED the first one. In a build with a broken
    guard the test passes only if a violation is found.

    [SECTION] Tests
*/
#include "simulation.h"

#include <atomic>
#include <cstdlib>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

#include <foxwing/base/guards.h>

namespace foxwing::schedules {
namespace {

std::uint64_t numberFromEnvironment(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// Totals of many schedules.
struct Summary
{
    Report total;
    std::vector<std::string> violations;
};

void add(Summary &summary, std::uint64_t seed, const Report &report)
{
    summary.total.starts += report.starts;
    summary.total.complete += report.complete;
    summary.total.failed += report.failed;
    summary.total.notRun += report.notRun;
    summary.total.unknown += report.unknown;
    summary.total.takeovers += report.takeovers;
    summary.total.joins += report.joins;
    summary.total.crashes += report.crashes;
    summary.total.messages += report.messages;
    for (const std::string &violation : report.violations)
        summary.violations.push_back("seed " + std::to_string(seed) + ": " + violation);
}

Summary runMany(std::uint64_t first, std::uint64_t count, bool stopAtFirst)
{
    Summary summary;
    std::mutex mutex;
    std::atomic<std::uint64_t> next { 0 };
    std::atomic<bool> stop { false };
    std::vector<std::thread> threads;
    for (unsigned int i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back([&] {
            for (std::uint64_t at = next++; at < count && !stop; at = next++) {
                const Report report = runSchedule(first + at);
                const std::lock_guard<std::mutex> lock(mutex);
                add(summary, first + at, report);
                stop = stop || (stopAtFirst && !report.violations.empty());
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return summary;
}

// [SECTION] Tests

TEST(Schedules, InvariantsHoldUnderFaults)
{
    const std::uint64_t first = numberFromEnvironment("FOXWING_SEED", 1);
    const std::uint64_t count = numberFromEnvironment("FOXWING_SCHEDULES", 2000);
    const bool guardsIntact = BrokenGuard == Guard::None;
    const Summary summary = runMany(first, count, !guardsIntact);
    const Report &total = summary.total;
    std::printf("schedules %llu starts %llu complete %llu failed %llu not run %llu unknown %llu "
                "takeovers %llu joins %llu crashes %llu messages %llu\n",
                static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(total.starts),
                static_cast<unsigned long long>(total.complete),
                static_cast<unsigned long long>(total.failed),
                static_cast<unsigned long long>(total.notRun),
                static_cast<unsigned long long>(total.unknown),
                static_cast<unsigned long long>(total.takeovers),
                static_cast<unsigned long long>(total.joins),
                static_cast<unsigned long long>(total.crashes),
                static_cast<unsigned long long>(total.messages));
    for (std::size_t i = 0; i < summary.violations.size() && i < 10; ++i)
        std::printf("%s\n", summary.violations[i].c_str());
    if (guardsIntact) {
        EXPECT_TRUE(summary.violations.empty()) << summary.violations.size() << " violations";
        EXPECT_GT(total.complete, count);
    } else {
        EXPECT_FALSE(summary.violations.empty()) << "the broken guard was not detected";
    }
}

} // namespace
} // namespace foxwing::schedules
