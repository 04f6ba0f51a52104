/*
    A small world for schedule tests: the real entry, agent and control code, with a network that
    loses, doubles and delays, processes that crash, restart and stand still, all from one seed.

        Report report = runSchedule(seed);
        if (!report.violations.empty())
            ...

    Nothing here decides for the code under test: it only delivers, times and counts.

    [SECTION] Report
    [SECTION] Function
*/
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace foxwing::schedules {

// [SECTION] Report

struct Report
{
    // Each names the promise and the work.
    std::vector<std::string> violations;

    // How much happened, to see that the schedules test something.
    std::uint64_t starts = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t joins = 0;
    std::uint64_t crashes = 0;
    std::uint64_t messages = 0;
};

// [SECTION] Function

// Runs one schedule; the same seed gives the same schedule.
Report runSchedule(std::uint64_t seed);

} // namespace foxwing::schedules
