/*
    Quotas of teams, divided into shares that entries hold under lease.

    A quota limits the tasks that a team runs at the same time over all entries. Control grants each
    entry a share; the sum of the shares that entries may still apply never exceeds the quota. To
    move a share, control lowers it first, and grants it to another entry only after the holder has
    reported the lower value or has been silent for the lease duration. Without demand all shares
    are equal, so that a team's first task starts at once; otherwise they follow demand.

        applyShareReports(table, "entry-a", reports, now);
        std::vector<ShareGrant> grants = grantShares(table, "entry-a", entries, quotas, now);

    [SECTION] Messages
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <foxwing/base/codec.h>
#include <foxwing/base/time.h>

namespace foxwing::control {

// [SECTION] Messages

// An entry's report about a team that has a quota.
struct ShareReport
{
    std::string team;

    // The share that the entry applies, and its running and waiting tasks
    std::uint32_t share = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};
template<class Fields>
void describe(Fields &fields, ShareReport &report)
{
    fields("team", report.team);
    fields("share", report.share);
    fields("running", report.running);
    fields("waiting", report.waiting);
}

struct ShareGrant
{
    std::string team;
    std::uint32_t share = 0;
};
template<class Fields>
void describe(Fields &fields, ShareGrant &grant)
{
    fields("team", grant.team);
    fields("share", grant.share);
}

// [SECTION] State

// State of one entry's share of one team's quota.
struct EntryShare
{
    ShareReport reported;

    // The last share that was sent; the entry may not have received it.
    std::uint32_t sent = 0;
    Time lastReceivedAt {};
};

struct ShareTable
{
    // How long an entry applies a share that control does not confirm.
    Milliseconds leaseDuration { 12500 };

    // By team, then by entry
    std::map<std::string, std::map<std::string, EntryShare>> teams;

    // Shares are not raised before this time, so that all entries can report to a new leader.
    Time grantsAllowedAt {};
};

struct TeamQuota
{
    std::string team;
    std::uint32_t concurrency = 0;
};

// [SECTION] Functions

void applyShareReports(ShareTable &table, const std::string &entry,
                       const std::vector<ShareReport> &reports, Time now);

// The shares that an entry should apply now, for every team with a quota.
std::vector<ShareGrant> grantShares(ShareTable &table, const std::string &entry,
                                    const std::vector<std::string> &entries,
                                    const std::vector<TeamQuota> &quotas, Time now);

// Upper bound of the tasks of a team that all entries together may run.
std::uint32_t maxRunningTotal(const ShareTable &table, const std::string &team, Time now);

} // namespace foxwing::control
