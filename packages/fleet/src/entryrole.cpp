/*
    The role entry: connects callers and agents to the scheduler.

    [SECTION] Role
    [SECTION] Callers
    [SECTION] Agents
    [SECTION] Control
    [SECTION] Lag
    [SECTION] Time
*/
#include <algorithm>

#include <foxwing/base/digest.h>
#include <foxwing/fabric/httpserver.h>
#include <foxwing/lag/lag.h>
#include <foxwing/scheduler/callerprobe.h>

#include "agentlinks.h"
#include "core.h"
#include "heldcalls.h"
#include "listeners.h"

namespace foxwing::fleet {

using eventlog::change;
using eventlog::Event;
using fabric::ExchangePtr;

// [SECTION] Role

namespace {

// After a pause of the event loop this long, agents have stopped this entry's runs or are about to,
// and callers have timed out.
constexpr Milliseconds PauseThreshold { 400 };

// Upper limit of a queue's stretch. Larger values have the same effect: no limit on a job's time.
constexpr double MaxStretch = 1000;

// The platform checks readiness every second and stops sending connections after two failures.
constexpr Milliseconds DrainDelay { 2300 };

// Before the end of the stop grace the entry stops accepting connections, and then stops, which
// leaves time to deliver the last answers.
constexpr Milliseconds AcceptMargin { 1800 };
constexpr Milliseconds AnswerMargin { 300 };

// Each entry has its own seed, so that lagging entries don't all withdraw at once.
lag::LagSettings lagSettings(const Core &core)
{
    lag::LagSettings settings = core.settings.lag;
    settings.seed = hash64(core.self.name) ^ core.self.incarnation;
    return settings;
}

class EntryRole : public NodeRole
{
public:
    EntryRole(Core &core, const Dialect &dialect)
        : m_core(core)
        , m_dialect(dialect)
        , m_scheduler(scheduler::makeScheduler(core.settings.scheduler))
        , m_agents(core, agentEvents())
        , m_lag(lag::makeLag(lagSettings(core)))
        , m_control(core, controlEvents())
    { }

    bool start(Error *reason) override;
    void tick(Time now) override;
    void reloaded() override { m_control.reloadSeeds(); }
    void beginShutdown(Time now) override;
    bool stopped(Time now) override;
    std::vector<metrics::Sample> samples() const override;

private:
    // Callers
    void handleCaller(const ExchangePtr &exchange);
    // heldSince: time of arrival of a call that was held until the catalog arrived
    void serveCaller(const ExchangePtr &exchange, std::optional<Time> heldSince);
    void refuseHeld(Time now);
    void serveHeld();
    void handleReadiness(const ExchangePtr &exchange);
    void submit(const ExchangePtr &exchange, const CallerRequest &request,
                const catalog::QueueDeclaration &queue, std::optional<Time> heldSince);
    void refuse(const ExchangePtr &exchange, CallerRefusal refusal, const std::string &reason);
    void handleCallerGone(std::uint64_t number, const ExchangePtr &exchange);

    // Abandons jobs whose callers have closed their connections, even if the event loop has not
    // read the close yet. Must run before anything that may place tasks.
    void probeCallers(Time now);
    void probeCallersOf(std::uint64_t number);
    bool isCallerGone(const ExchangePtr &exchange, const std::string &job);
    bool ready() const;

    // Agents
    AgentEvents agentEvents();
    void agentConnected(const std::string &address);
    void agentReceived(const std::string &address, std::string_view bytes);
    void updateAgents(Time now);
    std::size_t endpointsWithoutQueue() const;

    // Control
    ControlEvents controlEvents();
    void applyDirectory(const std::string &from, const directory::DirectoryUpdate &update);
    void applyCatalog(const catalog::Catalog &catalog);
    void applyCordons(const catalog::Cordons &cordons);

    void execute(scheduler::SchedulerActions &&actions);
    void answer(const scheduler::JobAnswer &answer);

