/*
    What each queue is served of the work it asks for while room lacks, and which queues have
    fallen below their floor.

    Priorities decide who goes first. In a long overload they alone would leave the least urgent
    queue with nothing; so each queue has a floor: a part of what it asked for of late. A queue
    below it goes before others until it is above again.

        ShareState shares;
        recordRequested(shares, "route-check", work, now);
        recordRefused(shares, "route-check", work, now);
        if (isBelowGuarantee(shares, "route-check", now)) ... let its next job go first ...

    [SECTION] Settings
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <foxwing/base/time.h>

namespace foxwing::shares {

// [SECTION] Settings

struct ShareSettings
{
    // Each queue is to be served at least this part of the work it asked for, in percent; zero:
    // there is no floor, and priorities alone decide.
    std::uint32_t guaranteedPercent = 0;

    // What was asked and refused counts for about this long: some jobs of each queue, and less than
    // an overload. It keeps a queue from changing its standing with each job.
    Milliseconds span { 2000 };
};

// [SECTION] State

// What one queue asked for and was refused
struct QueueShare
{
    // Work in thousandths of a core times milliseconds, old work fading
    double asked = 0;
    double refused = 0;
    Time at {};

    // Jobs since the queue was declared
    std::uint64_t requestedJobs = 0;
    std::uint64_t refusedJobs = 0;
};

struct ShareState
{
    ShareSettings settings;
    std::map<std::string, QueueShare> queues;
};

// [SECTION] Functions

// A job of so much work has come.
void recordRequested(ShareState &shares, const std::string &queue, std::int64_t work, Time now);

// Such a job was refused since room lacked.
void recordRefused(ShareState &shares, const std::string &queue, std::int64_t work, Time now);

// What was not refused of what was asked of late, work that still waits included; 100 for a queue
// that asked for nothing.
std::uint32_t servedPercent(const ShareState &shares, const std::string &queue, Time now);

bool isBelowGuarantee(const ShareState &shares, const std::string &queue, Time now);

// Other queues are declared: forgets those that are gone.
void retainQueues(ShareState &shares, const std::set<std::string> &declared);

} // namespace foxwing::shares
