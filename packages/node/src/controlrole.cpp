/*
    The shell around control's decisions.

    [SECTION] Commands
    [SECTION] Nodes
    [SECTION] Measures
*/
#include "controlrole.h"

#include <foxwing/node/log.h>

namespace foxwing::node {

// [SECTION] Commands

ControlRole::ControlRole(const settings::Settings &settings, Loop &loop, PostOffice &post)
    : m_settings(settings)
    , m_post(post)
    , m_log(loop, post, settings,
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
    logChange(LogLevel::Info, "journal-open",
              { { "revision", std::to_string(cluster->store.revision) },
                { "log", std::to_string(quorum::lastIndex(m_log.state())) } });
    m_state.settings = m_settings.control;
    m_state.cluster = std::move(*cluster);
    return true;
}

void ControlRole::carryOut(control::ControlActions &&actions)
{
    for (control::Outgoing &send : actions.sends)
        m_post.send(send.to, widen(std::move(send.message)));
    for (const control::Command &command : actions.proposals)
        m_log.propose(command);
}

void ControlRole::answerChange(std::uint64_t index, std::uint64_t term,
                               const control::ChangeResult &result)
{
    const auto found = m_waiting.find(index);
    if (found == m_waiting.end())
        return;
    const WaitingChange waiting = found->second;
    m_waiting.erase(found);
    if (waiting.term != term)
        return refuseAsFollower(waiting.responder); // another leader's entry took its place
    Json::Value json = toJson(result);
    json["kind"] = toString(result.kind);
    const int status = result.kind == ErrorKind::None ? 200 : httpStatus(result.kind);
    waiting.responder.reply(status, "application/json", writeJson(json));
}

void ControlRole::onCommitted(const control::Command &command, std::uint64_t index,
                              std::uint64_t term)
{
    const control::ChangeResult result = control::committed(m_state, command);
    m_log.offerSnapshot(m_state.cluster);
    if (const auto *view = std::get_if<control::ViewCommand>(&command)) {
        if (view->view.update == 0)
            logChange(LogLevel::Info, "view",
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
    logChange(LogLevel::Info, "snapshot-installed",
              { { "revision", std::to_string(m_state.cluster.store.revision) } });
}

void ControlRole::onRead(std::uint64_t id, bool confirmed)
{
    const auto found = m_reads.find(id);
    if (found == m_reads.end())
        return;
    const WaitingRead waiting = std::move(found->second);
    m_reads.erase(found);
    if (confirmed)
        waiting.read();
    else
        refuseAsFollower(waiting.responder);
}

void ControlRole::onFailed(const Error &error)
{
    if (!m_failed)
        logChange(LogLevel::Error, "journal-failed", { { "reason", error.message } });
    m_failed = true;
    dropOperators();
}

// Whoever waits here must ask the next leader.
void ControlRole::dropOperators()
{
    for (const auto &waiting : m_waiting)
        refuseAsFollower(waiting.second.responder);
    for (const auto &waiting : m_reads)
        refuseAsFollower(waiting.second.responder);
    for (const Watcher &watcher : m_watchers)
        refuseAsFollower(watcher.responder);
    m_waiting.clear();
    m_reads.clear();
    m_watchers.clear();
}

// What is volatile begins anew with each leadership: nodes tell it again.
void ControlRole::followLeadership()
{
    const bool leading = m_log.leadsNow();
    if (leading == m_leading)
        return;
    m_leading = leading;
    logChange(LogLevel::Info, leading ? "leading" : "following",
              { { "term", std::to_string(m_log.state().term) },
                { "leader", m_log.state().leader } });
    if (leading)
        m_state = control::makeControl(m_settings.control, std::move(m_state.cluster), steadyNow(),
                                       wallClockNow());
    else
        dropOperators();
}

// [SECTION] Nodes

void ControlRole::receive(const control::Heartbeat &beat)
{
    m_post.learnAddress(beat.id, beat.address);
    if (!m_leading)
        return;
    carryOut(control::handleHeartbeat(m_state, beat, steadyNow(), wallClockNow()));
}

void ControlRole::tick()
{
    const Time now = steadyNow();
    m_log.tick();
    followLeadership();
    if (!m_leading)
        return;
    const std::uint64_t nodesLost = m_state.counters.nodesLost;
    carryOut(control::tick(m_state, now, wallClockNow()));
    if (m_state.counters.nodesLost != nodesLost)
        logChange(LogLevel::Warning, "nodes-dead",
                  { { "count", std::to_string(m_state.counters.nodesLost - nodesLost) } });
    answerWatchers(now);
}

// [SECTION] Measures

void ControlRole::addSamples(std::vector<metrics::Sample> &samples) const
{
    const auto add = [&](const char *name, const char *help, double value, bool gauge) {
        samples.push_back({ name, help, value, gauge });
    };
    const control::ControlCounters &counters = m_state.counters;
    add("foxwing_control_beats_total", "Beats received", static_cast<double>(counters.heartbeats),
        false);
    add("foxwing_control_views_total", "Views and updates of views made",
        static_cast<double>(counters.views), false);
    add("foxwing_control_deaths_total", "Nodes found dead", static_cast<double>(counters.nodesLost),
        false);
    add("foxwing_control_restarts_total", "Nodes found restarted",
        static_cast<double>(counters.restarts), false);
    add("foxwing_control_changes_sent_total", "Resources sent to nodes",
        static_cast<double>(counters.changesSent), false);
    add("foxwing_control_revision", "Revision of the store",
        static_cast<double>(m_state.cluster.store.revision), true);
    add("foxwing_control_view", "Number of the view",
        static_cast<double>(m_state.cluster.view.number), true);
    const control::RolloutStatus force = control::rolloutStatus(m_state,
                                                                m_state.cluster.store.revision);
    add("foxwing_control_nodes", "Live nodes", force.nodes, true);
    add("foxwing_control_lagging", "Live nodes that lack the newest revision",
        static_cast<double>(force.lagging.size()), true);
    add("foxwing_control_leads", "1 if this host leads the group", m_leading ? 1 : 0, true);
    add("foxwing_control_term", "Term of the group", static_cast<double>(m_log.state().term), true);
    add("foxwing_control_committed", "Index of the last committed entry",
        static_cast<double>(m_log.state().commit), true);
    add("foxwing_control_journal_failed", "1 if the journal can't be written", m_failed ? 1 : 0,
        true);
}

} // namespace foxwing::node
