/*
    Shards, replicas and members of a view.

    [SECTION] Functions
*/
#include <foxwing/claims/view.h>

#include <algorithm>

#include <foxwing/base/digest.h>

namespace foxwing::claims {

// [SECTION] Functions

std::uint32_t shardOf(const std::string &job)
{
    return static_cast<std::uint32_t>(hash64(job) % ShardCount);
}

std::vector<EntryIdentity> replicasOf(const View &view, std::uint32_t shard)
{
    const std::string key = "shard " + std::to_string(shard);
    std::vector<const Member *> ranked;
    for (const Member &member : view.members)
        ranked.push_back(&member);
    std::sort(ranked.begin(), ranked.end(), [&](const Member *left, const Member *right) {
        return rendezvousWeight(key, left->replica.id) > rendezvousWeight(key, right->replica.id);
    });
    std::vector<EntryIdentity> chosen;
    std::vector<std::string> dataCentres;
    // One replica in each data centre first; if more are needed, any entry.
    for (int round = 0; round < 2; ++round) {
        for (const Member *member : ranked) {
            const bool dataCentreUsed = std::find(dataCentres.begin(), dataCentres.end(),
                                                  member->dataCentre)
                    != dataCentres.end();
            const bool alreadyChosen = std::find(chosen.begin(), chosen.end(), member->replica)
                    != chosen.end();
            if (chosen.size() >= view.replicaCount || alreadyChosen
                || (round == 0 && dataCentreUsed))
                continue;
            chosen.push_back(member->replica);
            dataCentres.push_back(member->dataCentre);
        }
    }
    return chosen;
}

bool isMember(const View &view, const EntryIdentity &replica)
{
    return std::any_of(view.members.begin(), view.members.end(),
                       [&](const Member &member) { return member.replica == replica; });
}

bool isNewer(const View &view, const View &other)
{
    if (view.number != other.number)
        return view.number > other.number;
    return view.update > other.update;
}

} // namespace foxwing::claims
