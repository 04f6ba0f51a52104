/*
    Implements the load replay.

    [SECTION] Parts
    [SECTION] Events
    [SECTION] Callers
    [SECTION] Entries
    [SECTION] Agents
    [SECTION] Endpoints
    [SECTION] Report
*/
#include "rig.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace foxwing::test {

// [SECTION] Parts

namespace {

constexpr Milliseconds TickInterval { 20 };

// Refusals within this time count as immediate: they cost callers nothing.
constexpr Milliseconds ImmediateLimit { 5 };
constexpr Milliseconds HeartbeatInterval { 1500 };
constexpr Microseconds CommandDelay { 300 };
constexpr Milliseconds PollTimeout { 25 };

// Jobs that arrive earlier meet idle endpoints, and aren't counted.
constexpr Milliseconds WarmUp { 1500 };

// Between two samples of the idle capacity
constexpr Milliseconds SampleInterval { 10 };
constexpr double Spread = 0.4;
constexpr double DemandSpread = 0.2;
constexpr double TaskSpread = 0.15;
constexpr double Stretch = 1.6;
constexpr Milliseconds Latency { 60 };

struct EndpointRun
{
    jobs::ResourceVector demand;
    Time startedAt {};
    Time doneAt {};
    bool stopping = false;
    bool fails = false;
};

// An agent and its endpoint.
struct Host
{
    runner::RunnerState state;
    double speed = 1;
    jobs::ResourceVector capacity;
    int dataCentre = 0;
    bool fails = false;
    bool unreachable = false;
    std::map<jobs::RunId, EndpointRun> runs;
    std::vector<runner::EndedRun> ended;
    std::uint64_t lastEnd = 0;

    // A long poll that waits for a run to end
    std::optional<runner::PollCommand> poll;
    Time pollDeadline {};
    std::uint64_t heartbeats = 0;
};

struct EntryHost
{
    scheduler::SchedulerState state;
    int dataCentre = 0;
    std::map<std::uint64_t, std::string> calls;
};

struct Call
{
    jobs::JobSpec spec;
    std::size_t queue = 0;
    Time receivedAt {};

    // Based on the true run times, not on the estimate
    Microseconds objective { 0 };
    double size = 0;
    std::vector<Microseconds> work;
};

class Rig
{
public:
    explicit Rig(const RigSettings &settings);
    RigReport replay();

private:
    void schedule(Time when, std::function<void()> callback)
    {
        m_events.push({ when, ++m_lastSequence, std::move(callback) });
    }
    double normal(double spread) { return std::normal_distribution<double>(0, spread)(m_random); }

    // Callers
    void planArrivals(std::size_t queue);
    void arrive(std::size_t queue);
    double rateFactor(const std::string &queue) const;
    Call makeCall(std::size_t queue);
    void handleAnswer(std::size_t entry, const scheduler::JobAnswer &answer);
    bool hasFreeEndpoint(const jobs::ResourceVector &demand) const;

    // Entries and agents
    Microseconds linkDelay(std::size_t entry, std::size_t host) const;
    void openSession(std::size_t entry, std::size_t host);
    void tickEntry(std::size_t entry);
    void tickHost(std::size_t host);
    void heartbeat(std::size_t host);
    void execute(std::size_t entry, scheduler::SchedulerActions &&actions);
    void execute(std::size_t host, runner::RunnerActions &&actions);
    void deliver(std::size_t entry, std::size_t host, const scheduler::AgentSend &send);

    // Endpoints
    Milliseconds clock() const;
    void start(std::size_t host, const runner::StartCommand &command);
    void stop(std::size_t host, const runner::StopCommand &command);
    void endRun(std::size_t host, const jobs::RunId &id, jobs::RunOutcome outcome);
    void answerPoll(std::size_t host);
    void setFault(const EndpointFault &fault, bool active);
    void setCordon(const CordonPeriod &period, bool active);
    void sample();
    double credit(const Call &call) const;

    struct Event
    {
        Time when {};
        std::uint64_t sequence = 0;
        std::function<void()> callback;
        bool operator<(const Event &other) const
        {
            return std::tie(other.when, other.sequence) < std::tie(when, sequence);
        }
    };

