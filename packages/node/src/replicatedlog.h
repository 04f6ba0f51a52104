/*
    The replicated log of control commands: a typed layer over replica::Replica, with messages of
    this node as its transport.

    [SECTION] Events
    [SECTION] Log
*/
#pragma once

#include <functional>

#include <foxwing/control/cluster.h>
#include <foxwing/node/eventloop.h>
#include <foxwing/replica/replica.h>
#include <foxwing/settings/settings.h>

#include "messagerouter.h"

namespace foxwing::node {

// [SECTION] Events

// Callbacks, all called on the loop's thread.
struct ReplicatedLogEvents
{
    // A command is committed; index and term identify the proposal.
    std::function<void(const control::Command &, std::uint64_t index, std::uint64_t term)>
            committed;

    // A leader's snapshot has replaced the state.
    std::function<void(control::ClusterState &&)> installed;

    // A read may be answered, or must be refused since this host is no longer the leader.
    std::function<void(std::uint64_t id, bool confirmed)> read;

    // The disk failed; this host no longer takes part in the group.
    std::function<void(const Error &)> failed;
};

// [SECTION] Log

class ReplicatedLog
{
public:
    ReplicatedLog(EventLoop &loop, MessageRouter &router, const settings::Settings &settings,
                  ReplicatedLogEvents events);

    // Opens the journal and returns the state of its snapshot.
    std::optional<control::ClusterState> open(Error *reason);

    // All may be called only on the loop's thread.
    void receive(const quorum::QuorumMessage &message) { m_replica.receive(message); }
    void tick() { m_replica.tick(); }

    // Index and term under which the command will be committed, unless another leader takes over
    // first; nothing if this host is not the leader or its disk failed.
    std::optional<quorum::LogEntry> propose(const control::Command &command);
    bool proposeMembers(const quorum::Members &members, Error *reason)
    {
        return m_replica.proposeMembers(members, reason);
    }
    void requestRead(std::uint64_t id) { m_replica.requestRead(id); }

    // Writes a snapshot in place of the applied commands once there are enough of them.
    void offerSnapshot(const control::ClusterState &cluster);

    bool isReadyLeader() const { return m_replica.isReadyLeader(); }
    const quorum::QuorumState &state() const { return m_replica.state(); }
    bool failed() const { return m_replica.failed(); }

private:
    replica::ReplicaEvents replicaEvents(EventLoop &loop, MessageRouter &router);
    bool apply(const std::string &text, std::uint64_t index, std::uint64_t term, Error *reason);
    bool install(const std::string &state, Error *reason);

    bool m_bootstrap;
    ReplicatedLogEvents m_events;
    replica::Replica m_replica;
};

} // namespace foxwing::node