    // Lag
    Time receivedAt(const fabric::Exchange &exchange, std::optional<Time> heldSince,
                    Time now) const;
    void recordTurn(Time now);
    void logWithdrawal(Time now);
    void addLagSamples(std::vector<metrics::Sample> &samples) const;

    void checkPause(Time now);

    Core &m_core;
    const Dialect &m_dialect;
    scheduler::SchedulerState m_scheduler;
    AgentLinks m_agents;
    catalog::Catalog m_catalog;
    Time m_catalogAppliedAt {};

    // Whether control has sent the cordons, which may be empty
    bool m_knowsCordons = false;
    HeldCalls m_held;
    std::map<std::uint64_t, std::vector<ExchangePtr>> m_waiting;
    std::map<std::uint64_t, std::string> m_queueOf;
    std::map<std::uint64_t, Time> m_receivedAt;
    std::unique_ptr<fabric::HttpServer> m_callers;
    std::unique_ptr<fabric::HttpServer> m_readiness;
    Time m_lastTurnAt {};
    lag::LagState m_lag;

    // When the next turn of the event loop is due
    Time m_turnDueAt {};
    bool m_stopping = false;
    Time m_stopStartedAt {};
    std::uint64_t m_notFound = 0;
    std::uint64_t m_badRequests = 0;
    scheduler::CallerProbeState m_callerProbes;

