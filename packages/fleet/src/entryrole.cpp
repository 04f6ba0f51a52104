/*
    An entry of a fleet: callers on one side, agents on the other, the scheduler between them.

    [SECTION] Shell
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

namespace foxwing::fleet {

using eventlog::change;
using eventlog::Event;
using fabric::ExchangePtr;

// [SECTION] Shell

namespace {

// A loop that stood still for this long was frozen, or had no processor: agents have stopped what
// it started, or are about to, and callers have given it up.
constexpr Milliseconds PauseSpan { 400 };

// A declared stretch beyond this says no more than that the job may take any time.
constexpr double MostStretch = 1000;

// The platform asks for readiness every second and sends nobody after two misses.
constexpr Milliseconds StopNotice { 2300 };

// Before the end of the stop grace: no new job is taken, and the rest of what runs is answered.
constexpr Milliseconds LastJobs { 1800 };
constexpr Milliseconds LastAnswers { 300 };

// A seed of its own for each entry, so that slow ones don't all stand back at once.
lag::LagSettings lagSettings(const Core &core)
{
    lag::LagSettings settings = core.settings.lag;
    settings.seed = hash64(core.self.name) ^ core.self.incarnation;
    return settings;
}

class EntryShell : public RoleShell
{
public:
    EntryShell(Core &core, const Dialect &dialect)
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
    // heldSince: when a call came that was held until the queues were known
    void serveCaller(const ExchangePtr &exchange, std::optional<Time> heldSince);
    void refuseHeld(Time now);
    void serveHeld();
    void handleReadiness(const ExchangePtr &exchange);
    void submit(const ExchangePtr &exchange, const CallerRequest &call,
                const catalog::QueueDeclaration &queue, std::optional<Time> heldSince);
    void refuse(const ExchangePtr &exchange, CallerRefusal refusal, const std::string &reason);
    void callerGone(std::uint64_t number, const ExchangePtr &exchange);

    // Before what may place work: jobs whose callers are gone, though that was not read yet, are
    // abandoned.
    void seeCallers(Time now);
    void seeCallersOf(std::uint64_t number);
    bool isFoundGone(const ExchangePtr &exchange, const std::string &job);
    bool ready() const;

    // Agents
    AgentEvents agentEvents();
    void agentConnected(const std::string &address);
    void agentReceived(const std::string &address, std::string_view bytes);
    void keepAgents(Time now);
    std::size_t endpointsWithoutQueue() const;

    // Control
    ControlEvents controlEvents();
    void takeDirectory(const std::string &from, const directory::DirectoryUpdate &update);
    void takeCatalog(const catalog::Catalog &catalog);
    void applyCordons(const catalog::Cordons &cordons);

    void carryOut(scheduler::SchedulerActions &&actions);
    void answer(const scheduler::JobAnswer &answer);

    // Lag
    Time receivedAt(const fabric::Exchange &exchange, std::optional<Time> heldSince,
                    Time now) const;
    void recordTurn(Time now);
    void tellStandingBack(Time now);
    void addLagSamples(std::vector<metrics::Sample> &samples) const;

    void checkPause(Time now);

    Core &m_core;
    const Dialect &m_dialect;
    scheduler::SchedulerState m_scheduler;
    AgentLinks m_agents;
    catalog::Catalog m_catalog;
    Time m_catalogAt {};

    // Control has told the cordons, if only that there are none.
    bool m_knowsCordons = false;
    HeldCalls m_held;
    std::map<std::uint64_t, std::vector<ExchangePtr>> m_waiting;
    std::map<std::uint64_t, std::string> m_queueOf;
    std::map<std::uint64_t, Time> m_cameAt;
    std::unique_ptr<fabric::HttpServer> m_callers;
    std::unique_ptr<fabric::HttpServer> m_readiness;
    Time m_lastTurn {};
    lag::LagState m_lag;

    // When the next turn of the loop is due
    Time m_turnDueAt {};
    bool m_stopping = false;
    Time m_stopBegan {};
    std::uint64_t m_notFound = 0;
    std::uint64_t m_badRequests = 0;
    scheduler::CallerProbeState m_callerWatch;

    // Callers that were found gone by a look
    std::uint64_t m_callersFoundGone = 0;
    ControlLinks m_control;
};

bool EntryShell::start(Error *reason)
{
    m_callers = serveHttp(
            m_core, m_core.settings.callers,
            [this](const ExchangePtr &exchange) { handleCaller(exchange); }, reason);
    if (!m_callers)
        return false;
    // Until a caller that lost its entry has sent again, and lost runs are certainly over
    m_callerWatch.settings.probeWindow =
            std::max(m_callerWatch.settings.probeWindow,
                     m_core.settings.resendAfter + m_core.settings.scheduler.lostRunTimeout);
    m_lastTurn = steadyNow();
    m_held.startedAt = m_lastTurn;
    if (m_core.settings.readiness.empty())
        return true;
    m_readiness = serveHttp(
            m_core, m_core.settings.readiness,
            [this](const ExchangePtr &exchange) { handleReadiness(exchange); }, reason);
    return m_readiness != nullptr;
}

// [SECTION] Callers

bool EntryShell::ready() const
{
    return !m_stopping && m_catalog.version > 0 && scheduler::reachesEndpoints(m_scheduler)
            && !lag::isWithdrawn(m_lag);
}

void EntryShell::handleReadiness(const ExchangePtr &exchange)
{
    if (m_dialect.isReadinessRequest(exchange->request()))
        exchange->answer(m_dialect.writeReadiness(ready()));
    else
        exchange->answer(fabric::makeResponse(404, "text/plain", ""));
}

void EntryShell::refuse(const ExchangePtr &exchange, CallerRefusal refusal,
                        const std::string &reason)
{
    writeEvent(m_core.log,
               Event("call-refused")
                       .with("target", std::string(exchange->request().target()))
                       .with("reason", reason)
                       .with("catalog", m_catalog.version)
                       .with("catalog_age_ms", steadyNow() - m_catalogAt));
    exchange->answer(m_dialect.writeRefusal(refusal, reason));
}

void EntryShell::handleCaller(const ExchangePtr &exchange)
{
    const Time now = steadyNow();
    checkPause(now);
    if (m_catalog.version > 0)
        return serveCaller(exchange, std::nullopt);
    if (!hold(m_held, exchange, now))
        refuse(exchange, CallerRefusal::NotConfigured, "no catalog has come yet");
}

void EntryShell::refuseHeld(Time now)
{
    for (const HeldCall &call : expired(m_held, now))
        refuse(call.exchange, CallerRefusal::NotConfigured, "no catalog has come yet");
}

void EntryShell::serveHeld()
{
    const std::vector<HeldCall> calls = release(m_held);
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

void EntryShell::serveCaller(const ExchangePtr &exchange, std::optional<Time> heldSince)
{
    const CallerRequest call = m_dialect.readCallerRequest(exchange->request());
    const catalog::QueueDeclaration *queue = catalog::findQueue(m_catalog, call.host, call.path);
    if (!queue) {
        ++m_notFound;
        return refuse(exchange, CallerRefusal::NoSuchQueue, "no queue has this host and path");
    }
    switch (call.action) {
    case CallerAction::Submit:
        return submit(exchange, call, *queue, heldSince);
    case CallerAction::CountWaiting:
        // Jobs that are answered when they end are in nobody's count.
        return exchange->answer(m_dialect.writeWaitingCount(0));
    case CallerAction::GetState:
    case CallerAction::Cancel:
        return refuse(exchange, CallerRefusal::NoSuchJob, "no job is kept under this id");
    case CallerAction::Other:
        break;
    }
    refuse(exchange, CallerRefusal::BadRequest, "this is no call of the interface");
}

namespace {

scheduler::JobOptions makeTerms(const catalog::QueueDeclaration &queue)
{
    scheduler::JobOptions options;
    options.queue = queue.name;
    options.service = queue.service;
    options.priority = queue.priority;
    options.maxAttempts = queue.maxAttempts;
    options.stretch = std::clamp(queue.stretch, 0.0, MostStretch);
    options.targetLatency = queue.targetLatency;
    return options;
}

} // namespace

void EntryShell::submit(const ExchangePtr &exchange, const CallerRequest &call,
                        const catalog::QueueDeclaration &queue, std::optional<Time> heldSince)
{
    Error reason;
    const auto spec = m_dialect.readJob(exchange->request(), call.path.substr(queue.prefix.size()),
                                        &reason);
    if (!spec) {
        ++m_badRequests;
        return refuse(exchange, CallerRefusal::BadRequest, reason.message);
    }
    // What was held up on its way may have been given up meanwhile, and be sent again.
    if (isFoundGone(exchange, spec->id))
        return;
    const Time now = steadyNow();
    seeCallers(now);
    const Time came = receivedAt(*exchange, heldSince, now);
    scheduler::JobOptions options = makeTerms(queue);
    if (came < now)
        options.receivedAt = came;
    options.startDeadline = came + queue.timeout;
    if (call.timeout)
        options.callerDeadline = came + *call.timeout;
    options.suitableUnconnected = m_agents.requireAgents(*spec, queue.service, now);
    keepAgents(now);
    std::uint64_t number = 0;
    scheduler::SchedulerActions actions = scheduler::submit(m_scheduler, *spec, options, now,
                                                            &number);
    m_waiting[number].push_back(exchange);
    m_queueOf[number] = queue.name;
    m_cameAt.emplace(number, came);
    exchange->onDisconnect([this, number, weak = std::weak_ptr<fabric::Exchange>(exchange)] {
        if (const auto gone = weak.lock())
            callerGone(number, gone);
    });
    carryOut(std::move(actions));
}

void EntryShell::callerGone(std::uint64_t number, const ExchangePtr &exchange)
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
    m_cameAt.erase(number);
    carryOut(scheduler::abandon(m_scheduler, number, steadyNow()));
}

void EntryShell::seeCallers(Time now)
{
    for (const std::uint64_t number : scheduler::callersToProbe(m_callerWatch, m_scheduler, now))
        seeCallersOf(number);
}

bool EntryShell::isFoundGone(const ExchangePtr &exchange, const std::string &job)
{
    if (exchange->isCallerConnected())
        return false;
    ++m_callersFoundGone;
    writeEvent(m_core.log, Event("caller-found-gone").with("request", job));
    return true;
}

void EntryShell::seeCallersOf(std::uint64_t number)
{
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end())
        return;
    const std::vector<ExchangePtr> waiting = found->second;
    for (const ExchangePtr &exchange : waiting) {
        if (isFoundGone(exchange, m_scheduler.jobs.at(number).spec.id))
            callerGone(number, exchange);
    }
}

void EntryShell::answer(const scheduler::JobAnswer &answer)
{
    const auto found = m_waiting.find(answer.number);
    if (found == m_waiting.end())
        return;
    metrics::observe(m_core.metrics, "foxwing_job_ms",
                     { m_queueOf[answer.number], scheduler::toString(answer.outcome) },
                     toMilliseconds(steadyNow() - m_cameAt[answer.number]));
    for (const ExchangePtr &exchange : found->second)
        exchange->answer(m_dialect.writeJobAnswer(answer));
    m_waiting.erase(found);
    m_queueOf.erase(answer.number);
    m_cameAt.erase(answer.number);
}

void EntryShell::carryOut(scheduler::SchedulerActions &&actions)
{
    for (const eventlog::Event &event : actions.events)
        writeEvent(m_core.log, event);
    for (scheduler::AgentSend &send : actions.sends)
        std::visit([&](auto &message) { m_agents.send(send.agent, Frame(std::move(message))); },
                   send.message);
    for (const scheduler::JobAnswer &given : actions.answers)
        answer(given);
    for (const std::string &name : actions.closes)
        m_agents.close(name);
}

// [SECTION] Agents

AgentEvents EntryShell::agentEvents()
{
    AgentEvents events;
    events.connected = [this](const std::string &address) { agentConnected(address); };
    events.received = [this](const std::string &address, std::string_view bytes) {
        agentReceived(address, bytes);
    };
    events.lost = [this](const std::string &address) {
        const Time now = steadyNow();
        scheduler::recordSessionLost(m_callerWatch, now);
        carryOut(scheduler::agentLost(m_scheduler, address, now));
    };
    events.release = [this](const std::string &address) {
        return scheduler::releaseAgent(m_scheduler, address);
    };
    return events;
}

void EntryShell::agentConnected(const std::string &address)
{
    OpenSession open { m_core.settings.name, {} };
    if (m_knowsCordons)
        open.cordons.push_back(m_scheduler.cordons);
    m_agents.send(address, Frame(std::move(open)));
    carryOut(scheduler::agentConnected(m_scheduler, address, steadyNow()));
}

void EntryShell::agentReceived(const std::string &address, std::string_view bytes)
{
    const Time now = steadyNow();
    checkPause(now);
    const auto frame = readFrame(m_core, address, bytes);
    if (!frame)
        return;
    seeCallers(now);
    if (const auto *update = std::get_if<jobs::AgentUpdate>(&*frame))
        carryOut(scheduler::agentUpdated(m_scheduler, address, *update, now));
    else if (const auto *welcome = std::get_if<jobs::SessionAccepted>(&*frame))
        carryOut(scheduler::agentAccepted(m_scheduler, address, *welcome, now));
}

void EntryShell::keepAgents(Time now)
{
    m_agents.keep(now < m_scheduler.needsCapacityUntil, now);
    m_scheduler.entryCount = m_agents.subset().sharingEntries;
}

// [SECTION] Control

ControlEvents EntryShell::controlEvents()
{
    ControlEvents events;
    events.directory = [this](const std::string &from, const directory::DirectoryUpdate &update) {
        takeDirectory(from, update);
    };
    events.agreed = [this](const AgreedPush &push) {
        applyCordons(push.cordons);
        takeCatalog(push.catalog);
    };
    events.forgotten = [this](const std::string &host) { m_agents.removeControlHost(host); };
    return events;
}

void EntryShell::takeDirectory(const std::string &from, const directory::DirectoryUpdate &update)
{
    m_agents.applyUpdate(from, update);
    keepAgents(steadyNow());
}

void EntryShell::applyCordons(const catalog::Cordons &cordons)
{
    m_knowsCordons = true;
    if (cordons.revision <= m_scheduler.cordons.revision)
        return;
    writeEvent(m_core.log,
               change("cordons-in-force")
                       .with("revision", cordons.revision)
                       .with("before", m_scheduler.cordons.revision)
                       .with("data_centres", joinedNames(cordons)));
    const Time now = steadyNow();
    m_agents.applyCordons(cordons);
    keepAgents(now);
    seeCallers(now);
    carryOut(scheduler::applyCordons(m_scheduler, cordons, now));
}

void EntryShell::takeCatalog(const catalog::Catalog &catalog)
{
    if (!catalog::supersedes(m_catalog, catalog))
        return;
    writeEvent(m_core.log,
               change("catalog-in-force")
                       .with("version", catalog.version)
                       .with("before", m_catalog.version)
                       .with("queues", std::uint64_t { catalog.queues.size() }));
    m_catalog = catalog;
    m_catalogAt = steadyNow();
    std::set<std::string> queues;
    for (const catalog::QueueDeclaration &queue : catalog.queues)
        queues.insert(queue.name);
    scheduler::retainQueues(m_scheduler, queues);
    fabric::HttpLimits limits;
    limits.headerBytes = catalog.limits.headerBytes;
    limits.bodyBytes = catalog.limits.bodyBytes;
    limits.headerTimeout = catalog.limits.headerTimeout;
    limits.idleTimeout = catalog.limits.idleTimeout;
    m_callers->setLimits(limits);
    serveHeld();
}

// [SECTION] Lag

// A call that an entry reads while it is behind has lost part of its caller's time already.
Time EntryShell::receivedAt(const fabric::Exchange &exchange, std::optional<Time> heldSince,
                            Time now) const
{
    if (heldSince)
        return *heldSince;
    return lag::isLagging(m_lag) ? now - exchange.sinceReceived() : now;
}

void EntryShell::recordTurn(Time now)
{
    if (lag::recordTurn(m_lag, m_turnDueAt, now))
        tellStandingBack(now);
    // From this turn's beginning, so that a long turn makes the next one late.
    m_turnDueAt = now + TickInterval;
    m_callers->setCloseAfterAnswers(m_stopping || lag::closesConnections(m_lag));
}

void EntryShell::tellStandingBack(Time now)
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

void EntryShell::addLagSamples(std::vector<metrics::Sample> &samples) const
{
    samples.push_back({ "foxwing_stood_back_total", "Times this entry stood back for being behind",
                        static_cast<double>(m_lag.withdrawals) });
    samples.push_back({ "foxwing_standing_back", "1 while this entry stands back",
                        lag::isWithdrawn(m_lag) ? 1.0 : 0.0, true });
    samples.push_back({ "foxwing_behind_ms", "How late turns of the loop were of late",
                        toMilliseconds(m_lag.averageDelay), true });
}

// [SECTION] Time

void EntryShell::checkPause(Time now)
{
    const Microseconds pause = now - m_lastTurn;
    m_lastTurn = now;
    if (pause < PauseSpan)
        return;
    writeEvent(m_core.log, change("paused").with("for_ms", pause));
    carryOut(scheduler::closeAllJobs(m_scheduler, "this entry stood still", now));
    m_agents.closeAll();
}

void EntryShell::tick(Time now)
{
    checkPause(now);
    recordTurn(now);
    refuseHeld(now);
    m_control.tick(now);
    keepAgents(now);
    seeCallers(now);
    carryOut(scheduler::tick(m_scheduler, now));
}

void EntryShell::beginShutdown(Time now)
{
    m_stopping = true;
    m_stopBegan = now;
    m_callers->setCloseAfterAnswers(true);
}

bool EntryShell::stopped(Time now)
{
    const Milliseconds grace = m_core.settings.stopGrace;
    const bool quiet = m_callers->pendingRequests() == 0;
    if (now >= m_stopBegan + StopNotice && quiet && m_callers->connections() == 0)
        return true;
    if (now >= m_stopBegan + grace - LastJobs)
        m_callers->stopAccepting();
    return now >= m_stopBegan + grace - LastAnswers
            || (quiet && now >= m_stopBegan + grace - LastJobs);
}

std::size_t EntryShell::endpointsWithoutQueue() const
{
    const auto unused = [this](const auto &item) {
        const jobs::EndpointView &endpoint = item.second.endpoint;
        return !endpoint.service.empty() && !catalog::usesService(m_catalog, endpoint.service);
    };
    return static_cast<std::size_t>(
            std::count_if(m_scheduler.agents.begin(), m_scheduler.agents.end(), unused));
}

// A series for each declared queue that jobs have come for.
void addQueueSamples(const scheduler::SchedulerState &scheduler, Time now,
                     std::vector<metrics::Sample> &samples)
{
    const auto add = [&](const char *name, const char *help, bool gauge, auto valueOf) {
        for (const auto &[queue, standing] : scheduler.queueStatuses)
            samples.push_back({ metrics::labelled(name, "queue", queue), help,
                                static_cast<double>(valueOf(queue)), gauge });
    };
    const auto shareOf = [&](const std::string &queue) {
        const auto found = scheduler.shares.queues.find(queue);
        return found == scheduler.shares.queues.end() ? shares::QueueShare {} : found->second;
    };
    add("foxwing_queue_asked_total", "Jobs that endpoints could serve, by queue", false,
        [&](const std::string &queue) { return shareOf(queue).requestedJobs; });
    add("foxwing_queue_refused_total", "Jobs refused for want of room, by queue", false,
        [&](const std::string &queue) { return shareOf(queue).refusedJobs; });
    add("foxwing_queue_served_percent", "Work not refused of what was asked of late, by queue",
        true, [&](const std::string &queue) {
            return shares::servedPercent(scheduler.shares, queue, now);
        });
    add("foxwing_queue_below_floor", "Queues that are below their floor", true,
        [&](const std::string &queue) {
            return scheduler.queueStatuses.at(queue).belowGuarantee ? 1 : 0;
        });
}

std::vector<metrics::Sample> EntryShell::samples() const
{
    const scheduler::SchedulerCounters &counters = m_scheduler.counters;
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    std::vector<metrics::Sample> samples {
        { "foxwing_jobs_submitted_total", "Jobs taken in", count(counters.submitted) },
        { "foxwing_jobs_completed_total", "Jobs answered as completed", count(counters.completed) },
        { "foxwing_jobs_failed_total", "Jobs answered as failed", count(counters.failed) },
        { "foxwing_jobs_refused_total", "Jobs answered as not run", count(counters.refused) },
        { "foxwing_jobs_timed_out_total", "Jobs given up after they began",
          count(counters.timedOut) },
        { "foxwing_jobs_served_late_total", "Jobs completed that began too late to be on time",
          count(counters.servedLate) },
        { "foxwing_jobs_abandoned_total", "Jobs whose caller went", count(counters.abandoned) },
        { "foxwing_starts_total", "Starts sent to agents", count(counters.starts) },
        { "foxwing_starts_refused_total", "Starts that never began",
          count(counters.startsRefused) },
        { "foxwing_runs_moved_total", "Runs stopped for being behind", count(counters.runsMoved) },
        { "foxwing_runs_lost_total", "Runs on agents that were lost", count(counters.runsLost) },
        { "foxwing_runs_crashed_total", "Runs whose endpoint crashed under them",
          count(counters.runsCrashed) },
        { "foxwing_jobs_crashing_total", "Jobs given up since endpoints crashed under them",
          count(counters.crashingJobs) },
        { "foxwing_callers_found_gone_total",
          "Callers found gone by a look before their jobs were placed", count(m_callersFoundGone) },
        { "foxwing_endpoints_tried_total", "Endpoints looked at to place tasks",
          count(counters.endpointsTried) },
        { "foxwing_not_found_total", "Calls without a queue", count(m_notFound) },
        { "foxwing_bad_requests_total", "Jobs that could not be read", count(m_badRequests) },
    };
    const auto gauge = [&](const char *name, const char *help, std::size_t value) {
        samples.push_back({ name, help, static_cast<double>(value), true });
    };
    gauge("foxwing_jobs_open", "Jobs not answered yet", scheduler::openJobs(m_scheduler));
    gauge("foxwing_jobs_waiting", "Jobs with tasks that wait", m_scheduler.queue.size());
    const scheduler::ForecastStatus forecastStatus = scheduler::forecastStatus(m_scheduler,
                                                                               steadyNow());
    gauge("foxwing_jobs_waiting_late", "Jobs that wait and can't be on time",
          forecastStatus.waitingLate);
    if (forecastStatus.wait)
        gauge("foxwing_expected_wait_ms", "Wait of a job that comes now, behind all others",
              static_cast<std::size_t>(forecastStatus.wait->count()));
    samples.push_back({ "foxwing_picture_age_ms", "Age of the oldest news in the forecast",
                        toMilliseconds(forecastStatus.age), true });
    gauge("foxwing_agents", "Agents in touch", m_scheduler.agents.size());
    gauge("foxwing_agents_listed", "Agents that control hosts list",
          m_agents.subset().agents.size());
    gauge("foxwing_agents_chosen", "Agents that sessions are kept with",
          subset::sessionCount(m_agents.subset()));
    gauge("foxwing_endpoints_without_queue", "Endpoints whose service no queue names",
          endpointsWithoutQueue());
    gauge("foxwing_control_hosts", "Control hosts in touch", m_control.connected());
    gauge("foxwing_catalog_version", "Catalog in force", m_catalog.version);
    addLagSamples(samples);
    addQueueSamples(m_scheduler, steadyNow(), samples);
    return samples;
}

} // namespace

std::unique_ptr<RoleShell> makeEntryShell(Core &core, const Dialect &dialect)
{
    return std::make_unique<EntryShell>(core, dialect);
}

} // namespace foxwing::fleet
