/*
    Heartbeats and updates at a node.

    [SECTION] Functions
*/
#include <foxwing/control/reporter.h>

namespace foxwing::control {

namespace {

// Maximum number of unanswered heartbeats that are kept.
constexpr std::size_t MaxUnanswered = 1000;

} // namespace

// [SECTION] Functions

Reporter makeReporter(const Heartbeat &identity)
{
    Reporter reporter;
    reporter.identity = identity;
    return reporter;
}

Heartbeat nextHeartbeat(Reporter &reporter, Time now)
{
    Heartbeat heartbeat = reporter.identity;
    heartbeat.number = ++reporter.number;
    heartbeat.revision = reporter.revision;
    heartbeat.view = reporter.view;
    heartbeat.viewUpdate = reporter.viewUpdate;
    heartbeat.agentsVersion = reporter.agentsVersion;
    reporter.unanswered.push_back({ heartbeat.number, now });
    if (reporter.unanswered.size() > MaxUnanswered)
        reporter.unanswered.pop_front();
    return heartbeat;
}

std::optional<Time> acceptUpdate(Reporter &reporter, const Update &update)
{
    if (update.incarnation != reporter.identity.incarnation)
        return std::nullopt;
    while (!reporter.unanswered.empty() && reporter.unanswered.front().number < update.number)
        reporter.unanswered.pop_front();
    // Late: a later heartbeat was answered already.
    if (reporter.unanswered.empty() || reporter.unanswered.front().number != update.number)
        return std::nullopt;
    const Time sentAt = reporter.unanswered.front().sentAt;
    reporter.unanswered.pop_front();
    // Sent by a control host that is behind this node's revision.
    if (update.revision < reporter.revision)
        return std::nullopt;
    reporter.confirmed = true;
    reporter.confirmedAt = sentAt;
    reporter.revision = update.revision;
    if (update.hasAgents)
        reporter.agentsVersion = update.agentsVersion;
    if (update.view.number != 0) {
        reporter.view = update.view.number;
        reporter.viewUpdate = update.view.update;
    }
    return sentAt;
}

bool isStale(const Reporter &reporter, Milliseconds lease, Time now)
{
    return !reporter.confirmed || now >= reporter.confirmedAt + lease;
}

} // namespace foxwing::control
