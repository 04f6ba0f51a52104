/*
    The role control of a node: the shell around control::ControlState, and operators' requests.

    Only the leader of the group answers nodes and operators; every host keeps the state.

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

#include "grouplog.h"
#include "postoffice.h"

namespace foxwing::node {

// [SECTION] Role

class ControlRole
{
public:
    ControlRole(const settings::Settings &settings, Loop &loop, PostOffice &post);

    // Opens the journal.
    bool start(Error *reason);

    // An operator's request, on the loop's thread. False if its path is none of control's.
    bool serve(const edge::HttpRequest &request, const edge::Responder &responder);

    void receive(const control::Heartbeat &beat);
    void receive(const quorum::QuorumMessage &message) { m_log.receive(message); }
    void tick();
    void addSamples(std::vector<metrics::Sample> &samples) const;

private:
    // An operator who waits for a change to be committed.
    struct WaitingChange
    {
        std::uint64_t term = 0;
        edge::Responder responder;
    };

    // An operator who waits for changes after a revision.
    struct Watcher
    {
        edge::Responder responder;
        std::uint64_t revision = 0;
        Time until {};
    };

    void carryOut(control::ControlActions &&actions);
    void onCommitted(const control::Command &command, std::uint64_t index, std::uint64_t term);
    void onInstalled(control::ClusterState &&cluster);
    void onRead(std::uint64_t id, bool confirmed);
    void onFailed(const Error &error);
    void followLeadership();
    void dropOperators();
    void answerChange(std::uint64_t index, std::uint64_t term, const control::ChangeResult &result);

    bool isOperator(const std::string &token) const;
    void refuseAsFollower(const edge::Responder &responder) const;
    void serveChange(const edge::HttpRequest &request, const edge::Responder &responder);
    void serveMembers(const edge::HttpRequest &request, const edge::Responder &responder);
    void serveRead(const edge::HttpRequest &request, const edge::Responder &responder) const;
    void serveWatch(const edge::HttpRequest &request, const edge::Responder &responder);
    void serveNodes(const edge::Responder &responder) const;

    // Calls this once a quorum has confirmed that this host still leads.
    void afterConfirmation(const edge::Responder &responder, std::function<void()> read);
    void answerWatchers(Time now);
    bool answerWatcher(const Watcher &watcher, bool overdue) const;

    settings::Settings m_settings;
    PostOffice &m_post;
    GroupLog m_log;
    control::ControlState m_state;
    bool m_leading = false;

    struct WaitingRead
    {
        edge::Responder responder;
        std::function<void()> read;
    };
    std::map<std::uint64_t, WaitingRead> m_reads;
    std::uint64_t m_nextRead = 1;
    std::map<std::uint64_t, WaitingChange> m_waiting;
    std::vector<Watcher> m_watchers;
    bool m_failed = false;
};

} // namespace foxwing::node
