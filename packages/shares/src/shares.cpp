/*
    Decaying sums of the work that queues requested and were refused.

    [SECTION] Sums
    [SECTION] Functions
*/
#include <foxwing/shares/shares.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxwing::shares {

// [SECTION] Sums

namespace {

// A queue without jobs for this many windows counts as fully served. Both sums decay at the same
// rate, so their ratio alone would never recover from a refusal.
constexpr int RetentionWindows = 3;

void decay(const ShareSettings &settings, QueueShare &share, Time now)
{
    const double windows = std::chrono::duration<double>(now - share.updatedAt)
            / std::chrono::duration<double>(settings.window);
    const double factor = std::exp(-std::max(0.0, windows));
    share.requested *= factor;
    share.refused *= factor;
    share.updatedAt = std::max(share.updatedAt, now);
}

QueueShare &decayedShare(ShareState &shares, const std::string &queue, Time now)
{
    QueueShare &share = shares.queues[queue];
    decay(shares.settings, share, now);
    return share;
}

} // namespace

// [SECTION] Functions

void recordRequested(ShareState &shares, const std::string &queue, std::int64_t work, Time now)
{
    QueueShare &share = decayedShare(shares, queue, now);
    share.requested += static_cast<double>(std::max<std::int64_t>(0, work));
    ++share.requestedJobs;
}

void recordRefused(ShareState &shares, const std::string &queue, std::int64_t work, Time now)
{
    QueueShare &share = decayedShare(shares, queue, now);
    share.refused += static_cast<double>(std::max<std::int64_t>(0, work));
    ++share.refusedJobs;
}

std::uint32_t servedPercent(const ShareState &shares, const std::string &queue, Time now)
{
    constexpr double Hundred = 100;
    const auto found = shares.queues.find(queue);
    if (found == shares.queues.end())
        return static_cast<std::uint32_t>(Hundred);
    const QueueShare &share = found->second;
    const bool idle = now - share.updatedAt > shares.settings.window * RetentionWindows;
    if (idle || share.requested <= 0)
        return static_cast<std::uint32_t>(Hundred);
    // A refusal follows its request and has decayed less, so the ratio may exceed 1.
    const double refused = std::min(1.0, share.refused / share.requested);
    return static_cast<std::uint32_t>(std::lround(Hundred * (1 - refused)));
}

bool isBelowGuarantee(const ShareState &shares, const std::string &queue, Time now)
{
    return servedPercent(shares, queue, now) < shares.settings.guaranteedPercent;
}

void retainQueues(ShareState &shares, const std::set<std::string> &declared)
{
    for (auto item = shares.queues.begin(); item != shares.queues.end();)
        item = declared.count(item->first) == 0 ? shares.queues.erase(item) : std::next(item);
}

} // namespace foxwing::shares
