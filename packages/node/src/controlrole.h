/*
    The role control of a node: the shell around control::ControlState, and operators' requests.

    [SECTION] Role
*/
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include <foxwing/control/control.h>
#include <foxwing/edge/httpserver.h>
#include <foxwing/metrics/metrics.h>
#include <foxwing/settings/settings.h>

#include "commitlog.h"
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

    void receive(const control::Beat &beat);
    void tick();
    void addSamples(std::vector<metrics::Sample> &samples) const;

private:
    // An operator who waits for a change to last.
    struct WaitingChange
    {
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
    void onCommitted(const control::Command &command);
    void onFailed(const Error &error);
    void serveChange(const edge::HttpRequest &request, const edge::Responder &responder);
    void serveRead(const edge::HttpRequest &request, const edge::Responder &responder) const;
    void serveWatch(const edge::HttpRequest &request, const edge::Responder &responder);
    void serveNodes(const edge::Responder &responder) const;
    void answerWatchers(Time now);
    bool answerWatcher(const Watcher &watcher, bool overdue) const;
    bool isOperator(const std::string &token) const;

    settings::Settings m_settings;
    Loop &m_loop;
    PostOffice &m_post;
    CommitLog m_log;
    control::ControlState m_state;
    std::deque<WaitingChange> m_waiting;
    std::vector<Watcher> m_watchers;
    bool m_failed = false;
};

} // namespace foxwing::node
