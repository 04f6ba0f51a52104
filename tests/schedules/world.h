/*
    A small world for schedule tests: the real entry, agent and control code, with a network that
    loses, doubles and delays, processes that crash, restart and stand still, all from one seed.

        Report report = runSchedule(seed);
        if (!report.violations.empty())
            ...

    Nothing here decides for the code under test: it only delivers, times and counts.

    [SECTION] Report
    [SECTION] Function
    [SECTION] Sessions
*/
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
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

// [SECTION] Sessions

struct World;

// The same world without chaos, driven by hand: for golden files and traces. The transcript has one
// line for each message that is delivered and each reply; beats, views, leases and reports of load
// are left out.
class Session
{
public:
    Session();
    ~Session();

    // Submits at an entry ("entry0") and gives the number of the submission. A number of an earlier
    // submission submits the same again.
    std::size_t submit(const std::string &entry, std::size_t tasks,
                       std::chrono::milliseconds taskTime, std::chrono::milliseconds deadline);
    void submitAgain(const std::string &entry, std::size_t number);
    void submitOtherBody(const std::string &entry, std::size_t number);
    void fetch(const std::string &entry, std::size_t number);
    void cancel(const std::string &entry, std::size_t number);

    void crash(const std::string &process);
    void pause(const std::string &process, std::chrono::milliseconds span);
    void leave(const std::string &agent);
    void failNextTask();
    void advance(std::chrono::milliseconds span);

    std::vector<std::string> transcript() const;
    Report report() const;

private:
    std::unique_ptr<World> m_world;
};

} // namespace foxwing::schedules