    // Callers found gone by a probe
    std::uint64_t m_callersFoundGone = 0;
    ControlLinks m_control;
};

bool EntryRole::start(Error *reason)
{
    m_callers = serveHttp(
            m_core, HttpListener::Callers,
            [this](const ExchangePtr &exchange) { handleCaller(exchange); }, reason);
    if (!m_callers)
        return false;
    // Long enough that callers that lost their entry have resent their jobs, and that lost runs
    // have certainly stopped
    m_callerProbes.settings.probeWindow =
            std::max(m_callerProbes.settings.probeWindow,
                     m_core.settings.resendAfter + m_core.settings.scheduler.lostRunTimeout);
    m_lastTurnAt = steadyNow();
    m_held.startedAt = m_lastTurnAt;
    if (m_core.settings.readiness.empty())
        return true;
    m_readiness = serveHttp(
            m_core, HttpListener::Readiness,
            [this](const ExchangePtr &exchange) { handleReadiness(exchange); }, reason);
    return m_readiness != nullptr;
}

// [SECTION] Callers

bool EntryRole::ready() const
{
    return !m_stopping && m_catalog.version > 0 && scheduler::reachesEndpoints(m_scheduler)
            && !lag::isWithdrawn(m_lag);
}

void EntryRole::handleReadiness(const ExchangePtr &exchange)
{
    if (m_dialect.isReadinessRequest(exchange->request()))
        exchange->answer(m_dialect.writeReadiness(ready()));
    else
        exchange->answer(fabric::makeResponse(404, "text/plain", ""));
}

void EntryRole::refuse(const ExchangePtr &exchange, CallerRefusal refusal,
                       const std::string &reason)
{
    writeEvent(m_core.log,
               Event("call-refused")
                       .with("target", std::string(exchange->request().target()))
                       .with("reason", reason)
                       .with("catalog", m_catalog.version)
                       .with("catalog_age_ms", steadyNow() - m_catalogAppliedAt));
    exchange->answer(m_dialect.writeRefusal(refusal, reason));
}

void EntryRole::handleCaller(const ExchangePtr &exchange)
{
    const Time now = steadyNow();
    checkPause(now);
    if (m_catalog.version > 0)
        return serveCaller(exchange, std::nullopt);
    if (!hold(m_held, exchange, now))
        refuse(exchange, CallerRefusal::NotConfigured, "catalog not received yet");
}

void EntryRole::refuseHeld(Time now)
{
    for (const HeldCall &call : takeExpired(m_held, now))
        refuse(call.exchange, CallerRefusal::NotConfigured, "catalog not received yet");
}

void EntryRole::serveHeld()
{
    const std::vector<HeldCall> calls = takeAll(m_held);
    if (!calls.empty())
        writeEvent(m_core.log,
                   change("held-calls-served")
                           .with("calls", std::uint64_t { calls.size() })
                           .with("oldest_ms", steadyNow() - calls.front().receivedAt));
    for (const HeldCall &call : calls) {
        if (call.exchange->isCallerConnected())
            serveCaller(call.exchange, call.receivedAt);
    }
}

void EntryRole::serveCaller(const ExchangePtr &exchange, std::optional<Time> heldSince)
{
    const CallerRequest request = m_dialect.readCallerRequest(exchange->request());
    const catalog::QueueDeclaration *queue = catalog::findQueue(m_catalog, request.host,
                                                                request.path);
    if (!queue) {
        ++m_notFound;
        return refuse(exchange, CallerRefusal::NoSuchQueue, "no queue for this host and path");
    }
    switch (request.action) {
    case CallerAction::Submit:
        return submit(exchange, request, *queue, heldSince);
    case CallerAction::CountWaiting:
        // Jobs that are answered at their end don't count as pending.
        return exchange->answer(m_dialect.writeWaitingCount(0));
    case CallerAction::GetState:
    case CallerAction::Cancel:
        return refuse(exchange, CallerRefusal::NoSuchJob, "no job with this id is stored");
    case CallerAction::Other:
        break;
    }
    refuse(exchange, CallerRefusal::BadRequest,
           "unknown request; see the caller interface for methods and paths");
}

namespace {

scheduler::JobOptions makeOptions(const catalog::QueueDeclaration &queue)
{
    scheduler::JobOptions options;
    options.queue = queue.name;
    options.service = queue.service;
    options.priority = queue.priority;
    options.maxAttempts = queue.maxAttempts;
    options.stretch = std::clamp(queue.stretch, 0.0, MaxStretch);
    options.targetLatency = queue.targetLatency;
    return options;
}

} // namespace

void EntryRole::submit(const ExchangePtr &exchange, const CallerRequest &request,
                       const catalog::QueueDeclaration &queue, std::optional<Time> heldSince)
{
    Error reason;
    const auto spec = m_dialect.readJob(exchange->request(),
                                        request.path.substr(queue.prefix.size()), &reason);
    if (!spec) {
        ++m_badRequests;
        return refuse(exchange, CallerRefusal::BadRequest, reason.message);
    }
    exchange->releaseBody(jobs::memoryOf(*spec));
    // The caller of a delayed request may have timed out meanwhile and resent its job elsewhere.
    if (isCallerGone(exchange, spec->id))
        return;
    const Time now = steadyNow();
    probeCallers(now);
    const Time arrival = receivedAt(*exchange, heldSince, now);
    scheduler::JobOptions options = makeOptions(queue);
    if (arrival < now)
        options.receivedAt = arrival;
    options.startDeadline = arrival + queue.timeout;
    if (request.timeout)
        options.callerDeadline = arrival + *request.timeout;
    options.suitableUnconnected = m_agents.requireAgents(*spec, queue.service, now);
    updateAgents(now);
    std::uint64_t number = 0;
    scheduler::SchedulerActions actions = scheduler::submit(m_scheduler, *spec, options, now,
                                                            &number);
    m_waiting[number].push_back(exchange);
    m_queueOf[number] = queue.name;
    m_receivedAt.emplace(number, arrival);
    exchange->onDisconnect([this, number, weak = std::weak_ptr<fabric::Exchange>(exchange)] {
        if (const auto closed = weak.lock())
            handleCallerGone(number, closed);
    });
    execute(std::move(actions));
}

void EntryRole::handleCallerGone(std::uint64_t number, const ExchangePtr &exchange)
{
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end())
        return;
    std::vector<ExchangePtr> &waiting = found->second;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), exchange), waiting.end());
    if (!waiting.empty())
        return;
    m_waiting.erase(found);
    m_queueOf.erase(number);
    m_receivedAt.erase(number);
    execute(scheduler::abandon(m_scheduler, number, steadyNow()));
}