    RigSettings m_settings;
    std::mt19937_64 m_random;
    Time m_now { Seconds(1000) };
    Time m_start {};
    Time m_end {};
    std::uint64_t m_lastSequence = 0;
    std::priority_queue<Event> m_events;
    std::vector<EntryHost> m_entries;
    std::vector<Host> m_hosts;
    std::map<std::string, Call> m_calls;
    std::uint64_t m_lastJob = 0;
    catalog::Cordons m_cordons;
    RigReport m_report;
    double m_submittedCredit = 0;
    double m_earnedCredit = 0;
    double m_idleCapacity = 0;
    double m_totalCapacity = 0;
    std::uint64_t m_tasks = 0;
};

std::string agentName(std::size_t host)
{
    return "agent-" + std::to_string(host);
}

std::string dataCentreName(int dataCentre)
{
    return "dc-" + std::to_string(dataCentre);
}

Rig::Rig(const RigSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_start(m_now + WarmUp)
    , m_end(m_start + settings.duration)
{
    for (std::size_t centre = 0; centre < settings.entries.size(); ++centre) {
        for (int i = 0; i < settings.entries[centre]; ++i) {
            EntryHost entry;
            entry.dataCentre = static_cast<int>(centre);
            scheduler::SchedulerSettings policy = settings.scheduler;
            policy.seed = m_random();
            policy.dataCentre = dataCentreName(entry.dataCentre);
            entry.state = scheduler::makeScheduler(policy);
            m_entries.push_back(std::move(entry));
        }
        for (int i = 0; i < settings.agents[centre]; ++i) {
            Host host;
            const std::size_t number = m_hosts.size();
            host.dataCentre = static_cast<int>(centre);
            host.speed = settings.speeds[number % settings.speeds.size()];
            host.capacity = { settings.cores[number % settings.cores.size()], 65536, 0 };
            host.state = runner::makeRunner(settings.runner, 1, 1000);
            m_hosts.push_back(std::move(host));
        }
    }
}

// Computes the percentages over all queues.
void addTotals(RigReport &report)
{
    double submitted = 0;
    double served = 0;
    double refused = 0;
    double immediate = 0;
    for (const auto &[name, queue] : report.queues) {
        submitted += static_cast<double>(queue.submitted);
        served += static_cast<double>(queue.onTime + queue.late);
        refused += static_cast<double>(queue.refused);
        immediate += static_cast<double>(
                std::count_if(queue.refusalDelays.begin(), queue.refusalDelays.end(),
                              [&](Microseconds after) { return after <= ImmediateLimit; }));
    }
    report.servedPercent = 100 * served / std::max(1.0, submitted);
    report.refusedImmediatelyPercent = 100 * immediate / std::max(1.0, refused);
}

// [SECTION] Events

RigReport Rig::replay()
{
    for (EntryHost &entry : m_entries)
        entry.state.entryCount = static_cast<std::uint32_t>(m_entries.size());
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        execute(host,
                runner::handleCordons(m_hosts[host].state, {}, runner::CordonSource::Control,
                                      m_now));
        heartbeat(host);
        tickHost(host);
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
            openSession(entry, host);
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        tickEntry(entry);
    for (std::size_t queue = 0; queue < m_settings.queues.size(); ++queue)
        planArrivals(queue);
    for (const EndpointFault &fault : m_settings.faults) {
        schedule(m_start + fault.from, [this, fault] { setFault(fault, true); });
        schedule(m_start + fault.until, [this, fault] { setFault(fault, false); });
    }
    for (const CordonPeriod &period : m_settings.cordons) {
        schedule(m_start + period.from, [this, period] { setCordon(period, true); });
        schedule(m_start + period.until, [this, period] { setCordon(period, false); });
    }
    schedule(m_start, [this] { sample(); });
    constexpr Milliseconds DrainDuration { 4000 };
    while (!m_events.empty() && m_events.top().when < m_end + DrainDuration) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        event.callback();
    }
    std::uint64_t starts = 0;
    for (const EntryHost &entry : m_entries)
        starts += entry.state.counters.starts;
    m_report.startsPerTask = static_cast<double>(starts)
            / static_cast<double>(std::max<std::uint64_t>(1, m_tasks));
    m_report.creditPercent = 100 * m_earnedCredit / std::max(1e-9, m_submittedCredit);
    addTotals(m_report);
    m_report.idleWhileWaitingPercent = 100 * m_idleCapacity / std::max(1e-9, m_totalCapacity);
    return m_report;
}

// [SECTION] Callers

double Rig::rateFactor(const std::string &queue) const
{
    double factor = 1;
    for (const Burst &burst : m_settings.bursts) {
        const bool on = m_now >= m_start + burst.from && m_now < m_start + burst.until;
        if (on && (burst.queue.empty() || burst.queue == queue))
            factor *= burst.factor;
    }
    return factor;
}

void Rig::planArrivals(std::size_t queue)
{
    const QueueLoad &load = m_settings.queues[queue];
    const double rate = load.perSecond * rateFactor(load.name);
    const double interval = std::exponential_distribution<double>(rate)(m_random);
    schedule(m_now
                     + std::chrono::duration_cast<Microseconds>(
                             std::chrono::duration<double>(interval)),
             [this, queue] {
                 if (m_now >= m_end)
                     return;
                 arrive(queue);
                 planArrivals(queue);
             });
}

Call Rig::makeCall(std::size_t queue)
{
    const QueueLoad &load = m_settings.queues[queue];
    Call call;
    call.queue = queue;
    call.receivedAt = m_now;
    const auto logNormal = [&](double spread) {
        return std::exp(normal(spread) - spread * spread / 2);
    };
    const double taskCount = std::round(load.taskCount * logNormal(Spread));
    jobs::StepSpec step;
    step.tasks = std::clamp(static_cast<std::uint32_t>(std::max(1.0, taskCount)), 1U,
                            load.maxTaskCount);
    step.demand = { static_cast<std::int64_t>(load.milliCores * logNormal(DemandSpread)), 64, 0 };
    const bool tail = load.tailShare > 0
            && std::uniform_real_distribution<double>(0, 1)(m_random) < load.tailShare;
    const double work = static_cast<double>(load.work.count()) * std::min(4.0, logNormal(Spread))
            * (tail ? load.tailFactor : 1);
    step.estimate = Milliseconds(std::max<std::int64_t>(1, std::lround(work * logNormal(Spread))));
    Microseconds longest { 0 };
    for (std::uint32_t i = 0; i < step.tasks; ++i) {
        const double each = std::max(0.3, 1 + normal(TaskSpread)) * work;
        call.work.push_back(std::chrono::duration_cast<Microseconds>(
                std::chrono::duration<double, std::milli>(each)));
        longest = std::max(longest, call.work.back());
    }
    call.spec.id = "job-" + std::to_string(++m_lastJob);
    call.spec.traits.durable = false;
    call.spec.steps = { step };
    call.objective = std::chrono::duration_cast<Microseconds>(longest * Stretch) + Latency;
    call.size = taskCount * work / (load.taskCount * static_cast<double>(load.work.count()));
    return call;
}

// A fixed part plus a part that grows with the size of the job, up to a maximum.
double Rig::credit(const Call &call) const
{
    constexpr double Base = 0.3;
    const double maxFactor = 4;
    return m_settings.queues[call.queue].credit
            * std::min(maxFactor, Base + (1 - Base) * call.size);
}

// Jobs above this size are the largest tenth: sizes are products of two log-normal factors with a
// sigma of 0.4.
constexpr double LargeSize = 1.75;

void Rig::arrive(std::size_t queue)
{
    const QueueLoad &load = m_settings.queues[queue];
    const std::vector<double> &callers = m_settings.callers;
    const int centre = std::discrete_distribution<int>(callers.begin(), callers.end())(m_random);
    std::vector<std::size_t> local;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].dataCentre == centre)
            local.push_back(i);
    }
    const std::size_t entry =
            local[std::uniform_int_distribution<std::size_t>(0, local.size() - 1)(m_random)];
    const Call call = makeCall(queue);
    m_calls[call.spec.id] = call;
    if (m_now >= m_start) {
        QueueReport &report = m_report.queues[load.name];
        ++report.submitted;
        ++report.entries[entry].submitted;
        report.largeSubmitted += call.size > LargeSize ? 1 : 0;
        m_submittedCredit += credit(call);
    }
    m_tasks += call.work.size();
    scheduler::JobOptions options;
    options.queue = load.name;
    options.service = "service";
    options.priority = load.priority;
    options.maxAttempts = load.maxAttempts;
    options.stretch = Stretch;
    options.targetLatency = Latency;
    options.startDeadline = m_now + Milliseconds(1500);
    if (m_settings.callerTimeout)
        options.callerDeadline = m_now + call.objective + *m_settings.callerTimeout;
    std::uint64_t number = 0;
    scheduler::SchedulerActions actions = scheduler::submit(m_entries[entry].state, call.spec,
                                                            options, m_now, &number);
    m_entries[entry].calls[number] = call.spec.id;
    execute(entry, std::move(actions));
}

