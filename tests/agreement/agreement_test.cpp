/*
    Simulation of the consensus group under random faults: crashes that lose unsynced records, full
    and one-way network partitions, lost, duplicated and delayed messages, paused hosts, and lost
    disks whose hosts are replaced through membership changes.

    Checks that all hosts apply the same commands in the same order, that no acknowledged command is
    lost or applied twice, that confirmed reads see every command acknowledged before they started,
    and that the group makes progress once all faults are over. The first seed is FOXWING_SEED, the
    number of schedules FOXWING_SCHEDULES.

    [SECTION] Simulation
    [SECTION] Network and disk
    [SECTION] Clients
    [SECTION] Faults
    [SECTION] Run
    [SECTION] Tests
*/
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <set>
#include <thread>

#include <foxwing/base/guards.h>
#include <foxwing/quorum/quorum.h>

namespace foxwing::quorum {
namespace {

// [SECTION] Simulation

constexpr Milliseconds TickInterval { 20 };
constexpr Milliseconds FaultDuration { 9000 };
constexpr Milliseconds RecoveryDuration { 5000 };

struct Delivery
{
    Time at {};
    std::uint64_t sequence = 0;
    std::string to;
    QuorumMessage message;

    bool operator<(const Delivery &other) const
    {
        return at != other.at ? at > other.at : sequence > other.sequence;
    }
};

struct PendingSync
{
    Time at {};
    std::uint64_t number = 0;
};

struct Host
{
    std::string id;
    std::unique_ptr<QuorumState> state;
    Time pausedUntil {};
    Time restartAt {};

    // Synced content of the disk, and records that a crash loses.
    RecoveredQuorum disk;
    std::vector<Record> unsynced;
    std::deque<std::pair<std::uint64_t, std::size_t>> recordCounts;
    std::deque<PendingSync> pendingSyncs;

    // State of the replicated state machine: the payloads of all applied commands, in order.
    std::vector<std::string> applied;
    bool hasLostDisk = false;
};

struct Simulation
{
    std::mt19937_64 random;
    Time now { Milliseconds(1000) };
    std::uint64_t sequence = 0;
    std::uint64_t starts = 0;
    bool faultsEnabled = true;
    std::priority_queue<Delivery> network;
    std::map<std::string, Host> hosts;
    std::vector<std::string> blockedLinks;

    // Commands that are not acknowledged yet, each with the host that proposed it.
    std::map<std::string, std::pair<std::string, std::uint64_t>> proposed;
    std::vector<std::string> acknowledged;

    // Proposed in the last second, well after all faults were over
    std::set<std::string> proposedInRecovery;

    // All commands that any host has applied, in order
    std::vector<std::string> history;

