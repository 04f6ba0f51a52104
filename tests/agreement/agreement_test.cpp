/*
    Simulation of the consensus group under random faults: crashes that lose unsynced records, full
    and one-way network partitions, lost, duplicated and delayed messages, paused hosts, and lost
    disks whose hosts are replaced through membership changes.

    Checks that all hosts apply the same commands in the same order, that no acknowledged command is
    lost or applied twice, that confirmed reads see every command acknowledged before they started,
    and that the group makes progress once all faults are over. The first seed is FOXWING_SEED, the
    number of schedules FOXWING_SCHEDULES.

    [SECTION] World
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

// [SECTION] World

constexpr Milliseconds TickInterval { 20 };
constexpr Milliseconds ChaosSpan { 9000 };
constexpr Milliseconds HealSpan { 5000 };

struct Delivery
{
    Time at {};
    std::uint64_t order = 0;
    std::string to;
    QuorumMessage message;

    bool operator<(const Delivery &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
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
    std::deque<std::pair<std::uint64_t, std::size_t>> syncMarks;
    std::deque<PendingSync> syncs;

    // State of the replicated state machine: the payloads of all applied commands, in order.
    std::vector<std::string> applied;
    bool lostDisk = false;
};

struct World
{
    std::mt19937_64 random;
    Time now { Milliseconds(1000) };
    std::uint64_t order = 0;
    std::uint64_t starts = 0;
    bool chaos = true;
    std::priority_queue<Delivery> network;
    std::map<std::string, Host> hosts;
    std::vector<std::string> cut;

    // Commands that are not acknowledged yet, each with the host that proposed it.
    std::map<std::string, std::pair<std::string, std::uint64_t>> proposed;
    std::vector<std::string> acknowledged;

    // Proposed in the last second, well after all faults were over
    std::set<std::string> proposedHealed;

    // All commands that any host has applied, in order
    std::vector<std::string> history;

    // Pending reads, each with the number of commands acknowledged before it
    std::map<std::uint64_t, std::size_t> reads;
    std::uint64_t nextCommand = 1;
    std::uint64_t nextRead = 1;
    std::size_t readsDone = 0;
    std::size_t changes = 0;
    int replacements = 0;
    bool diskLost = false;
    std::vector<std::string> violations;
};

bool chance(World &world, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(world.random) < probability;
}

std::int64_t between(World &world, std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(world.random);
}

std::string joined(const std::vector<std::string> &commands)
{
    std::string text;
    for (const std::string &command : commands)
        text += command + "\n";
    return text;
}

std::vector<std::string> split(const std::string &text)
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

void carryOut(World &world, Host &host, QuorumActions &&actions);

void sendMessage(World &world, const std::string &from, const Outgoing &send)
{
    const bool isCut = std::find(world.cut.begin(), world.cut.end(), from + ">" + send.to)
            != world.cut.end();
    if (isCut || (world.chaos && chance(world, 0.04)))
        return;
    const int copies = world.chaos && chance(world, 0.04) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Microseconds delay(between(world, 300, 4000));
        if (world.chaos && chance(world, 0.02))
            delay = Milliseconds(between(world, 10, 2000));
        world.network.push({ world.now + delay, world.order++, send.to, send.message });
    }
}

// Checks that the hosts agree on each position of the history.
void applyCommand(World &world, Host &host, const std::string &payload)
{
    const std::size_t place = host.applied.size();
    host.applied.push_back(payload);
    if (place < world.history.size() && world.history[place] != payload)
        world.violations.push_back(host.id + " applied " + payload + " where others have "
                                   + world.history[place]);
    if (place < world.history.size())
        return;
    if (std::find(world.history.begin(), world.history.end(), payload) != world.history.end())
        world.violations.push_back(payload + " was applied twice");
    world.history.push_back(payload);
}

void acknowledge(World &world, const Host &host, const LogEntry &entry)
{
    const auto found = world.proposed.find(entry.payload);
    if (found == world.proposed.end() || found->second.first != host.id)
        return;
    world.proposed.erase(found);
    world.acknowledged.push_back(entry.payload);
}

void answerRead(World &world, const Host &host, std::uint64_t id)
{
    const auto found = world.reads.find(id);
    if (found == world.reads.end())
        return;
    ++world.readsDone;
    for (std::size_t i = 0; i < found->second; ++i) {
        const std::string &needed = world.acknowledged[i];
        if (std::find(host.applied.begin(), host.applied.end(), needed) == host.applied.end())
            world.violations.push_back(host.id + " answered a read without " + needed);
    }
    world.reads.erase(found);
}

void carryOut(World &world, Host &host, QuorumActions &&actions)
{
    if (!actions.records.empty()) {
        host.unsynced.insert(host.unsynced.end(), actions.records.begin(), actions.records.end());
        host.syncMarks.emplace_back(actions.syncNumber, actions.records.size());
        Microseconds delay(between(world, 200, world.chaos ? 40000 : 6000));
        if (!host.syncs.empty())
            delay = std::max<Microseconds>(delay, host.syncs.back().at - world.now);
        host.syncs.push_back({ world.now + delay, actions.syncNumber });
    }
    for (const Outgoing &send : actions.sends)
        sendMessage(world, host.id, send);
    if (actions.installed)
        host.applied = split(actions.installed->state);
    for (const LogEntry &entry : actions.committed) {
        if (entry.kind != EntryKind::Command)
            continue;
        applyCommand(world, host, entry.payload);
        acknowledge(world, host, entry);
    }
    for (const std::uint64_t id : actions.confirmedReads)
        answerRead(world, host, id);
    for (const std::uint64_t id : actions.failedReads)
        world.reads.erase(id);
}

void syncDue(World &world, Host &host)
{
    while (host.state && !host.syncs.empty() && host.syncs.front().at <= world.now) {
        const std::uint64_t number = host.syncs.front().number;
        host.syncs.pop_front();
        const std::size_t count = host.syncMarks.front().second;
        host.syncMarks.pop_front();
        for (std::size_t i = 0; i < count; ++i)
            replay(host.disk, host.unsynced[i]);
        host.unsynced.erase(host.unsynced.begin(),
                            host.unsynced.begin() + static_cast<std::ptrdiff_t>(count));
        carryOut(world, host, synced(*host.state, number, world.now));
    }
}

void startHost(World &world, Host &host, const std::vector<std::string> &initialVoters)
{
    QuorumSettings settings;
    settings.self = host.id;
    settings.seed = world.random();
    settings.initialVoters = initialVoters;
    settings.firstElectionTimeout = world.starts % 2 == 0 ? Milliseconds(20) : Milliseconds(100);
    host.state = std::make_unique<QuorumState>(makeQuorum(settings, host.disk, world.now));
    host.applied = split(host.disk.snapshot.state);
    ++world.starts;
    // Running hosts connect to the started one at once.
    for (auto &item : world.hosts) {
        if (item.second.state)
            voterConnected(*item.second.state, world.now);
    }
}

// [SECTION] Clients

std::vector<Host *> running(World &world)
{
    std::vector<Host *> hosts;
    for (auto &item : world.hosts) {
        if (item.second.state && world.now >= item.second.pausedUntil)
            hosts.push_back(&item.second);
    }
    return hosts;
}

void proposeSomething(World &world)
{
    for (Host *host : running(world)) {
        if (!isLeader(*host->state))
            continue;
        const std::string payload = "command " + std::to_string(world.nextCommand++);
        if (!world.chaos)
            world.proposedHealed.insert(payload);
        std::uint64_t index = 0;
        world.proposed[payload] = { host->id, 0 };
        auto actions = propose(*host->state, payload, world.now, &index);
        carryOut(world, *host, std::move(*actions));
    }
}

void readSomething(World &world)
{
    for (Host *host : running(world)) {
        if (!isLeader(*host->state))
            continue;
        const std::uint64_t id = world.nextRead++;
        world.reads[id] = world.acknowledged.size();
        carryOut(world, *host, requestRead(*host->state, id, world.now));
    }
}

// One step of replacing a host: adds a learner, promotes it to voter, or removes an old voter.
void changeMembers(World &world)
{
    for (Host *host : running(world)) {
        if (!isLeader(*host->state))
            continue;
        const Members present = host->state->members;
        Members wanted = present;
        if (!present.learners.empty()) {
            wanted.voters.push_back(present.learners[0]);
            wanted.learners.clear();
        } else if (present.voters.size() % 2 == 0) {
            auto leaving = std::find_if(wanted.voters.begin(), wanted.voters.end(),
                                        [&](const std::string &id) {
                                            return world.hosts[id].lostDisk;
                                        });
            if (leaving == wanted.voters.end())
                leaving = wanted.voters.begin()
                        + between(world, 0, static_cast<std::int64_t>(present.voters.size()) - 2);
            wanted.voters.erase(leaving);
        } else if (world.replacements < 2) {
            ++world.replacements;
            Host &fresh = world.hosts["fresh" + std::to_string(world.replacements)];
            fresh.id = "fresh" + std::to_string(world.replacements);
            startHost(world, fresh, {});
            wanted.learners.push_back(fresh.id);
        }
        Error reason;
        auto actions = proposeMembers(*host->state, wanted, world.now, &reason);
        if (!actions)
            continue;
        ++world.changes;
        carryOut(world, *host, std::move(*actions));
    }
}

// [SECTION] Faults

void crash(World &world, Host &host)
{
    host.state.reset();
    host.unsynced.clear();
    host.syncMarks.clear();
    host.syncs.clear();
    host.restartAt = world.now + Milliseconds(between(world, 20, 2500));
}

void loseDisk(Host &host)
{
    host.lostDisk = true;
    host.disk = {};
    host.applied.clear();
}

void breakSomething(World &world)
{
    auto victim = world.hosts.begin();
    std::advance(victim, between(world, 0, static_cast<std::int64_t>(world.hosts.size()) - 1));
    Host &host = victim->second;
    const std::int64_t kind = between(world, 0, 9);
    if (kind == 0) {
        // Power loss on all hosts at once
        for (auto &item : world.hosts)
            crash(world, item.second);
    } else if (kind == 1 && !world.diskLost) {
        world.diskLost = true;
        crash(world, host);
        loseDisk(host);
    } else if (kind < 4 && host.state) {
        crash(world, host);
    } else if (kind < 5) {
        host.pausedUntil = world.now + Milliseconds(between(world, 50, 2500));
    } else if (kind < 7) {
        for (const auto &other : world.hosts) {
            world.cut.push_back(host.id + ">" + other.first);
            if (kind == 5)
                world.cut.push_back(other.first + ">" + host.id);
        }
    } else {
        world.cut.clear();
    }
}

void compactSomething(World &world)
{
    for (Host *host : running(world)) {
        if (chance(world, 0.3))
            carryOut(world, *host, compact(*host->state, joined(host->applied)));
    }
}

// [SECTION] Run

void deliverDue(World &world, Time until)
{
    while (!world.network.empty() && world.network.top().at <= until) {
        const Delivery delivery = world.network.top();
        world.network.pop();
        world.now = std::max(world.now, delivery.at);
        Host &host = world.hosts[delivery.to];
        syncDue(world, host);
        if (!host.state)
            continue;
        if (world.now < host.pausedUntil)
            world.network.push({ host.pausedUntil, delivery.order, delivery.to, delivery.message });
        else
            carryOut(world, host, handle(*host.state, delivery.message, world.now));
    }
    world.now = until;
}

void tickWorld(World &world)
{
    for (auto &item : world.hosts) {
        Host &host = item.second;
        if (!host.state && world.now >= host.restartAt)
            startHost(world, host, {});
        if (!host.state || world.now < host.pausedUntil)
            continue;
        syncDue(world, host);
        carryOut(world, host, tick(*host.state, world.now));
    }
}

void actRandomly(World &world)
{
    if (chance(world, 0.3))
        proposeSomething(world);
    if (chance(world, 0.15))
        readSomething(world);
    if (chance(world, 0.03))
        breakSomething(world);
    if (chance(world, 0.03))
        changeMembers(world);
    if (chance(world, 0.01))
        compactSomething(world);
}

void checkEnd(World &world)
{
    for (const std::string &payload : world.acknowledged) {
        if (std::find(world.history.begin(), world.history.end(), payload) == world.history.end())
            world.violations.push_back(payload + " was acknowledged and lost");
    }
    const bool goesOn = std::any_of(world.acknowledged.begin(), world.acknowledged.end(),
                                    [&](const std::string &payload) {
                                        return world.proposedHealed.count(payload) != 0;
                                    });
    if (!goesOn)
        world.violations.push_back("the group did not go on after all had healed");
}

void startAll(World &world, const std::vector<std::string> &voters)
{
    for (const std::string &id : voters) {
        world.hosts[id].id = id;
        // The initial state of the disk is synced.
        world.hosts[id].disk.snapshot.members.voters = voters;
        world.hosts[id].disk.vote.joined = true;
        startHost(world, world.hosts[id], voters);
    }
}

void step(World &world)
{
    deliverDue(world, world.now + TickInterval);
    tickWorld(world);
}

void runChaos(World &world, Time until)
{
    while (world.now < until) {
        step(world);
        actRandomly(world);
    }
}

// Ends all faults. The group must make progress without having lost an acknowledged command.
void runToTheEnd(World &world)
{
    world.chaos = false;
    world.cut.clear();
    const Time end = world.now + HealSpan;
    while (world.now < end) {
        step(world);
        if (world.now >= end - Milliseconds(1000))
            proposeSomething(world);
    }
    checkEnd(world);
}

const std::vector<std::string> ThreeVoters { "a", "b", "c" };
const std::vector<std::string> FiveVoters { "a", "b", "c", "d", "e" };

World runSchedule(std::uint64_t seed)
{
    World world;
    world.random.seed(seed);
    startAll(world, seed % 3 == 0 ? FiveVoters : ThreeVoters);
    runChaos(world, world.now + ChaosSpan);
    runToTheEnd(world);
    return world;
}

// Right after an acknowledgement two of five hosts lose their disks while all others lose power.
World runFinalFault(std::uint64_t seed)
{
    World world;
    world.random.seed(seed);
    // No earlier disk losses or replacements: five hosts tolerate the loss of two disks.
    world.diskLost = true;
    world.replacements = 2;
    startAll(world, FiveVoters);
    runChaos(world, world.now + ChaosSpan);
    world.cut.clear();
    const Time latest = world.now + HealSpan;
    const std::size_t before = world.acknowledged.size();
    while (world.acknowledged.size() == before && world.now < latest) {
        step(world);
        proposeSomething(world);
    }
    std::vector<std::string> hosts = FiveVoters;
    std::shuffle(hosts.begin(), hosts.end(), world.random);
    for (const std::string &id : hosts)
        crash(world, world.hosts[id]);
    for (std::size_t i = 0; i < 2; ++i)
        loseDisk(world.hosts[hosts[i]]);
    runToTheEnd(world);
    return world;
}

// [SECTION] Tests

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

TEST(Agreement, HistoriesAreLinearUnderFaults)
{
    const std::uint64_t first = numberFrom("FOXWING_SEED", 1);
    const std::uint64_t count = numberFrom("FOXWING_SCHEDULES", 2000);
    const bool guarded = BrokenGuard == Guard::None;
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
                const World world = runSchedule(first + at);
                const std::lock_guard<std::mutex> lock(mutex);
                acknowledged += world.acknowledged.size();
                reads += world.readsDone;
                changes += world.changes;
                starts += world.starts;
                for (const std::string &violation : world.violations)
                    violations.push_back("seed " + std::to_string(first + at) + ": " + violation);
                stop = stop || (!guarded && !violations.empty());
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
    if (guarded) {
        EXPECT_TRUE(violations.empty()) << violations.size() << " violations";
        EXPECT_GT(acknowledged, count * 10);
        EXPECT_GT(reads, count);
    } else {
        EXPECT_FALSE(violations.empty()) << "the broken guard was not noticed";
    }
}

// Guards against losing commands that a majority has on disk, when two disks are lost and all hosts
// lose power at once.
TEST(Agreement, AcknowledgedOutlastsDisksAndPowerLostAtOnce)
{
    // Of the broken guards only a missing sync loses acknowledged commands.
    if (BrokenGuard != Guard::None && BrokenGuard != Guard::Sync)
        return;
    const std::uint64_t count = numberFrom("FOXWING_SCHEDULES", 2000) / 50;
    const std::uint64_t first = numberFrom("FOXWING_SEED", 1);
    std::size_t acknowledged = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const World world = runFinalFault(seed);
        acknowledged += world.acknowledged.size();
        if (!holds(Guard::Sync) && !world.violations.empty())
            return;
        ASSERT_TRUE(world.violations.empty()) << "seed " << seed << ": " << world.violations[0];
    }
    EXPECT_TRUE(holds(Guard::Sync)) << "the missing sync was not noticed";
    EXPECT_GT(acknowledged, count * 10);
}

} // namespace
} // namespace foxwing::quorum