void EntryRole::probeCallers(Time now)
{
    for (const std::uint64_t number : scheduler::callersToProbe(m_callerProbes, m_scheduler, now))
        probeCallersOf(number);
}

bool EntryRole::isCallerGone(const ExchangePtr &exchange, const std::string &job)
{
    if (exchange->isCallerConnected())
        return false;
    ++m_callersFoundGone;
    writeEvent(m_core.log, Event("caller-found-gone").with("request", job));
    return true;
}

void EntryRole::probeCallersOf(std::uint64_t number)
{
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end())
        return;
    const std::vector<ExchangePtr> waiting = found->second;
    for (const ExchangePtr &exchange : waiting) {
        if (isCallerGone(exchange, m_scheduler.jobs.at(number).spec.id))
            handleCallerGone(number, exchange);
    }
}

void EntryRole::answer(const scheduler::JobAnswer &answer)
{
    const auto found = m_waiting.find(answer.number);
    if (found == m_waiting.end())
        return;
    metrics::observe(m_core.metrics, "foxwing_job_ms",
                     { m_queueOf[answer.number], scheduler::toString(answer.outcome) },
                     toMilliseconds(steadyNow() - m_receivedAt[answer.number]));
    for (const ExchangePtr &exchange : found->second)
        exchange->answer(m_dialect.writeJobAnswer(answer));
    m_waiting.erase(found);
    m_queueOf.erase(answer.number);
    m_receivedAt.erase(answer.number);
}

void EntryRole::execute(scheduler::SchedulerActions &&actions)
{
    for (const eventlog::Event &event : actions.events)
        writeEvent(m_core.log, event);
    for (scheduler::AgentSend &send : actions.sends)
        std::visit([&](auto &message) { m_agents.send(send.agent, Frame(std::move(message))); },
                   send.message);
    for (const scheduler::JobAnswer &jobAnswer : actions.answers)
        answer(jobAnswer);
    for (const std::string &name : actions.closes)
        m_agents.close(name);
}

// [SECTION] Agents

AgentEvents EntryRole::agentEvents()
{
    AgentEvents events;
    events.connected = [this](const std::string &address) { agentConnected(address); };
    events.received = [this](const std::string &address, std::string_view bytes) {
        agentReceived(address, bytes);
    };
    events.lost = [this](const std::string &address) {
        const Time now = steadyNow();
        scheduler::recordSessionLost(m_callerProbes, now);
        execute(scheduler::agentLost(m_scheduler, address, now));
    };
    events.release = [this](const std::string &address) {
        return scheduler::releaseAgent(m_scheduler, address);
    };
    return events;
}

void EntryRole::agentConnected(const std::string &address)
{
    OpenSession open { m_core.settings.name, {} };
    if (m_knowsCordons)
        open.cordons.push_back(m_scheduler.cordons);
    m_agents.send(address, Frame(std::move(open)));
    execute(scheduler::agentConnected(m_scheduler, address, steadyNow()));
}

void EntryRole::agentReceived(const std::string &address, std::string_view bytes)
{
    const Time now = steadyNow();
    checkPause(now);
    const auto frame = readFrame(m_core, address, bytes);
    if (!frame)
        return;
    probeCallers(now);
    if (const auto *update = std::get_if<jobs::AgentUpdate>(&*frame))
        execute(scheduler::agentUpdated(m_scheduler, address, *update, now));
    else if (const auto *accepted = std::get_if<jobs::SessionAccepted>(&*frame))
        execute(scheduler::agentAccepted(m_scheduler, address, *accepted, now));
}