bool Rig::hasFreeEndpoint(const jobs::ResourceVector &demand) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const Host &host) {
        jobs::ResourceVector free = host.capacity;
        for (const auto &[id, run] : host.runs)
            free -= run.demand;
        return !host.fails && !host.unreachable && !runner::isCordoned(host.state)
                && jobs::fits(demand, free);
    });
}

void Rig::handleAnswer(std::size_t entry, const scheduler::JobAnswer &answer)
{
    const auto found = m_entries[entry].calls.find(answer.number);
    if (found == m_entries[entry].calls.end())
        return;
    const Call &call = m_calls.at(found->second);
    m_entries[entry].calls.erase(found);
    if (call.receivedAt < m_start)
        return;
    QueueReport &report = m_report.queues[m_settings.queues[call.queue].name];
    const Microseconds latency = m_now - call.receivedAt;
    const bool onTime = latency <= call.objective;
    switch (answer.outcome) {
    case scheduler::JobOutcome::Completed:
        ++(onTime ? report.onTime : report.late);
        m_report.completed.insert(call.spec.id);
        report.largeOnTime += onTime && call.size > LargeSize ? 1 : 0;
        m_earnedCredit += onTime ? credit(call) : credit(call) / 5;
        break;
    case scheduler::JobOutcome::NotRun:
        ++report.refused;
        ++report.entries[entry].refused;
        report.largeRefused += call.size > LargeSize ? 1 : 0;
        report.refusalDelays.push_back(latency);
        if (latency <= ImmediateLimit)
            m_report.refusedImmediately.insert(call.spec.id);
        m_report.refusedDespiteCapacity += hasFreeEndpoint(call.spec.steps[0].demand) ? 1 : 0;
        break;
    case scheduler::JobOutcome::Failed:
    case scheduler::JobOutcome::TimedOut:
        ++report.failed;
        break;
    }
}

