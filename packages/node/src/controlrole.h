/*
    The control role of a node: connects control::ControlState to messages, the replicated log and
    operators' requests.

    Only the leader of the consensus group answers nodes and operators; every host has the state.

    [SECTION] Role
*/
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <foxwing/control/control.h>
#include <foxwing/edge/httpserver.h>
#include <foxwing/metrics/metrics.h>
#include <foxwing/settings/settings.h>

#include "messagerouter.h"
#include "replicatedlog.h"

namespace foxwing::node {

// [SECTION] Role

class ControlRole
{
public:
    ControlRole(const settings::Settings &settings, EventLoop &loop, MessageRouter &router);

    // Opens the journal and restores the state from it.
    bool start(Error *reason);

    // Serves an operator's request, on the loop's thread. False if control does not serve its path.
    bool serve(const edge::HttpRequest &request, const edge::Responder &responder);

    void receive(const control::Heartbeat &heartbeat);
    void receive(const quorum::QuorumMessage &message) { m_log.receive(message); }
    void tick();
    void addSamples(std::vector<metrics::Sample> &samples) const;

private:
    // A change that is not committed yet.
    struct PendingChange
    {
        std::uint64_t term = 0;
        edge::Responder responder;
    };

    // A watch that waits for changes after a revision.
    struct Watcher
    {
        edge::Responder responder;
        std::uint64_t revision = 0;
        Time deadline {};
    };

    void execute(control::ControlActions &&actions);
    void onCommitted(const control::Command &command, std::uint64_t index, std::uint64_t term);
    void onInstalled(control::ClusterState &&cluster);
    void onRead(std::uint64_t id, bool confirmed);
    void onFailed(const Error &error);
    void updateLeadership();
    void refusePending();
    void answerChange(std::uint64_t index, std::uint64_t term, const control::ChangeResult &result);

    bool isOperator(const std::string &token) const;
    void refuseAsFollower(const edge::Responder &responder) const;
    void serveChange(const edge::HttpRequest &request, const edge::Responder &responder);
    void serveMembers(const edge::HttpRequest &request, const edge::Responder &responder);
    void serveRead(const edge::HttpRequest &request, const edge::Responder &responder) const;
    void serveWatch(const edge::HttpRequest &request, const edge::Responder &responder);
    void serveNodes(const edge::Responder &responder) const;

    // Calls read() once a quorum has confirmed that this host is still the leader.
    void afterConfirmation(const edge::Responder &responder, std::function<void()> read);
    void answerWatchers(Time now);
    bool answerWatcher(const Watcher &watcher, bool timedOut) const;

    settings::Settings m_settings;
    MessageRouter &m_router;
    ReplicatedLog m_log;
    control::ControlState m_state;
    bool m_leading = false;

    struct PendingRead
    {
        edge::Responder responder;
        std::function<void()> read;
    };
    std::map<std::uint64_t, PendingRead> m_pendingReads;
    std::uint64_t m_nextReadId = 1;
    std::map<std::uint64_t, PendingChange> m_pendingChanges;
    std::vector<Watcher> m_watchers;
    bool m_failed = false;
};

} // namespace foxwing::node