void EntryRole::updateAgents(Time now)
{
    m_agents.updateConnections(now < m_scheduler.needsCapacityUntil, now);
    m_scheduler.entryCount = m_agents.subset().sharingEntries;
}

// [SECTION] Control

ControlEvents EntryRole::controlEvents()
{
    ControlEvents events;
    events.directory = [this](const std::string &from, const directory::DirectoryUpdate &update) {
        applyDirectory(from, update);
    };
    events.agreed = [this](const AgreedPush &push) {
        applyCordons(push.cordons);
        applyCatalog(push.catalog);
    };
    events.removed = [this](const std::string &host) { m_agents.removeControlHost(host); };
    return events;
}

void EntryRole::applyDirectory(const std::string &from, const directory::DirectoryUpdate &update)
{
    m_agents.applyUpdate(from, update);
    updateAgents(steadyNow());
}

void EntryRole::applyCordons(const catalog::Cordons &cordons)
{
    m_knowsCordons = true;
    if (cordons.revision <= m_scheduler.cordons.revision)
        return;
    writeEvent(m_core.log,
               change("cordons-in-force")
                       .with("revision", cordons.revision)
                       .with("before", m_scheduler.cordons.revision)
                       .with("data_centres", joinNames(cordons)));
    const Time now = steadyNow();
    m_agents.applyCordons(cordons);
    updateAgents(now);
    probeCallers(now);
    execute(scheduler::applyCordons(m_scheduler, cordons, now));
}

void EntryRole::applyCatalog(const catalog::Catalog &catalog)
{
    if (!catalog::supersedes(m_catalog, catalog))
        return;
    writeEvent(m_core.log,
               change("catalog-in-force")
                       .with("version", catalog.version)
                       .with("before", m_catalog.version)
                       .with("queues", std::uint64_t { catalog.queues.size() }));
    m_catalog = catalog;
    m_catalogAppliedAt = steadyNow();
    std::set<std::string> queues;
    for (const catalog::QueueDeclaration &queue : catalog.queues)
        queues.insert(queue.name);
    scheduler::retainQueues(m_scheduler, queues);
    fabric::HttpLimits limits = m_callers->limits();
    limits.headerBytes = catalog.limits.headerBytes;
    limits.bodyBytes = catalog.limits.bodyBytes;
    limits.headerTimeout = catalog.limits.headerTimeout;
    limits.idleTimeout = catalog.limits.idleTimeout;
    m_callers->setLimits(limits);
    serveHeld();
}

// [SECTION] Lag

// While the entry lags, a call counts as received when its bytes arrived, not when it was read.
Time EntryRole::receivedAt(const fabric::Exchange &exchange, std::optional<Time> heldSince,
                           Time now) const
{
    if (heldSince)
        return *heldSince;
    return lag::isLagging(m_lag) ? now - exchange.sinceReceived() : now;
}

void EntryRole::recordTurn(Time now)
{
    if (lag::recordTurn(m_lag, m_turnDueAt, now))
        logWithdrawal(now);
    // From the start of this turn, so that a long turn makes the next one late.
    m_turnDueAt = now + TickInterval;
    m_callers->setCloseAfterAnswers(m_stopping || lag::closesConnections(m_lag));
}

void EntryRole::logWithdrawal(Time now)
{
    if (lag::isWithdrawn(m_lag))
        writeEvent(m_core.log,
                   change("stands-back")
                           .with("behind_ms", m_lag.averageDelay)
                           .with("open_jobs", std::uint64_t { scheduler::openJobs(m_scheduler) }));
    else
        writeEvent(m_core.log,
                   change("takes-work-again")
                           .with("for_ms", now - m_lag.withdrawnSince)
                           .with("behind_ms", m_lag.averageDelay));
}