// [SECTION] Entries

Microseconds Rig::linkDelay(std::size_t entry, std::size_t host) const
{
    const bool local = m_entries[entry].dataCentre == m_hosts[host].dataCentre;
    return local ? m_settings.localDelay : m_settings.remoteDelay;
}

void Rig::openSession(std::size_t entry, std::size_t host)
{
    execute(entry, scheduler::agentConnected(m_entries[entry].state, agentName(host), m_now));
    schedule(m_now + linkDelay(entry, host), [this, entry, host] {
        execute(host,
                runner::openSession(m_hosts[host].state, entry + 1,
                                    "entry-" + std::to_string(entry), m_now));
    });
}

void Rig::tickEntry(std::size_t entry)
{
    execute(entry, scheduler::tick(m_entries[entry].state, m_now));
    schedule(m_now + m_settings.tick, [this, entry] { tickEntry(entry); });
}

void Rig::deliver(std::size_t entry, std::size_t host, const scheduler::AgentSend &send)
{
    schedule(m_now + linkDelay(entry, host), [this, entry, host, message = send.message] {
        if (m_hosts[host].unreachable)
            return;
        runner::RunnerState &state = m_hosts[host].state;
        if (const auto *start = std::get_if<jobs::StartTasks>(&message))
            execute(host, runner::startTasks(state, entry + 1, *start, m_now));
        else if (const auto *stop = std::get_if<jobs::StopRuns>(&message))
            execute(host, runner::stopRuns(state, entry + 1, *stop, m_now));
        else
            execute(host,
                    runner::handleSessionHeartbeat(state, entry + 1,
                                                   std::get<jobs::SessionHeartbeat>(message),
                                                   m_now));
    });
}

