/*
    Quotas of teams as shares that entries hold under lease.

    A team may run only so many tasks at the same time over all entries. Control gives each entry a
    share; the sum of all shares that entries may still believe in never passes the quota. A share
   is lowered first and given to another entry only after its holder has reported the lower one, or
   has been silent for longer than shares live. With no demand shares are equal, so that a team's
   first task need not wait; with demand they follow it.

        applyShareReports(book, "entry-a", reports, now);
        std::vector<ShareGrant> grants = grantShares(book, "entry-a", entries, quotas, now);

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

// What an entry says about a team that has a quota.
struct ShareReport
{
    std::string team;

    // The share that the entry applies, and the tasks it has under it
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

// What one entry may believe about one team.
struct EntryShare
{
    ShareReport reported;

    // The last share that was sent; the entry may or may not have it.
    std::uint32_t sent = 0;
    Time lastReceivedAt {};
};

struct ShareTable
{
    // How long an entry keeps a share that control does not confirm.
    Milliseconds leaseDuration { 12500 };

    // By team, then by entry
    std::map<std::string, std::map<std::string, EntryShare>> teams;

    // Nothing is granted before all entries had the time to report to a new leader.
    Time grantsAllowedAt {};
};

struct TeamQuota
{
    std::string team;
    std::uint32_t concurrency = 0;
};

// [SECTION] Functions

void applyShareReports(ShareTable &book, const std::string &entry,
                       const std::vector<ShareReport> &reports, Time now);

// The shares that an entry is to apply now, for every team with a quota.
std::vector<ShareGrant> grantShares(ShareTable &book, const std::string &entry,
                                    const std::vector<std::string> &entries,
                                    const std::vector<TeamQuota> &quotas, Time now);

// The most that all entries together may run of a team by what they may believe.
std::uint32_t maxRunningTotal(const ShareTable &book, const std::string &team, Time now);

} // namespace foxwing::control