void EntryRole::addLagSamples(std::vector<metrics::Sample> &samples) const
{
    samples.push_back({ "foxwing_stood_back_total", "Times this entry withdrew because it lagged",
                        static_cast<double>(m_lag.withdrawals) });
    samples.push_back({ "foxwing_standing_back", "1 while this entry has withdrawn",
                        lag::isWithdrawn(m_lag) ? 1.0 : 0.0, true });
    samples.push_back({ "foxwing_behind_ms", "Average delay of event-loop turns",
                        toMilliseconds(m_lag.averageDelay), true });
}

// [SECTION] Time

void EntryRole::checkPause(Time now)
{
    const Microseconds pause = now - m_lastTurnAt;
    m_lastTurnAt = now;
    if (pause < PauseThreshold)
        return;
    writeEvent(m_core.log, change("paused").with("for_ms", pause));
    execute(scheduler::closeAllJobs(m_scheduler, "this entry was paused", now));
    m_agents.closeAll();
}

void EntryRole::tick(Time now)
{
    checkPause(now);
    recordTurn(now);
    refuseHeld(now);
    m_control.tick(now);
    updateAgents(now);
    probeCallers(now);
    execute(scheduler::tick(m_scheduler, now));
}

void EntryRole::beginShutdown(Time now)
{
    m_stopping = true;
    m_stopStartedAt = now;
    m_callers->setCloseAfterAnswers(true);
}

bool EntryRole::stopped(Time now)
{
    const Milliseconds grace = m_core.settings.stopGrace;
    const bool idle = m_callers->pendingRequests() == 0;
    if (now >= m_stopStartedAt + DrainDelay && idle && m_callers->connections() == 0)
        return true;
    if (now >= m_stopStartedAt + grace - AcceptMargin)
        m_callers->stopAccepting();
    return now >= m_stopStartedAt + grace - AnswerMargin
            || (idle && now >= m_stopStartedAt + grace - AcceptMargin);
}

std::size_t EntryRole::endpointsWithoutQueue() const
{
    const auto unused = [this](const auto &item) {
        const jobs::EndpointView &endpoint = item.second.endpoint;
        return !endpoint.service.empty() && !catalog::usesService(m_catalog, endpoint.service);
    };
    return static_cast<std::size_t>(
            std::count_if(m_scheduler.agents.begin(), m_scheduler.agents.end(), unused));
}

// One series for each declared queue that has received jobs.
void addQueueSamples(const scheduler::SchedulerState &scheduler, Time now,
                     std::vector<metrics::Sample> &samples)
{
    const auto add = [&](const char *name, const char *help, bool gauge, auto valueOf) {
        for (const auto &[queue, status] : scheduler.queueStatuses)
            samples.push_back({ metrics::labelled(name, "queue", queue), help,
                                static_cast<double>(valueOf(queue)), gauge });
    };
    const auto shareOf = [&](const std::string &queue) {
        const auto found = scheduler.shares.queues.find(queue);
        return found == scheduler.shares.queues.end() ? shares::QueueShare {} : found->second;
    };
    add("foxwing_queue_asked_total", "Jobs requested that endpoints could serve, by queue", false,
        [&](const std::string &queue) { return shareOf(queue).requestedJobs; });
    add("foxwing_queue_refused_total", "Jobs refused for lack of capacity, by queue", false,
        [&](const std::string &queue) { return shareOf(queue).refusedJobs; });
    add("foxwing_queue_served_percent",
        "Share of recently requested work that was not refused, by queue", true,
        [&](const std::string &queue) {
            return shares::servedPercent(scheduler.shares, queue, now);
        });
    add("foxwing_queue_below_floor", "1 while the queue is below its guaranteed share", true,
        [&](const std::string &queue) {
            return scheduler.queueStatuses.at(queue).belowGuarantee ? 1 : 0;
        });
}