void Rig::execute(std::size_t entry, scheduler::SchedulerActions &&actions)
{
    for (const scheduler::AgentSend &send : actions.sends)
        deliver(entry, std::stoul(send.agent.substr(send.agent.find('-') + 1)), send);
    for (const scheduler::JobAnswer &answer : actions.answers)
        handleAnswer(entry, answer);
    for (const std::string &name : actions.closes)
        execute(entry, scheduler::agentLost(m_entries[entry].state, name, m_now));
}

// [SECTION] Agents

void Rig::tickHost(std::size_t host)
{
    execute(host, runner::tick(m_hosts[host].state, m_now));
    schedule(m_now + TickInterval, [this, host] { tickHost(host); });
}

void Rig::heartbeat(std::size_t number)
{
    Host &host = m_hosts[number];
    runner::EndpointReport report;
    report.endpointIncarnation.id = "life-" + std::to_string(number);
    report.service = "service";
    report.dataCentre = dataCentreName(host.dataCentre);
    report.capacity = host.capacity;
    report.sequence = ++host.heartbeats;
    report.clock = clock();
    execute(number, runner::handleHeartbeat(host.state, report, m_now));
    schedule(m_now + HeartbeatInterval, [this, number] { heartbeat(number); });
}

void Rig::execute(std::size_t number, runner::RunnerActions &&actions)
{
    Host &host = m_hosts[number];
    for (const runner::StopCommand &command : actions.stops)
        schedule(m_now + CommandDelay, [this, number, command] { stop(number, command); });
    for (const runner::StartCommand &command : actions.starts)
        schedule(m_now + CommandDelay, [this, number, command] { start(number, command); });
    if (actions.poll) {
        host.poll = actions.poll;
        host.pollDeadline = m_now + actions.poll->wait;
        schedule(host.pollDeadline + CommandDelay, [this, number, poll = actions.poll->number] {
            if (m_hosts[number].poll && m_hosts[number].poll->number == poll)
                answerPoll(number);
        });
        if (!host.ended.empty())
            schedule(m_now + CommandDelay, [this, number] { answerPoll(number); });
    }
    const auto send = [&](std::uint64_t session, auto message, auto handle) {
        const std::size_t entry = session - 1;
        schedule(m_now + linkDelay(entry, number), [this, number, entry, message, handle] {
            if (!m_hosts[number].unreachable)
                execute(entry, handle(m_entries[entry].state, agentName(number), message, m_now));
        });
    };
    for (const auto &[session, message] : actions.acceptances)
        send(session, message, scheduler::agentAccepted);
    for (const auto &[session, message] : actions.updates)
        send(session, message, scheduler::agentUpdated);
}

// [SECTION] Endpoints

Milliseconds Rig::clock() const
{
    return std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch());
}

void Rig::start(std::size_t number, const runner::StartCommand &command)
{
    Host &host = m_hosts[number];
    const Call &call = m_calls.at(command.id.task.job);
    EndpointRun run;
    run.demand = call.spec.steps[0].demand;
    run.startedAt = m_now;
    run.fails = host.fails;
    const auto runTime = std::chrono::duration_cast<Microseconds>(call.work[command.id.task.index]
                                                                  / host.speed);
    run.doneAt = m_now + (run.fails ? Microseconds(1000) : runTime);
    host.runs[command.id] = run;
    const auto outcome = run.fails ? jobs::RunOutcome::Failed : jobs::RunOutcome::Done;
    schedule(run.doneAt, [this, number, id = command.id, outcome] {
        const auto found = m_hosts[number].runs.find(id);
        if (found != m_hosts[number].runs.end() && !found->second.stopping)
            endRun(number, id, outcome);
    });
    schedule(m_now + CommandDelay, [this, number, id = command.id] {
        execute(number,
                runner::handleStartResult(m_hosts[number].state, id,
                                          { runner::CommandStatus::Ok, clock() }, m_now));
    });
}

