/*
    Executes the entry's actions, serves callers and exports the counters.

    [SECTION] Actions
    [SECTION] Callers
    [SECTION] Messages
    [SECTION] Configuration
    [SECTION] Metrics
*/
#include "entryrole.h"

#include <algorithm>

#include <foxwing/control/validation.h>
#include <foxwing/node/log.h>

#include "callerapi.h"

namespace foxwing::node {

namespace {

constexpr Milliseconds MaxWait { 24 * 3600 * 1000 };
constexpr Milliseconds DefaultFetchWait { 0 };

// Limits the size of a heartbeat; further teams are reported in later ones.
constexpr std::size_t MaxShareReports = 40;

entry::EntrySettings withIncarnation(entry::EntrySettings settings, std::uint64_t incarnation)
{
    settings.self.incarnation = incarnation;
    settings.dispatch.incarnation = incarnation;
    settings.claims.self = settings.self;
    return settings;
}

void replyError(const edge::Responder &responder, const Error &error)
{
    responder.reply(httpStatus(error.kind), "application/json", errorBody(error), error.retryAfter);
}

} // namespace

EntryRole::EntryRole(const settings::Settings &settings, std::uint64_t incarnation,
                     MessageRouter &router)
    : m_state(entry::makeEntry(withIncarnation(settings.entry, incarnation)))
    , m_router(router)
{ }

// [SECTION] Actions

void EntryRole::execute(entry::EntryActions &&actions)
{
    for (entry::Outgoing &send : actions.sends) {
        Message message = std::visit([](auto &held) { return widen(std::move(held)); },
                                     send.message);
        m_router.send(send.to, std::move(message));
    }
    for (const entry::Reply &reply : actions.replies)
        replyTo(reply);
}

void EntryRole::replyTo(const entry::Reply &reply)
{
    const auto found = m_callers.find(reply.waiter);
    if (found == m_callers.end())
        return;
    const Caller caller = std::move(found->second);
    m_callers.erase(found);
    metrics::observe(m_metrics, "foxwing_response_ms", caller.labels,
                     toMilliseconds(steadyNow() - caller.startedAt));
    caller.responder.reply(answerStatus(reply.answer), "application/json",
                           answerBody(reply.submission, reply.answer),
                           reply.answer.error.retryAfter);
}

// [SECTION] Callers

entry::WaiterId EntryRole::addCaller(const edge::Responder &responder,
                                     const std::string &submission, Milliseconds wait,
                                     const metrics::Labels &labels)
{
    const entry::WaiterId waiter = m_nextWaiter++;
    const Time now = steadyNow();
    m_callers.emplace(waiter, Caller { responder, now, now + wait, submission, labels });
    return waiter;
}

void EntryRole::serveSubmission(const edge::HttpRequest &request, const edge::Responder &responder,
                                const std::string &team, bool isRequest)
{
    Error reason;
    const auto wait = request.query.find("wait");
    const std::string waitText = wait == request.query.end() ? std::string() : wait->second;
    const auto timeout = parseWait(waitText, MaxWait, &reason);
    auto submission = timeout ? parseSubmission(request.body, isRequest, &reason) : std::nullopt;
    if (!submission)
        return replyError(responder, reason);
    submission->team = team;
    submission->waiter = addCaller(responder, submission->submission, *timeout,
                                   { team, submission->workClass });
    execute(entry::submit(m_state, *submission, steadyNow(), wallClockNow()));
}

void EntryRole::serveLookup(const edge::HttpRequest &request, const edge::Responder &responder,
                            const std::string &team)
{
    Error reason;
    const auto wait = request.query.find("wait");
    const std::string waitText = wait == request.query.end() ? std::string() : wait->second;
    const auto timeout = parseWait(waitText, DefaultFetchWait, &reason);
    if (!timeout)
        return replyError(responder, reason);
    // Looking up a submission of another entry takes a round trip even if the caller does not wait.
    const Milliseconds lookupTimeout = std::max(*timeout, Milliseconds { 500 });
    const Time now = steadyNow();
    const std::string &id = request.path[2];
    const entry::WaiterId waiter = addCaller(responder, id, lookupTimeout, { team, "look-up" });
    if (request.method == "DELETE")
        execute(entry::cancel(m_state, waiter, team, id, now + lookupTimeout, now));
    else
        execute(entry::fetch(m_state, waiter, team, id, now + lookupTimeout, now));
}

bool EntryRole::serve(const edge::HttpRequest &request, const edge::Responder &responder)
{
    const std::vector<std::string> &path = request.path;
    const bool isServed = path.size() >= 2 && path[0] == "v1"
            && (path[1] == "jobs" || path[1] == "requests");
    if (!isServed)
        return false;
    // Without a fresh configuration, tokens can't be checked and earlier submissions are unknown.
    if (!entry::hasFreshConfiguration(m_state, steadyNow())) {
        replyError(responder,
                   Error { ErrorKind::NotReady,
                           "this entry could not confirm its configuration; send the "
                           "request to another one",
                           Outcome::Unknown, Milliseconds { 1000 } });
        return true;
    }
    Error reason;
    const auto team = entry::authenticate(m_state.registry, request.token, &reason);
    const bool isSubmission = request.method == "POST" && path.size() == 2;
    const bool isLookup = (request.method == "GET" || request.method == "DELETE")
            && path.size() == 3;
    if (!team) {
        replyError(responder, reason);
    } else if (m_callers.size() >= m_state.settings.maxWaiters) {
        replyError(responder,
                   Error { ErrorKind::Unavailable,
                           "too many callers are waiting at this entry; use another one",
                           path.size() == 2 ? Outcome::NotRun : Outcome::Unknown,
                           Milliseconds { 500 } });
    } else if (isSubmission) {
        serveSubmission(request, responder, *team, path[1] == "requests");
    } else if (isLookup) {
        serveLookup(request, responder, *team);
    } else {
        replyError(responder,
                   Error { ErrorKind::BadRequest,
                           "use POST /v1/jobs, POST /v1/requests, GET or DELETE "
                           "/v1/jobs/SUBMISSION",
                           Outcome::NotRun, Milliseconds { 0 } });
    }
    return true;
}

// [SECTION] Messages

void EntryRole::receive(const agent::FromAgent &message)
{
    execute(entry::handleAgent(m_state, message, steadyNow()));
}

void EntryRole::receive(const claims::ClaimMessage &message)
{
    execute(entry::handleClaim(m_state, message, steadyNow(), wallClockNow()));
}

void EntryRole::receive(const entry::EntryMessage &message)
{
    execute(entry::handleEntry(m_state, message, steadyNow()));
}

void EntryRole::sendFailed(const agent::ToAgent &message)
{
    execute(entry::sendFailed(m_state, message, steadyNow()));
}

void EntryRole::tick()
{
    const Time now = steadyNow();
    // Quota shares expire unless control confirms them.
    if (!entry::hasFreshConfiguration(m_state, now)) {
        for (auto &limit : m_state.dispatcher.teamLimits)
            dispatch::setTeamLimit(m_state.dispatcher, limit.first, 0);
    }
    execute(entry::tick(m_state, now, wallClockNow()));
    std::vector<entry::WaiterId> timedOut;
    for (const auto &caller : m_callers) {
        if (now >= caller.second.deadline)
            timedOut.push_back(caller.first);
    }
    dispatch::Answer pending;
    for (const entry::WaiterId waiter : timedOut) {
        entry::abandon(m_state, waiter);
        replyTo({ waiter, m_callers.at(waiter).submission, pending });
    }
}

// [SECTION] Configuration

void EntryRole::applyResource(const control::Resource &resource)
{
    Error ignored;
    entry::Registry &registry = m_state.registry;
    if (resource.kind == "team") {
        const auto spec = control::parseTeamSpec(resource.spec, &ignored);
        registry.teams.erase(resource.name);
        if (!resource.deleted && spec) {
            registry.teams[resource.name] = { resource.name, spec->salt, spec->tokenHash,
                                              spec->weight, spec->concurrency };
            m_state.dispatcher.teamWeights[resource.name] = spec->weight;
            // The entry has no share until control grants one.
            if (spec->concurrency == 0)
                dispatch::clearTeamLimit(m_state.dispatcher, resource.name);
            else if (m_state.dispatcher.teamLimits.count(resource.name) == 0)
                dispatch::setTeamLimit(m_state.dispatcher, resource.name, 0);
        }
    } else if (resource.kind == "service") {
        const auto spec = control::parseServiceSpec(resource.spec, &ignored);
        registry.services.erase(resource.name);
        if (!resource.deleted && spec)
            registry.services[resource.name] = {
                resource.name, spec->maxTasks, spec->maxPayloadBytes,
                Milliseconds(static_cast<std::int64_t>(spec->maxTimeMs))
            };
    }
}

void EntryRole::applyUpdate(const control::Update &update, Time heartbeatSentAt)
{
    claims::renewControlLease(m_state.claims, heartbeatSentAt);
    for (const control::ShareGrant &grant : update.shares)
        dispatch::setTeamLimit(m_state.dispatcher, grant.team, grant.share);
    if (update.reset)
        m_state.registry = {};
    for (const control::Resource &change : update.changes)
        applyResource(change);
    if (update.hasAgents) {
        m_state.agents = { {}, update.agentsCompleteSince };
        for (const control::AgentStatus &status : update.agents) {
            m_state.agents.agents.push_back(
                    { status.id, status.service, status.lostAt, status.live });
            m_router.learnAddress(status.id, status.address);
        }
    }
    if (update.view.number == 0)
        return;
    const std::uint64_t before = m_state.claims.view.number;
    execute(entry::setView(m_state, update.view, steadyNow()));
    if (m_state.claims.view.number != before)
        logEvent(LogLevel::Info, "view",
                 { { "number", std::to_string(update.view.number) },
                   { "entries", std::to_string(update.view.members.size()) } });
}

void EntryRole::fillHeartbeat(control::Heartbeat &heartbeat)
{
    heartbeat.readyShards = claims::readyShards(m_state.claims);
    const dispatch::Dispatcher &dispatcher = m_state.dispatcher;
    for (const auto &team : m_state.registry.teams) {
        if (team.second.concurrency == 0 || heartbeat.shares.size() == MaxShareReports)
            continue;
        const auto limit = dispatcher.teamLimits.find(team.first);
        const std::uint32_t share = limit == dispatcher.teamLimits.end() ? 0 : limit->second;
        const dispatch::TeamLoad load = dispatch::teamLoad(dispatcher, team.first);
        const control::ShareReport report { team.first, share, load.running, load.waiting };
        const auto reported = m_reportedShares.find(team.first);
        const bool changed = reported == m_reportedShares.end() || reported->second != share;
        if (changed || load.running + load.waiting > 0)
            heartbeat.shares.push_back(report);
        m_reportedShares[team.first] = share;
    }
}

bool EntryRole::ready() const
{
    return entry::ready(m_state, steadyNow());
}

bool EntryRole::drained() const
{
    return m_callers.empty() && entry::drained(m_state);
}

bool EntryRole::handedOver() const
{
    const claims::View &view = m_state.claims.view;
    return view.members.empty()
            || std::none_of(view.bases.begin(), view.bases.end(), [&](const auto &base) {
                   return std::find(base.replicas.begin(), base.replicas.end(),
                                    m_state.settings.self)
                           != base.replicas.end();
               });
}

// [SECTION] Metrics

void EntryRole::addSamples(std::vector<metrics::Sample> &samples) const
{
    const auto count = [&](const char *name, const char *help, std::uint64_t value) {
        samples.push_back({ name, help, static_cast<double>(value), false });
    };
    const auto gauge = [&](const char *name, const char *help, std::size_t value) {
        samples.push_back({ name, help, static_cast<double>(value), true });
    };
    const entry::EntryCounters &entryCounters = m_state.counters;
    const dispatch::DispatchCounters &jobs = m_state.dispatcher.counters;
    const claims::ClaimCounters &claimCounters = m_state.claims.counters;
    count("foxwing_submissions_total", "Submissions received", entryCounters.submissions);
    count("foxwing_refusals_total", "Submissions refused", entryCounters.refusals);
    count("foxwing_joins_total", "Submissions joined to another entry", entryCounters.joins);
    count("foxwing_replies_complete_total", "Replies: complete", entryCounters.repliesComplete);
    count("foxwing_replies_failed_total", "Replies: failed", entryCounters.repliesFailed);
    count("foxwing_replies_not_run_total", "Replies: not run", entryCounters.repliesNotRun);
    count("foxwing_replies_unknown_total", "Replies: unknown", entryCounters.repliesUnknown);
    count("foxwing_jobs_total", "Jobs owned", jobs.jobs);
    count("foxwing_starts_total", "Starts sent to agents", jobs.starts);
    count("foxwing_results_total", "Results accepted", jobs.results);
    count("foxwing_results_foreign_total", "Results that no task waited for",
          jobs.unexpectedResults);
    count("foxwing_agent_refused_total", "Starts refused by agents", jobs.refusals);
    count("foxwing_verifications_total", "Status queries for tasks without reports",
          jobs.verifications);
    count("foxwing_retries_total", "Retries of repeatable requests", jobs.retries);
    count("foxwing_workers_lost_total", "Workers lost", jobs.workersLost);
    count("foxwing_workers_ejected_total", "Workers ejected for failing", jobs.ejections);
    count("foxwing_takeovers_total", "Jobs taken over from lost entries", jobs.takeovers);
    count("foxwing_claims_granted_total", "Claims granted here", claimCounters.granted);
    count("foxwing_claims_joined_total", "Claims that were granted already", claimCounters.joined);
    count("foxwing_claims_retried_total", "Claim requests answered with retry",
          claimCounters.retries);
    gauge("foxwing_claims_held", "Claims in memory", claims::recordCount(m_state.claims));
    gauge("foxwing_callers", "Waiting callers", m_callers.size());
    gauge("foxwing_jobs_active", "Unfinished jobs", dispatch::activeJobs(m_state.dispatcher));
    gauge("foxwing_answer_bytes", "Bytes of retained answers", m_state.dispatcher.answerBytes);
    const auto addPerService = [&](const char *name, const char *help, auto value) {
        for (const auto &service : m_state.dispatcher.services)
            samples.push_back({ std::string(name) + "{service=\"" + service.first + "\"}", help,
                                static_cast<double>(value(service.second)), true });
    };
    addPerService("foxwing_slots", "Slots under lease",
                  [](const dispatch::ServiceState &service) { return service.pool.slots; });
    addPerService("foxwing_queue_tasks", "Waiting tasks",
                  [](const dispatch::ServiceState &service) { return service.waitingTasks; });
    addPerService("foxwing_workers_out", "Workers ejected or on probation",
                  [](const dispatch::ServiceState &service) {
                      return service.pool.health.ejected;
                  });
}

} // namespace foxwing::node
