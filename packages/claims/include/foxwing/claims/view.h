/*
    Views: which entries hold the claims of which shard.

    Control numbers the views. A view lists the live entries; the replicas of each shard follow from
    the list by rendezvous hashing. Beside that a view names each shard's base: the replicas of the
    last view in which the shard was in service. Whoever holds a shard next must first get its
    claims from one of them. This is the reconfiguration of "Vertical Paxos and Primary-Backup
    Replication" (Lamport, Malkhi, Zhou, PODC 2009) with control as the configuration master.

    [SECTION] Types
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <foxwing/base/codec.h>
#include <foxwing/base/time.h>

namespace foxwing::claims {

// [SECTION] Types

// Claims are spread over this many shards; fixed for the life of a cluster.
constexpr std::uint32_t ShardCount = 64;

// One life of one entry process.
struct EntryIdentity
{
    std::string id;
    std::uint64_t incarnation = 0;

    bool operator==(const EntryIdentity &other) const
    {
        return id == other.id && incarnation == other.incarnation;
    }
};
template<class Fields>
void describe(Fields &fields, EntryIdentity &replica)
{
    fields("id", replica.id);
    fields("incarnation", replica.incarnation);
}

struct Member
{
    EntryIdentity replica;
    std::string address;
    std::string dataCentre;
};
template<class Fields>
void describe(Fields &fields, Member &member)
{
    fields("replica", member.replica);
    fields("address", member.address);
    fields("dataCentre", member.dataCentre);
}

struct ShardBase
{
    // Who had the shard when it was last in service; empty if all of them are lost.
    std::vector<EntryIdentity> replicas;

    // The view in which that was; the shard is in service now if it is the present one.
    std::uint64_t lastActiveView = 0;

    // Claims of ids made up to this date may be lost. Milliseconds since 1970; 0 for none.
    std::int64_t lossCutoff = 0;
};
template<class Fields>
void describe(Fields &fields, ShardBase &base)
{
    fields("replicas", base.replicas);
    fields("activeIn", base.lastActiveView);
    fields("floor", base.lossCutoff);
}

struct View
{
    std::uint64_t number = 0;

    // Grows with each change to the bases within one view.
    std::uint64_t update = 0;
    std::uint32_t replicaCount = 2;
    std::vector<Member> members;
    std::vector<ShardBase> bases;
};
template<class Fields>
void describe(Fields &fields, View &view)
{
    fields("number", view.number);
    fields("update", view.update);
    fields("replicaCount", view.replicaCount);
    fields("members", view.members);
    fields("bases", view.bases);
}

// [SECTION] Functions

std::uint32_t shardOf(const std::string &job);

// The replicas of a shard in a view, the home first, the others in other data centres if possible.
std::vector<EntryIdentity> replicasOf(const View &view, std::uint32_t shard);

// Whether this life of an entry is a member.
bool isMember(const View &view, const EntryIdentity &replica);

// Whether a view is newer than another.
bool isNewer(const View &view, const View &than);

} // namespace foxwing::claims