std::vector<metrics::Sample> EntryRole::samples() const
{
    const scheduler::SchedulerCounters &counters = m_scheduler.counters;
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    std::vector<metrics::Sample> samples {
        { "foxwing_jobs_submitted_total", "Jobs submitted", count(counters.submitted) },
        { "foxwing_jobs_completed_total", "Jobs answered as completed", count(counters.completed) },
        { "foxwing_jobs_failed_total", "Jobs answered as failed", count(counters.failed) },
        { "foxwing_jobs_refused_total", "Jobs answered as not run", count(counters.refused) },
        { "foxwing_jobs_timed_out_total", "Jobs that timed out after they started",
          count(counters.timedOut) },
        { "foxwing_jobs_served_late_total",
          "Jobs completed though they started too late to be on time", count(counters.servedLate) },
        { "foxwing_jobs_abandoned_total", "Jobs abandoned by their callers",
          count(counters.abandoned) },
        { "foxwing_starts_total", "Starts sent to agents", count(counters.starts) },
        { "foxwing_starts_refused_total", "Starts refused by agents",
          count(counters.startsRefused) },
        { "foxwing_runs_moved_total", "Stragglers stopped to be rerun elsewhere",
          count(counters.runsMoved) },
        { "foxwing_runs_lost_total", "Runs on agents that were lost", count(counters.runsLost) },
        { "foxwing_runs_crashed_total", "Runs ended by a crash of their endpoint",
          count(counters.runsCrashed) },
        { "foxwing_jobs_crashing_total", "Jobs given up because they crashed endpoints",
          count(counters.crashingJobs) },
        { "foxwing_callers_found_gone_total",
          "Callers found gone by a probe before their jobs were placed",
          count(m_callersFoundGone) },
        { "foxwing_endpoints_tried_total", "Endpoints examined to place tasks",
          count(counters.endpointsTried) },
        { "foxwing_not_found_total", "Requests that match no queue", count(m_notFound) },
        { "foxwing_bad_requests_total", "Job requests that could not be parsed",
          count(m_badRequests) },
    };
    const auto gauge = [&](const char *name, const char *help, std::size_t value) {
        samples.push_back({ name, help, static_cast<double>(value), true });
    };
    gauge("foxwing_jobs_open", "Jobs not answered yet", scheduler::openJobs(m_scheduler));
    gauge("foxwing_jobs_waiting", "Jobs with waiting tasks", m_scheduler.queue.size());
    const scheduler::ForecastStatus forecastStatus = scheduler::forecastStatus(m_scheduler,
                                                                               steadyNow());
    gauge("foxwing_jobs_waiting_late", "Waiting jobs that can no longer be on time",
          forecastStatus.waitingLate);
    if (forecastStatus.wait)
        gauge("foxwing_expected_wait_ms", "Expected wait of a new job, behind all others",
              static_cast<std::size_t>(forecastStatus.wait->count()));
    samples.push_back({ "foxwing_picture_age_ms", "Age of the oldest report in the forecast",
                        toMilliseconds(forecastStatus.age), true });
    gauge("foxwing_agents", "Connected agents", m_scheduler.agents.size());
    gauge("foxwing_agents_listed", "Agents listed by control hosts",
          m_agents.subset().agents.size());
    gauge("foxwing_agents_chosen", "Agents in the subset, with which sessions are kept",
          subset::sessionCount(m_agents.subset()));
    gauge("foxwing_endpoints_without_queue", "Endpoints whose service is used by no queue",
          endpointsWithoutQueue());
    gauge("foxwing_control_hosts", "Connected control hosts", m_control.connected());
    gauge("foxwing_catalog_version", "Version of the applied catalog", m_catalog.version);
    addLagSamples(samples);
    addQueueSamples(m_scheduler, steadyNow(), samples);
    return samples;
}

} // namespace

std::unique_ptr<NodeRole> makeEntryRole(Core &core, const Dialect &dialect)
{
    return std::make_unique<EntryRole>(core, dialect);
}

} // namespace foxwing::fleet