void Rig::stop(std::size_t number, const runner::StopCommand &command)
{
    constexpr Milliseconds StopDuration { 50 };
    const auto found = m_hosts[number].runs.find(command.id);
    if (found != m_hosts[number].runs.end() && !found->second.stopping) {
        found->second.stopping = true;
        schedule(m_now + StopDuration, [this, number, id = command.id] {
            endRun(number, id, jobs::RunOutcome::Stopped);
        });
    }
    schedule(m_now + CommandDelay, [this, number, id = command.id] {
        execute(number,
                runner::handleStopResult(m_hosts[number].state, id,
                                         { runner::CommandStatus::Ok, clock() }, m_now));
    });
}

void Rig::endRun(std::size_t number, const jobs::RunId &id, jobs::RunOutcome outcome)
{
    Host &host = m_hosts[number];
    host.runs.erase(id);
    host.ended.push_back({ ++host.lastEnd, id, outcome });
    answerPoll(number);
}

void Rig::answerPoll(std::size_t number)
{
    Host &host = m_hosts[number];
    if (!host.poll)
        return;
    const runner::PollCommand command = *host.poll;
    host.poll.reset();
    const auto acknowledged = [&](const runner::EndedRun &run) {
        return run.number <= command.lastSeenEnd;
    };
    host.ended.erase(std::remove_if(host.ended.begin(), host.ended.end(), acknowledged),
                     host.ended.end());
    runner::PollResult poll;
    poll.result = { runner::CommandStatus::Ok, clock() };
    for (const auto &[id, run] : host.runs) {
        const double total = static_cast<double>((run.doneAt - run.startedAt).count());
        const double elapsed = static_cast<double>((m_now - run.startedAt).count());
        poll.running.push_back(
                { id, static_cast<std::uint32_t>(100 * elapsed / std::max(1.0, total)) });
    }
    poll.ended = host.ended;
    schedule(m_now + CommandDelay, [this, number, poll, command = command.number] {
        execute(number, runner::handlePollResult(m_hosts[number].state, command, poll, m_now));
    });
}

void Rig::setFault(const EndpointFault &fault, bool active)
{
    const auto step = static_cast<std::size_t>(100 / std::max(1, fault.percent));
    const bool fails = fault.kind == EndpointFault::Kind::Fails;
    for (std::size_t i = fails ? 0 : step / 2; i < m_hosts.size(); i += step) {
        (fails ? m_hosts[i].fails : m_hosts[i].unreachable) = active;
        if (!fails && !active) {
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
                openSession(entry, i);
        }
    }
}

void Rig::setCordon(const CordonPeriod &period, bool active)
{
    catalog::AgreedState agreed;
    agreed.cordons = m_cordons;
    catalog::apply(agreed,
                   catalog::CordonCommand { dataCentreName(period.dataCentre), active,
                                            m_cordons.revision });
    m_cordons = agreed.cordons;
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
        schedule(m_now + m_settings.remoteDelay, [this, host, cordons = m_cordons] {
            execute(host,
                    runner::handleCordons(m_hosts[host].state, cordons,
                                          runner::CordonSource::Control, m_now));
        });
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        schedule(m_now + m_settings.remoteDelay, [this, entry, cordons = m_cordons] {
            execute(entry, scheduler::applyCordons(m_entries[entry].state, cordons, m_now));
        });
}

// [SECTION] Report

void Rig::sample()
{
    const bool waiting = std::any_of(m_entries.begin(), m_entries.end(),
                                     [](const auto &entry) { return !entry.state.queue.empty(); });
    for (const Host &host : m_hosts) {
        if (!waiting || host.fails || host.unreachable || runner::isCordoned(host.state))
            continue;
        jobs::ResourceVector free = host.capacity;
        for (const auto &[id, run] : host.runs)
            free -= run.demand;
        m_idleCapacity += static_cast<double>(free.milliCores);
        m_totalCapacity += static_cast<double>(host.capacity.milliCores);
    }
    if (m_now < m_end)
        schedule(m_now + SampleInterval, [this] { sample(); });
}

} // namespace

RigReport replay(const RigSettings &settings)
{
    return Rig(settings).replay();
}

} // namespace foxwing::test