    // Pending reads, each with the number of commands acknowledged before it
    std::map<std::uint64_t, std::size_t> reads;
    std::uint64_t nextCommand = 1;
    std::uint64_t nextRead = 1;
    std::size_t answeredReads = 0;
    std::size_t changes = 0;
    int replacements = 0;
    bool diskWasLost = false;
    std::vector<std::string> violations;
};

bool chance(Simulation &simulation, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(simulation.random) < probability;
}

std::int64_t randomBetween(Simulation &simulation, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(simulation.random);
}

std::string joinLines(const std::vector<std::string> &commands)
{
    std::string text;
    for (const std::string &command : commands)
        text += command + "\n";
    return text;
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = text.find('\n', begin);
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return lines;
}

// [SECTION] Network and disk

void execute(Simulation &simulation, Host &host, QuorumActions &&actions);

void sendMessage(Simulation &simulation, const std::string &from, const Outgoing &outgoing)
{
    const bool isBlocked = std::find(simulation.blockedLinks.begin(), simulation.blockedLinks.end(),
                                     from + ">" + outgoing.to)
            != simulation.blockedLinks.end();
    if (isBlocked || (simulation.faultsEnabled && chance(simulation, 0.04)))
        return;
    const int copies = simulation.faultsEnabled && chance(simulation, 0.04) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Microseconds delay(randomBetween(simulation, 300, 4000));
        if (simulation.faultsEnabled && chance(simulation, 0.02))
            delay = Milliseconds(randomBetween(simulation, 10, 2000));
        simulation.network.push(
                { simulation.now + delay, simulation.sequence++, outgoing.to, outgoing.message });
    }
}

// Checks that the hosts agree on each position of the history.
void applyCommand(Simulation &simulation, Host &host, const std::string &payload)
{
    const std::size_t position = host.applied.size();
    host.applied.push_back(payload);
    if (position < simulation.history.size() && simulation.history[position] != payload)
        simulation.violations.push_back(host.id + " applied " + payload + " where others applied "
                                        + simulation.history[position]);
    if (position < simulation.history.size())
        return;
    if (std::find(simulation.history.begin(), simulation.history.end(), payload)
        != simulation.history.end())
        simulation.violations.push_back(payload + " was applied twice");
    simulation.history.push_back(payload);
}

void acknowledge(Simulation &simulation, const Host &host, const LogEntry &entry)
{
    const auto found = simulation.proposed.find(entry.payload);
    if (found == simulation.proposed.end() || found->second.first != host.id)
        return;
    simulation.proposed.erase(found);
    simulation.acknowledged.push_back(entry.payload);
}

void answerRead(Simulation &simulation, const Host &host, std::uint64_t id)
{
    const auto found = simulation.reads.find(id);
    if (found == simulation.reads.end())
        return;
    ++simulation.answeredReads;
    for (std::size_t i = 0; i < found->second; ++i) {
        const std::string &expected = simulation.acknowledged[i];
        if (std::find(host.applied.begin(), host.applied.end(), expected) == host.applied.end())
            simulation.violations.push_back(host.id + " answered a read without " + expected);
    }
    simulation.reads.erase(found);
}

void execute(Simulation &simulation, Host &host, QuorumActions &&actions)
{
    if (!actions.records.empty()) {
        host.unsynced.insert(host.unsynced.end(), actions.records.begin(), actions.records.end());
        host.recordCounts.emplace_back(actions.syncNumber, actions.records.size());
        Microseconds delay(randomBetween(simulation, 200, simulation.faultsEnabled ? 40000 : 6000));
        if (!host.pendingSyncs.empty())
            delay = std::max<Microseconds>(delay, host.pendingSyncs.back().at - simulation.now);
        host.pendingSyncs.push_back({ simulation.now + delay, actions.syncNumber });
    }
    for (const Outgoing &outgoing : actions.sends)
        sendMessage(simulation, host.id, outgoing);
    if (actions.installed)
        host.applied = splitLines(actions.installed->state);
    for (const LogEntry &entry : actions.committed) {
        if (entry.kind != EntryKind::Command)
            continue;
        applyCommand(simulation, host, entry.payload);
        acknowledge(simulation, host, entry);
    }
    for (const std::uint64_t id : actions.confirmedReads)
        answerRead(simulation, host, id);
    for (const std::uint64_t id : actions.failedReads)
        simulation.reads.erase(id);
}

void completeDueSyncs(Simulation &simulation, Host &host)
{
    while (host.state && !host.pendingSyncs.empty()
           && host.pendingSyncs.front().at <= simulation.now) {
        const std::uint64_t number = host.pendingSyncs.front().number;
        host.pendingSyncs.pop_front();
        const std::size_t count = host.recordCounts.front().second;
        host.recordCounts.pop_front();
        for (std::size_t i = 0; i < count; ++i)
            replay(host.disk, host.unsynced[i]);
        host.unsynced.erase(host.unsynced.begin(),
                            host.unsynced.begin() + static_cast<std::ptrdiff_t>(count));
        execute(simulation, host, synced(*host.state, number, simulation.now));
    }
}

void startHost(Simulation &simulation, Host &host, const std::vector<std::string> &initialVoters)
{
    QuorumSettings settings;
    settings.self = host.id;
    settings.seed = simulation.random();
    settings.initialVoters = initialVoters;
    settings.firstElectionTimeout = simulation.starts % 2 == 0 ? Milliseconds(20)
                                                               : Milliseconds(100);
    host.state = std::make_unique<QuorumState>(makeQuorum(settings, host.disk, simulation.now));
    host.applied = splitLines(host.disk.snapshot.state);
    ++simulation.starts;
    // Running hosts connect to the started one at once.
    for (auto &item : simulation.hosts) {
        if (item.second.state)
            voterConnected(*item.second.state, simulation.now);
    }
}

// [SECTION] Clients

std::vector<Host *> runningHosts(Simulation &simulation)
{
    std::vector<Host *> hosts;
    for (auto &item : simulation.hosts) {
        if (item.second.state && simulation.now >= item.second.pausedUntil)
            hosts.push_back(&item.second);
    }
    return hosts;
}

void proposeCommands(Simulation &simulation)
{
    for (Host *host : runningHosts(simulation)) {
        if (!isLeader(*host->state))
            continue;
        const std::string payload = "command " + std::to_string(simulation.nextCommand++);
        if (!simulation.faultsEnabled)
            simulation.proposedInRecovery.insert(payload);
        std::uint64_t index = 0;
        simulation.proposed[payload] = { host->id, 0 };
        auto actions = propose(*host->state, payload, simulation.now, &index);
        execute(simulation, *host, std::move(*actions));
    }
}

void requestReads(Simulation &simulation)
{
    for (Host *host : runningHosts(simulation)) {
        if (!isLeader(*host->state))
            continue;
        const std::uint64_t id = simulation.nextRead++;
        simulation.reads[id] = simulation.acknowledged.size();
        execute(simulation, *host, requestRead(*host->state, id, simulation.now));
    }
}

// One step of replacing a host: adds a learner, promotes it to voter, or removes an old voter.
void changeMembers(Simulation &simulation)
{
    for (Host *host : runningHosts(simulation)) {
        if (!isLeader(*host->state))
            continue;
        const Members current = host->state->members;
        Members desired = current;
        if (!current.learners.empty()) {
            desired.voters.push_back(current.learners[0]);
            desired.learners.clear();
        } else if (current.voters.size() % 2 == 0) {
            auto removed = std::find_if(desired.voters.begin(), desired.voters.end(),
                                        [&](const std::string &id) {
                                            return simulation.hosts[id].hasLostDisk;
                                        });
            if (removed == desired.voters.end())
                removed = desired.voters.begin()
                        + randomBetween(simulation, 0,
                                        static_cast<std::int64_t>(current.voters.size()) - 2);
            desired.voters.erase(removed);
        } else if (simulation.replacements < 2) {
            ++simulation.replacements;
            Host &added = simulation.hosts["fresh" + std::to_string(simulation.replacements)];
            added.id = "fresh" + std::to_string(simulation.replacements);
            startHost(simulation, added, {});
            desired.learners.push_back(added.id);
        }
        Error reason;
        auto actions = proposeMembers(*host->state, desired, simulation.now, &reason);
        if (!actions)
            continue;
        ++simulation.changes;
        execute(simulation, *host, std::move(*actions));
    }
}

// [SECTION] Faults

void crash(Simulation &simulation, Host &host)
{
    host.state.reset();
    host.unsynced.clear();
    host.recordCounts.clear();
    host.pendingSyncs.clear();
    host.restartAt = simulation.now + Milliseconds(randomBetween(simulation, 20, 2500));
}

void loseDisk(Host &host)
{
    host.hasLostDisk = true;
    host.disk = {};
    host.applied.clear();
}

void injectFault(Simulation &simulation)
{
    auto chosen = simulation.hosts.begin();
    std::advance(chosen,
                 randomBetween(simulation, 0,
                               static_cast<std::int64_t>(simulation.hosts.size()) - 1));
    Host &host = chosen->second;
    const std::int64_t kind = randomBetween(simulation, 0, 9);
    if (kind == 0) {
        // Power loss on all hosts at once
        for (auto &item : simulation.hosts)
            crash(simulation, item.second);
    } else if (kind == 1 && !simulation.diskWasLost) {
        simulation.diskWasLost = true;
        crash(simulation, host);
        loseDisk(host);
    } else if (kind < 4 && host.state) {
        crash(simulation, host);
    } else if (kind < 5) {
        host.pausedUntil = simulation.now + Milliseconds(randomBetween(simulation, 50, 2500));
    } else if (kind < 7) {
        for (const auto &other : simulation.hosts) {
            simulation.blockedLinks.push_back(host.id + ">" + other.first);
            if (kind == 5)
                simulation.blockedLinks.push_back(other.first + ">" + host.id);
        }
    } else {
        simulation.blockedLinks.clear();
    }
}

void compactHosts(Simulation &simulation)
{
    for (Host *host : runningHosts(simulation)) {
        if (chance(simulation, 0.3))
            execute(simulation, *host, compact(*host->state, joinLines(host->applied)));
    }
}

// [SECTION] Run

void deliverDue(Simulation &simulation, Time until)
{
    while (!simulation.network.empty() && simulation.network.top().at <= until) {
        const Delivery delivery = simulation.network.top();
        simulation.network.pop();
        simulation.now = std::max(simulation.now, delivery.at);
        Host &host = simulation.hosts[delivery.to];
        completeDueSyncs(simulation, host);
        if (!host.state)
            continue;
        if (simulation.now < host.pausedUntil)
            simulation.network.push(
                    { host.pausedUntil, delivery.sequence, delivery.to, delivery.message });
        else
            execute(simulation, host, handle(*host.state, delivery.message, simulation.now));
    }
    simulation.now = until;
}

void tickHosts(Simulation &simulation)
{
    for (auto &item : simulation.hosts) {
        Host &host = item.second;
        if (!host.state && simulation.now >= host.restartAt)
            startHost(simulation, host, {});
        if (!host.state || simulation.now < host.pausedUntil)
            continue;
        completeDueSyncs(simulation, host);
        execute(simulation, host, tick(*host.state, simulation.now));
    }
}

void runRandomActions(Simulation &simulation)
{
    if (chance(simulation, 0.3))
        proposeCommands(simulation);
    if (chance(simulation, 0.15))
        requestReads(simulation);
    if (chance(simulation, 0.03))
        injectFault(simulation);
    if (chance(simulation, 0.03))
        changeMembers(simulation);
    if (chance(simulation, 0.01))
        compactHosts(simulation);
}

void checkResult(Simulation &simulation)
{
    for (const std::string &payload : simulation.acknowledged) {
        if (std::find(simulation.history.begin(), simulation.history.end(), payload)
            == simulation.history.end())
            simulation.violations.push_back(payload + " was acknowledged but lost");
    }
    const bool makesProgress = std::any_of(simulation.acknowledged.begin(),
                                           simulation.acknowledged.end(),
                                           [&](const std::string &payload) {
                                               return simulation.proposedInRecovery.count(payload)
                                                       != 0;
                                           });
    if (!makesProgress)
        simulation.violations.push_back(
                "the group made no progress on commands after all faults had ended");
}

void startAll(Simulation &simulation, const std::vector<std::string> &voters)
{
    for (const std::string &id : voters) {
        simulation.hosts[id].id = id;
        // The initial state of the disk is synced.
        simulation.hosts[id].disk.snapshot.members.voters = voters;
        simulation.hosts[id].disk.vote.joined = true;
        startHost(simulation, simulation.hosts[id], voters);
    }
}

void step(Simulation &simulation)
{
    deliverDue(simulation, simulation.now + TickInterval);
    tickHosts(simulation);
}

void runWithFaults(Simulation &simulation, Time until)
{
    while (simulation.now < until) {
        step(simulation);
        runRandomActions(simulation);
    }
}

// Ends all faults. The group must make progress without having lost an acknowledged command.
void runRecovery(Simulation &simulation)
{
    simulation.faultsEnabled = false;
    simulation.blockedLinks.clear();
    const Time end = simulation.now + RecoveryDuration;
    while (simulation.now < end) {
        step(simulation);
        if (simulation.now >= end - Milliseconds(1000))
            proposeCommands(simulation);
    }
    checkResult(simulation);
}

const std::vector<std::string> ThreeVoters { "a", "b", "c" };
const std::vector<std::string> FiveVoters { "a", "b", "c", "d", "e" };

Simulation runSchedule(std::uint64_t seed)
{
    Simulation simulation;
    simulation.random.seed(seed);
    startAll(simulation, seed % 3 == 0 ? FiveVoters : ThreeVoters);
    runWithFaults(simulation, simulation.now + FaultDuration);
    runRecovery(simulation);
    return simulation;
}

// Right after an acknowledgement two of five hosts lose their disks while all others lose power.
Simulation runDiskAndPowerLoss(std::uint64_t seed)
{
    Simulation simulation;
    simulation.random.seed(seed);
    // No earlier disk losses or replacements: five hosts tolerate the loss of two disks.
    simulation.diskWasLost = true;
    simulation.replacements = 2;
    startAll(simulation, FiveVoters);
    runWithFaults(simulation, simulation.now + FaultDuration);
    simulation.blockedLinks.clear();
    const Time deadline = simulation.now + RecoveryDuration;
    const std::size_t before = simulation.acknowledged.size();
    while (simulation.acknowledged.size() == before && simulation.now < deadline) {
        step(simulation);
        proposeCommands(simulation);
    }
    std::vector<std::string> hosts = FiveVoters;
    std::shuffle(hosts.begin(), hosts.end(), simulation.random);
    for (const std::string &id : hosts)
        crash(simulation, simulation.hosts[id]);
    for (std::size_t i = 0; i < 2; ++i)
        loseDisk(simulation.hosts[hosts[i]]);
    runRecovery(simulation);
    return simulation;
}

// [SECTION] Tests

std::uint64_t numberFromEnvironment(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

TEST(Agreement, HistoriesAreLinearizableUnderFaults)
{
    const std::uint64_t first = numberFromEnvironment("FOXWING_SEED", 1);
    const std::uint64_t count = numberFromEnvironment("FOXWING_SCHEDULES", 2000);
    const bool guardsIntact = BrokenGuard == Guard::None;
    std::mutex mutex;
    std::vector<std::string> violations;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t changes = 0;
    std::uint64_t starts = 0;
    std::atomic<std::uint64_t> next { 0 };
    std::atomic<bool> stop { false };
    std::vector<std::thread> threads;
    for (unsigned int i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back([&] {
            for (std::uint64_t at = next++; at < count && !stop; at = next++) {
                const Simulation simulation = runSchedule(first + at);
                const std::lock_guard<std::mutex> lock(mutex);
                acknowledged += simulation.acknowledged.size();
                reads += simulation.answeredReads;
                changes += simulation.changes;
                starts += simulation.starts;
                for (const std::string &violation : simulation.violations)
                    violations.push_back("seed " + std::to_string(first + at) + ": " + violation);
                stop = stop || (!guardsIntact && !violations.empty());
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    std::printf("schedules %llu acknowledged %zu reads %zu changes of members %zu starts %llu\n",
                static_cast<unsigned long long>(count), acknowledged, reads, changes,
                static_cast<unsigned long long>(starts));
    for (std::size_t i = 0; i < violations.size() && i < 10; ++i)
        std::printf("%s\n", violations[i].c_str());
    if (guardsIntact) {
        EXPECT_TRUE(violations.empty()) << violations.size() << " violations";
        EXPECT_GT(acknowledged, count * 10);
        EXPECT_GT(reads, count);
    } else {
        EXPECT_FALSE(violations.empty()) << "the broken guard was not detected";
    }
}

// Guards against losing commands that a majority has on disk, when two disks are lost and all hosts
// lose power at once.
TEST(Agreement, AcknowledgedCommandsSurviveDiskAndPowerLoss)
{
    // Of the broken guards only a missing sync loses acknowledged commands.
    if (BrokenGuard != Guard::None && BrokenGuard != Guard::Sync)
        return;
    const std::uint64_t count = numberFromEnvironment("FOXWING_SCHEDULES", 2000) / 50;
    const std::uint64_t first = numberFromEnvironment("FOXWING_SEED", 1);
    std::size_t acknowledged = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const Simulation simulation = runDiskAndPowerLoss(seed);
        acknowledged += simulation.acknowledged.size();
        if (!isEnabled(Guard::Sync) && !simulation.violations.empty())
            return;
        ASSERT_TRUE(simulation.violations.empty())
                << "seed " << seed << ": " << simulation.violations[0];
    }
    EXPECT_TRUE(isEnabled(Guard::Sync)) << "the missing sync was not detected";
    EXPECT_GT(acknowledged, count * 10);
}

} // namespace
} // namespace foxwing::quorum
