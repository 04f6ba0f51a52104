/*
    Shares of quotas.

    [SECTION] Bounds
    [SECTION] Targets
    [SECTION] Functions
*/
#include <foxwing/control/quota.h>

#include <algorithm>

namespace foxwing::control {

// [SECTION] Bounds

namespace {

// Upper bound of the tasks that an entry may run until its next report.
std::uint32_t maxRunning(const ShareTable &table, const EntryShare &share, Time now)
{
    if (now >= share.lastReceivedAt + table.leaseDuration)
        return 0;
    return std::max({ share.reported.share, share.sent, share.reported.running });
}

// [SECTION] Targets

std::uint32_t entryDemand(const EntryShare &share)
{
    return share.reported.running + share.reported.waiting;
}

// Equal parts without demand; otherwise in proportion to demand.
std::uint32_t targetShare(const std::map<std::string, EntryShare> &shares, const std::string &entry,
                          const std::vector<std::string> &entries, std::uint32_t quota)
{
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(entries.size(), 1));
    const auto index = static_cast<std::uint32_t>(std::find(entries.begin(), entries.end(), entry)
                                                  - entries.begin());
    const std::uint32_t equalShare = quota / count + (index < quota % count ? 1 : 0);
    std::uint64_t totalDemand = 0;
    std::uint32_t ownDemand = 0;
    for (const std::string &id : entries) {
        const auto found = shares.find(id);
        const std::uint32_t demand = found == shares.end() ? 0 : entryDemand(found->second);
        totalDemand += demand;
        if (id == entry)
            ownDemand = demand;
    }
    if (totalDemand == 0)
        return equalShare;
    // Each entry keeps a reserve for a first task; the rest is divided by demand.
    const std::uint32_t reserve = quota >= 4 * count ? 1 : 0;
    const std::uint64_t divisible = quota - static_cast<std::uint64_t>(reserve) * count;
    return reserve + static_cast<std::uint32_t>(divisible * ownDemand / totalDemand);
}

} // namespace

// [SECTION] Functions

void applyShareReports(ShareTable &table, const std::string &entry,
                       const std::vector<ShareReport> &reports, Time now)
{
    for (auto &team : table.teams) {
        const auto found = team.second.find(entry);
        if (found != team.second.end())
            found->second.lastReceivedAt = now;
    }
    for (const ShareReport &report : reports) {
        EntryShare &share = table.teams[report.team][entry];
        share.reported = report;
        share.lastReceivedAt = now;
    }
}

std::uint32_t maxRunningTotal(const ShareTable &table, const std::string &team, Time now)
{
    std::uint32_t sum = 0;
    const auto shares = table.teams.find(team);
    if (shares == table.teams.end())
        return 0;
    for (const auto &share : shares->second)
        sum += maxRunning(table, share.second, now);
    return sum;
}

std::vector<ShareGrant> grantShares(ShareTable &table, const std::string &entry,
                                    const std::vector<std::string> &entries,
                                    const std::vector<TeamQuota> &quotas, Time now)
{
    std::vector<ShareGrant> grants;
    for (const TeamQuota &quota : quotas) {
        EntryShare &own = table.teams[quota.team][entry];
        if (own.lastReceivedAt == Time {})
            own.lastReceivedAt = now;
        const std::uint32_t target = targetShare(table.teams[quota.team], entry, entries,
                                                 quota.concurrency);
        const std::uint32_t others = maxRunningTotal(table, quota.team, now)
                - maxRunning(table, own, now);
        const std::uint32_t available = quota.concurrency > others ? quota.concurrency - others : 0;
        // Until all entries have reported, a new leader only confirms the shares they have.
        const std::uint32_t limit = now < table.grantsAllowedAt ? own.reported.share : available;
        own.sent = std::min(target, limit);
        grants.push_back({ quota.team, own.sent });
    }
    return grants;
}

} // namespace foxwing::control
