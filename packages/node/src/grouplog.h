/*
    Inside a node with the role control: the agreement group's committed commands, typed, over the
    messages between nodes.

    [SECTION] Events
    [SECTION] Group log
*/
#pragma once

#include <functional>

#include <foxwing/control/cluster.h>
#include <foxwing/node/loop.h>
#include <foxwing/replica/replica.h>
#include <foxwing/settings/settings.h>

#include "postoffice.h"

namespace foxwing::node {

// [SECTION] Events

// All are called on the loop's thread.
struct GroupEvents
{
    // A command is committed; index and term tell whose it was.
    std::function<void(const control::Command &, std::uint64_t index, std::uint64_t term)>
            committed;

    // The state was replaced by a leader's snapshot.
    std::function<void(control::ClusterState &&)> installed;

    // A read may be answered, or can't be, since this host leads no more.
    std::function<void(std::uint64_t id, bool confirmed)> read;

    // The disk failed: this host takes no more part.
    std::function<void(const Error &)> failed;
};

// [SECTION] Group log

class GroupLog
{
public:
    GroupLog(Loop &loop, PostOffice &post, const settings::Settings &settings, GroupEvents events);

    // Opens the journal; the state as of its snapshot.
    std::optional<control::ClusterState> open(Error *reason);

    // All on the loop's thread.
    void receive(const quorum::QuorumMessage &message) { m_replica.receive(message); }
    void tick() { m_replica.tick(); }

    // The index and term under which a command will be committed; nothing if this host can't lead.
    std::optional<quorum::LogEntry> propose(const control::Command &command);
    bool proposeMembers(const quorum::Members &members, Error *reason)
    {
        return m_replica.proposeMembers(members, reason);
    }
    void requestRead(std::uint64_t id) { m_replica.requestRead(id); }

    // Takes the place of all applied commands on disk once there are enough.
    void offerSnapshot(const control::ClusterState &cluster);

    bool isReadyLeader() const { return m_replica.isReadyLeader(); }
    const quorum::QuorumState &state() const { return m_replica.state(); }
    bool failed() const { return m_replica.failed(); }

private:
    replica::ReplicaEvents replicaEvents(Loop &loop, PostOffice &post);
    bool apply(const std::string &text, std::uint64_t index, std::uint64_t term, Error *reason);
    bool install(const std::string &state, Error *reason);

    bool m_bootstrap;
    GroupEvents m_events;
    replica::Replica m_replica;
};

} // namespace foxwing::node
