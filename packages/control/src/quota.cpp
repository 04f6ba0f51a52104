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
std::uint32_t believed(const ShareTable &book, const EntryShare &held, Time now)
{
    if (now >= held.lastReceivedAt + book.leaseDuration)
        return 0;
    return std::max({ held.reported.share, held.sent, held.reported.running });
}

// [SECTION] Targets

std::uint32_t demandOf(const EntryShare &held)
{
    return held.reported.running + held.reported.waiting;
}

// Equal parts without demand; otherwise in proportion to demand.
std::uint32_t targetFor(const std::map<std::string, EntryShare> &shares, const std::string &entry,
                        const std::vector<std::string> &entries, std::uint32_t quota)
{
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(entries.size(), 1));
    const auto place = static_cast<std::uint32_t>(std::find(entries.begin(), entries.end(), entry)
                                                  - entries.begin());
    const std::uint32_t equal = quota / count + (place < quota % count ? 1 : 0);
    std::uint64_t wanted = 0;
    std::uint32_t own = 0;
    for (const std::string &id : entries) {
        const auto held = shares.find(id);
        const std::uint32_t demand = held == shares.end() ? 0 : demandOf(held->second);
        wanted += demand;
        if (id == entry)
            own = demand;
    }
    if (wanted == 0)
        return equal;
    // Each entry keeps a reserve for a first task; the rest is divided by demand.
    const std::uint32_t reserve = quota >= 4 * count ? 1 : 0;
    const std::uint64_t divided = quota - static_cast<std::uint64_t>(reserve) * count;
    return reserve + static_cast<std::uint32_t>(divided * own / wanted);
}

} // namespace

// [SECTION] Functions

void applyShareReports(ShareTable &book, const std::string &entry,
                       const std::vector<ShareReport> &reports, Time now)
{
    for (auto &team : book.teams) {
        const auto held = team.second.find(entry);
        if (held != team.second.end())
            held->second.lastReceivedAt = now;
    }
    for (const ShareReport &report : reports) {
        EntryShare &held = book.teams[report.team][entry];
        held.reported = report;
        held.lastReceivedAt = now;
    }
}

std::uint32_t maxRunningTotal(const ShareTable &book, const std::string &team, Time now)
{
    std::uint32_t sum = 0;
    const auto shares = book.teams.find(team);
    if (shares == book.teams.end())
        return 0;
    for (const auto &held : shares->second)
        sum += believed(book, held.second, now);
    return sum;
}

std::vector<ShareGrant> grantShares(ShareTable &book, const std::string &entry,
                                    const std::vector<std::string> &entries,
                                    const std::vector<TeamQuota> &quotas, Time now)
{
    std::vector<ShareGrant> grants;
    for (const TeamQuota &quota : quotas) {
        EntryShare &own = book.teams[quota.team][entry];
        if (own.lastReceivedAt == Time {})
            own.lastReceivedAt = now;
        const std::uint32_t target = targetFor(book.teams[quota.team], entry, entries,
                                               quota.concurrency);
        const std::uint32_t others = maxRunningTotal(book, quota.team, now)
                - believed(book, own, now);
        const std::uint32_t left = quota.concurrency > others ? quota.concurrency - others : 0;
        // Until all entries have reported, a new leader only confirms the shares they have.
        const std::uint32_t most = now < book.grantsAllowedAt ? own.reported.share : left;
        own.sent = std::min(target, most);
        grants.push_back({ quota.team, own.sent });
    }
    return grants;
}

} // namespace foxwing::control
