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
    , m_loop(loop)
    , m_post(post)
    , m_log(
              loop, settings.journal,
              [this](const control::Command &command) { onCommitted(command); },
              [this](const Error &error) { onFailed(error); })
{ }

bool ControlRole::start(Error *reason)
{
    auto cluster = m_log.open(m_settings.node.dataFolder, reason);
    if (!cluster)
        return false;
    logChange(LogLevel::Info, "journal-open",
              { { "revision", std::to_string(cluster->store.revision) },
                { "view", std::to_string(cluster->view.number) } });
    m_state = control::makeControl(m_settings.control, std::move(*cluster), steadyNow(),
                                   wallClockNow());
    return true;
}

void ControlRole::carryOut(control::ControlActions &&actions)
{
    for (control::Outgoing &send : actions.sends)
        m_post.send(send.to, widen(std::move(send.message)));
    for (control::Command &command : actions.proposals)
        m_log.propose(std::move(command));
}

void ControlRole::onCommitted(const control::Command &command)
{
    const control::ChangeResult result = control::committed(m_state, command);
    if (const auto *view = std::get_if<control::ViewCommand>(&command)) {
        if (view->view.update == 0)
            logChange(LogLevel::Info, "view",
                      { { "number", std::to_string(view->view.number) },
                        { "entries", std::to_string(view->view.members.size()) } });
        return;
    }
    // Changes last in the order in which they were proposed.
    const WaitingChange waiting = std::move(m_waiting.front());
    m_waiting.pop_front();
    Json::Value json = toJson(result);
    json["kind"] = toString(result.kind);
    const int status = result.kind == ErrorKind::None ? 200 : httpStatus(result.kind);
    waiting.responder.reply(status, "application/json", writeJson(json));
    answerWatchers(steadyNow());
}

void ControlRole::onFailed(const Error &error)
{
    if (!m_failed)
        logChange(LogLevel::Error, "journal-failed", { { "reason", error.message } });
    m_failed = true;
    const std::string text =
            "{\"kind\":\"unavailable\",\"message\":\"this control host can't write "
            "its journal any more; whether the change was made is unknown: send it "
            "again with the same requestId once the host is mended\"}";
    for (const WaitingChange &waiting : m_waiting)
        waiting.responder.reply(503, "application/json", text);
    m_waiting.clear();
}

// [SECTION] Nodes

void ControlRole::receive(const control::Beat &beat)
{
    m_post.learnAddress(beat.id, beat.address);
    carryOut(control::handleBeat(m_state, beat, steadyNow(), wallClockNow()));
}

void ControlRole::tick()
{
    const Time now = steadyNow();
    const std::uint64_t deaths = m_state.counters.deaths;
    carryOut(control::tick(m_state, now, wallClockNow()));
    if (m_state.counters.deaths != deaths)
        logChange(LogLevel::Warning, "nodes-dead",
                  { { "count", std::to_string(m_state.counters.deaths - deaths) } });
    answerWatchers(now);
}

// [SECTION] Measures

void ControlRole::addSamples(std::vector<metrics::Sample> &samples) const
{
    const auto add = [&](const char *name, const char *help, double value, bool gauge) {
        samples.push_back({ name, help, value, gauge });
    };
    const control::ControlCounters &counters = m_state.counters;
    add("foxwing_control_beats_total", "Beats received", static_cast<double>(counters.beats),
        false);
    add("foxwing_control_views_total", "Views and updates of views made",
        static_cast<double>(counters.views), false);
    add("foxwing_control_deaths_total", "Nodes found dead", static_cast<double>(counters.deaths),
        false);
    add("foxwing_control_restarts_total", "Nodes found restarted",
        static_cast<double>(counters.restarts), false);
    add("foxwing_control_changes_sent_total", "Resources sent to nodes",
        static_cast<double>(counters.changesSent), false);
    add("foxwing_control_revision", "Revision of the store",
        static_cast<double>(m_state.cluster.store.revision), true);
    add("foxwing_control_view", "Number of the view",
        static_cast<double>(m_state.cluster.view.number), true);
    const control::InForce force = control::inForce(m_state, m_state.cluster.store.revision);
    add("foxwing_control_nodes", "Live nodes", force.nodes, true);
    add("foxwing_control_lagging", "Live nodes that lack the newest revision",
        static_cast<double>(force.lagging.size()), true);
    add("foxwing_control_journal_failed", "1 if the journal can't be written", m_failed ? 1 : 0,
        true);
}

} // namespace foxwing::node
