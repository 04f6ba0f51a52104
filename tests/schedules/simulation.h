/*
    Deterministic simulation for schedule tests: the production code of entries, agents and control
    with a network that loses, duplicates and delays messages, and processes that crash, restart and
    pause. Everything follows from one seed.

        Report report = runSchedule(seed);
        if (!report.violations.empty())
            ...

    The simulation makes no decisions for the code under test; it only delivers messages, advances
    time and counts.

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
    // Violated invariants, each with the submission concerned.
    std::vector<std::string> violations;

    // Activity counts, to show that the schedules exercise the code.
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

// Runs one schedule, which the seed determines.
Report runSchedule(std::uint64_t seed);

// [SECTION] Sessions

struct Simulation;

// The simulation without faults, driven step by step for golden files and traces. The transcript
// has one line per delivered message and per reply; heartbeats, views, leases and load reports are
// left out.
class Session
{
public:
    Session();
    ~Session();

    // Submits new work at an entry ("entry0") and returns the number of the submission, by which
    // the functions below refer to it.
    std::size_t submit(const std::string &entry, std::size_t tasks,
                       std::chrono::milliseconds taskTime, std::chrono::milliseconds deadline);
    void submitAgain(const std::string &entry, std::size_t number);
    void submitOtherBody(const std::string &entry, std::size_t number);
    void fetch(const std::string &entry, std::size_t number);
    void cancel(const std::string &entry, std::size_t number);

    void crash(const std::string &process);
    void pause(const std::string &process, std::chrono::milliseconds duration);
    void leave(const std::string &agent);
    void failNextTask();
    void advance(std::chrono::milliseconds duration);

    std::vector<std::string> transcript() const;
    Report report() const;

private:
    std::unique_ptr<Simulation> m_simulation;
};

} // namespace foxwing::schedules
