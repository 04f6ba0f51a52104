/*
    Beats and updates at a node.

    [SECTION] Functions
*/
#include <foxwing/control/reporter.h>

namespace foxwing::control {

namespace {

// Beats that were never answered are forgotten beyond this many.
constexpr std::size_t MostSent = 1000;

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
    Heartbeat beat = reporter.identity;
    beat.number = ++reporter.number;
    beat.revision = reporter.revision;
    beat.view = reporter.view;
    beat.viewUpdate = reporter.viewUpdate;
    beat.agentsVersion = reporter.agentsVersion;
    reporter.sent.push_back({ beat.number, now });
    if (reporter.sent.size() > MostSent)
        reporter.sent.pop_front();
    return beat;
}

std::optional<Time> acceptUpdate(Reporter &reporter, const Update &update)
{
    if (update.incarnation != reporter.identity.incarnation)
        return std::nullopt;
    while (!reporter.sent.empty() && reporter.sent.front().number < update.number)
        reporter.sent.pop_front();
    // An update for an earlier beat than the one that was answered last is late.
    if (reporter.sent.empty() || reporter.sent.front().number != update.number)
        return std::nullopt;
    const Time sentAt = reporter.sent.front().at;
    reporter.sent.pop_front();
    // Control that knows less than this node can't be the one that accepted what it has.
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
