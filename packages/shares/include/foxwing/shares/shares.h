/*
    Measures which share of its requested work each queue gets under overload, and which queues get
    less than their guaranteed share.

    With priorities alone, a long overload would starve the least urgent queue. So each queue is
    guaranteed a share of the work that it recently requested. A queue that gets less is served
    before others until it is back above the guarantee.

        ShareState shares;
        recordRequested(shares, "route-check", work, now);
        recordRefused(shares, "route-check", work, now);
        if (isBelowGuarantee(shares, "route-check", now)) ... serve its next job first ...

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
    // Guaranteed share of each queue's requested work, in percent; zero: priorities alone decide.
    std::uint32_t guaranteedPercent = 0;

    // Time constant of the decaying sums. It should cover several jobs of each queue, so that a
    // single job doesn't change the result, and be shorter than an overload.
    Milliseconds window { 2000 };
};

// [SECTION] State

// Requested and refused work of one queue
struct QueueShare
{
    // Exponentially decaying sums of work, in millicores times milliseconds
    double requested = 0;
    double refused = 0;
    Time updatedAt {};

    // Number of jobs since the queue was declared
    std::uint64_t requestedJobs = 0;
    std::uint64_t refusedJobs = 0;
};

struct ShareState
{
    ShareSettings settings;
    std::map<std::string, QueueShare> queues;
};

// [SECTION] Functions

// A job with this amount of work arrived.
void recordRequested(ShareState &shares, const std::string &queue, std::int64_t work, Time now);

// The job was refused for lack of capacity.
void recordRefused(ShareState &shares, const std::string &queue, std::int64_t work, Time now);

// Share of recently requested work that was not refused; waiting work counts as served. 100 for a
// queue without recent requests.
std::uint32_t servedPercent(const ShareState &shares, const std::string &queue, Time now);

bool isBelowGuarantee(const ShareState &shares, const std::string &queue, Time now);

// Removes queues that are no longer declared.
void retainQueues(ShareState &shares, const std::set<std::string> &declared);

} // namespace foxwing::shares
