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

// A queue without jobs for this many spans counts as fully served. Both sums decay at the same
// rate, so their ratio alone would never recover from a refusal.
constexpr int ForgottenAfterSpans = 3;

void fade(const ShareSettings &settings, QueueShare &share, Time now)
{
    const double spans = std::chrono::duration<double>(now - share.at)
            / std::chrono::duration<double>(settings.span);
    const double part = std::exp(-std::max(0.0, spans));
    share.asked *= part;
    share.refused *= part;
    share.at = std::max(share.at, now);
}

QueueShare &fadedShare(ShareState &shares, const std::string &queue, Time now)
{
    QueueShare &share = shares.queues[queue];
    fade(shares.settings, share, now);
    return share;
}

} // namespace

// [SECTION] Functions

void recordRequested(ShareState &shares, const std::string &queue, std::int64_t work, Time now)
{
    QueueShare &share = fadedShare(shares, queue, now);
    share.asked += static_cast<double>(std::max<std::int64_t>(0, work));
    ++share.requestedJobs;
}

void recordRefused(ShareState &shares, const std::string &queue, std::int64_t work, Time now)
{
    QueueShare &share = fadedShare(shares, queue, now);
    share.refused += static_cast<double>(std::max<std::int64_t>(0, work));
    ++share.refusedJobs;
}

std::uint32_t servedPercent(const ShareState &shares, const std::string &queue, Time now)
{
    constexpr double All = 100;
    const auto found = shares.queues.find(queue);
    if (found == shares.queues.end())
        return static_cast<std::uint32_t>(All);
    const QueueShare &share = found->second;
    const bool quiet = now - share.at > shares.settings.span * ForgottenAfterSpans;
    if (quiet || share.asked <= 0)
        return static_cast<std::uint32_t>(All);
    // A refusal follows its request and has decayed less, so the ratio may exceed 1.
    const double refused = std::min(1.0, share.refused / share.asked);
    return static_cast<std::uint32_t>(std::lround(All * (1 - refused)));
}

bool isBelowGuarantee(const ShareState &shares, const std::string &queue, Time now)
{
    return servedPercent(shares, queue, now) < shares.settings.guaranteedPercent;
}

void keepQueues(ShareState &shares, const std::set<std::string> &declared)
{
    for (auto item = shares.queues.begin(); item != shares.queues.end();)
        item = declared.count(item->first) == 0 ? shares.queues.erase(item) : std::next(item);
}

} // namespace foxwing::shares
