/*
    Executes control's actions, follows the leadership and exports the counters.

    [SECTION] Commands
    [SECTION] Nodes
    [SECTION] Metrics
*/
#include "controlrole.h"

#include <foxwing/node/log.h>

namespace foxwing::node {

// [SECTION] Commands

ControlRole::ControlRole(const settings::Settings &settings, EventLoop &loop, MessageRouter &router)
    : m_settings(settings)
    , m_router(router)
    , m_log(loop, router, settings,
            { [this](const control::Command &command, std::uint64_t index, std::uint64_t term) {
                 onCommitted(command, index, term);
             },
              [this](control::ClusterState &&cluster) { onInstalled(std::move(cluster)); },
              [this](std::uint64_t id, bool confirmed) { onRead(id, confirmed); },
              [this](const Error &error) { onFailed(error); } })
{ }

bool ControlRole::start(Error *reason)
{
    auto cluster = m_log.open(reason);
    if (!cluster)
        return false;
    logEvent(LogLevel::Info, "journal-open",
             { { "revision", std::to_string(cluster->store.revision) },
               { "log", std::to_string(quorum::lastIndex(m_log.state())) } });
    m_state.settings = m_settings.control;
    m_state.cluster = std::move(*cluster);
    return true;
}

void ControlRole::execute(control::ControlActions &&actions)
{
    for (control::Outgoing &send : actions.sends)
        m_router.send(send.to, widen(std::move(send.message)));
    for (const control::Command &command : actions.proposals)
        m_log.propose(command);
}

void ControlRole::answerChange(std::uint64_t index, std::uint64_t term,
                               const control::ChangeResult &result)
{
    const auto found = m_pendingChanges.find(index);
    if (found == m_pendingChanges.end())
        return;
    const PendingChange pending = found->second;
    m_pendingChanges.erase(found);
    if (pending.term != term)
        return refuseAsFollower(pending.responder); // replaced by another leader's log entry
    Json::Value json = toJson(result);
    json["kind"] = toString(result.kind);
    const int status = result.kind == ErrorKind::None ? 200 : httpStatus(result.kind);
    pending.responder.reply(status, "application/json", writeJson(json));
}

void ControlRole::onCommitted(const control::Command &command, std::uint64_t index,
                              std::uint64_t term)
{
    const control::ChangeResult result = control::committed(m_state, command);
    m_log.offerSnapshot(m_state.cluster);
    if (const auto *view = std::get_if<control::ViewCommand>(&command)) {
        if (view->view.update == 0)
            logEvent(LogLevel::Info, "view",
                     { { "number", std::to_string(view->view.number) },
                       { "entries", std::to_string(view->view.members.size()) } });
        return;
    }
    answerChange(index, term, result);
    answerWatchers(steadyNow());
}

void ControlRole::onInstalled(control::ClusterState &&cluster)
{
    m_state.cluster = std::move(cluster);
    logEvent(LogLevel::Info, "snapshot-installed",
             { { "revision", std::to_string(m_state.cluster.store.revision) } });
}

void ControlRole::onRead(std::uint64_t id, bool confirmed)
{
    const auto found = m_pendingReads.find(id);
    if (found == m_pendingReads.end())
        return;
    const PendingRead pending = std::move(found->second);
    m_pendingReads.erase(found);
    if (confirmed)
        pending.read();
    else
        refuseAsFollower(pending.responder);
}

void ControlRole::onFailed(const Error &error)
{
    if (!m_failed)
        logEvent(LogLevel::Error, "journal-failed", { { "reason", error.message } });
    m_failed = true;
    refusePending();
}

// Pending requests have to be sent again to the new leader.
void ControlRole::refusePending()
{
    for (const auto &pending : m_pendingChanges)
        refuseAsFollower(pending.second.responder);
    for (const auto &pending : m_pendingReads)
        refuseAsFollower(pending.second.responder);
    for (const Watcher &watcher : m_watchers)
        refuseAsFollower(watcher.responder);
    m_pendingChanges.clear();
    m_pendingReads.clear();
    m_watchers.clear();
}

// A new leader starts without volatile state; nodes report it again.
void ControlRole::updateLeadership()
{
    const bool leading = m_log.isReadyLeader();
    if (leading == m_leading)
        return;
    m_leading = leading;
    logEvent(LogLevel::Info, leading ? "leading" : "following",
             { { "term", std::to_string(m_log.state().term) },
               { "leader", m_log.state().leader } });
    if (leading)
        m_state = control::makeControl(m_settings.control, std::move(m_state.cluster), steadyNow(),
                                       wallClockNow());
    else
        refusePending();
}

// [SECTION] Nodes

void ControlRole::receive(const control::Heartbeat &heartbeat)
{
    m_router.learnAddress(heartbeat.id, heartbeat.address);
    if (!m_leading)
        return;
    execute(control::handleHeartbeat(m_state, heartbeat, steadyNow(), wallClockNow()));
}

void ControlRole::tick()
{
    const Time now = steadyNow();
    m_log.tick();
    updateLeadership();
    if (!m_leading)
        return;
    const std::uint64_t nodesLost = m_state.counters.nodesLost;
    execute(control::tick(m_state, now, wallClockNow()));
    if (m_state.counters.nodesLost != nodesLost)
        logEvent(LogLevel::Warning, "nodes-dead",
                 { { "count", std::to_string(m_state.counters.nodesLost - nodesLost) } });
    answerWatchers(now);
}

// [SECTION] Metrics

void ControlRole::addSamples(std::vector<metrics::Sample> &samples) const
{
    const auto add = [&](const char *name, const char *help, double value, bool gauge) {
        samples.push_back({ name, help, value, gauge });
    };
    const control::ControlCounters &counters = m_state.counters;
    add("foxwing_control_beats_total", "Heartbeats received",
        static_cast<double>(counters.heartbeats), false);
    add("foxwing_control_views_total", "Views and view updates created",
        static_cast<double>(counters.views), false);
    add("foxwing_control_deaths_total", "Nodes lost", static_cast<double>(counters.nodesLost),
        false);
    add("foxwing_control_restarts_total", "Restarts of nodes",
        static_cast<double>(counters.restarts), false);
    add("foxwing_control_changes_sent_total", "Resources sent to nodes",
        static_cast<double>(counters.changesSent), false);
    add("foxwing_control_revision", "Revision of the store",
        static_cast<double>(m_state.cluster.store.revision), true);
    add("foxwing_control_view", "Number of the view",
        static_cast<double>(m_state.cluster.view.number), true);
    const control::RolloutStatus rollout = control::rolloutStatus(m_state,
                                                                  m_state.cluster.store.revision);
    add("foxwing_control_nodes", "Live nodes", rollout.nodes, true);
    add("foxwing_control_lagging", "Live nodes that lack the newest revision",
        static_cast<double>(rollout.lagging.size()), true);
    add("foxwing_control_leads", "1 if this host is the leader of the group", m_leading ? 1 : 0,
        true);
    add("foxwing_control_term", "Term of the group", static_cast<double>(m_log.state().term), true);
    add("foxwing_control_committed", "Index of the last committed entry",
        static_cast<double>(m_log.state().commitIndex), true);
    add("foxwing_control_journal_failed", "1 if the journal can't be written", m_failed ? 1 : 0,
        true);
}

} // namespace foxwing::node
