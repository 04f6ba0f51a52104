/*
    Simulates many agents in one process against real control hosts: each sends a heartbeat once a
    second, as an agent does, and counts the replies.

        heartbeats CONTROL_ADDRESS SECRET AGENTS SECONDS PORT

    Prints the numbers of heartbeats and replies and their bytes per node and second. The script
    that runs this program reads the resource use of the control process.

    [SECTION] Agents
    [SECTION] Main
*/
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <foxwing/base/clock.h>
#include <foxwing/base/codec.h>
#include <foxwing/control/messages.h>
#include <foxwing/control/reporter.h>
#include <foxwing/wire/rpcserver.h>
#include <foxwing/wire/senderpool.h>

using namespace foxwing;

namespace {

// [SECTION] Agents

struct FakeAgent
{
    control::Reporter reporter;
};

class FakeAgents
{
public:
    FakeAgents(std::size_t count, const std::string &address)
        : m_agents(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            control::Heartbeat identity;
            identity.id = "stand-in-" + std::to_string(i);
            identity.incarnation = i + 1;
            identity.address = address;
            identity.dataCentre = "dc" + std::to_string(i % 15);
            identity.isAgent = true;
            identity.service = "svc";
            identity.slots = 8;
            m_agents[i].reporter = control::makeReporter(identity);
        }
    }

    control::Heartbeat nextHeartbeat(std::size_t number)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return control::nextHeartbeat(m_agents[number].reporter, steadyNow());
    }

    // Updates don't name the agent; the incarnation is unique per agent here and identifies it.
    void handleReply(const wire::Envelope &envelope)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const Json::Value &message : envelope.messages) {
            ++replies;
            replyBytes += writeJson(message).size();
            Error ignored;
            const auto decoded = decodeMessage<control::FromControl>(message, &ignored);
            if (!decoded)
                continue;
            const control::Update &update = std::get<control::Update>(*decoded);
            if (update.incarnation >= 1 && update.incarnation <= m_agents.size())
                control::acceptUpdate(m_agents[update.incarnation - 1].reporter, update);
        }
    }

    std::atomic<std::uint64_t> replies { 0 };
    std::atomic<std::uint64_t> replyBytes { 0 };

private:
    std::mutex m_mutex;
    std::vector<FakeAgent> m_agents;
};

} // namespace

// [SECTION] Main

int main(int argc, char **argv)
{
    if (argc != 6) {
        std::fprintf(stderr, "use: heartbeats CONTROL_ADDRESS SECRET AGENTS SECONDS PORT\n");
        return 2;
    }
    const std::string control = argv[1];
    const auto count = static_cast<std::size_t>(std::atol(argv[3]));
    const int seconds = std::atoi(argv[4]);
    const std::string address = std::string("127.0.0.1:") + argv[5];
    FakeAgents agents(count, address);
    wire::RpcServerSettings serverSettings;
    serverSettings.port = std::atoi(argv[5]);
    serverSettings.secret = argv[2];
    wire::RpcServer server(serverSettings,
                           [&](wire::Envelope &&envelope) { agents.handleReply(envelope); });
    Error reason;
    if (!server.start(&reason)) {
        std::fprintf(stderr, "%s\n", reason.message.c_str());
        return 1;
    }
    // A real agent has its own connection. With separate pools, calls of many agents aren't
    // batched.
    std::vector<std::unique_ptr<wire::SenderPool>> pools;
    constexpr std::size_t Pools = 40;
    for (std::size_t i = 0; i < std::min(Pools, count); ++i) {
        wire::SenderSettings senderSettings;
        senderSettings.threads = 1;
        senderSettings.from = "stand-in-" + std::to_string(i);
        senderSettings.address = address;
        senderSettings.secret = argv[2];
        senderSettings.maxBatchSize = 1;
        pools.push_back(std::make_unique<wire::SenderPool>(senderSettings,
                                                           [](const std::string &,
                                                              std::vector<Json::Value> &&) {}));
    }
    std::uint64_t heartbeats = 0;
    std::uint64_t heartbeatBytes = 0;
    const auto start = std::chrono::steady_clock::now();
    const auto interval = std::chrono::nanoseconds(1000000000LL / static_cast<std::int64_t>(count));
    const auto total = static_cast<std::size_t>(seconds) * count;
    for (std::size_t i = 0; i < total; ++i) {
        std::this_thread::sleep_until(start + interval * static_cast<std::int64_t>(i));
        std::variant<control::Heartbeat> message = agents.nextHeartbeat(i % count);
        Json::Value json = encodeMessage(message);
        heartbeatBytes += writeJson(json).size();
        ++heartbeats;
        pools[i % pools.size()]->send(control, std::move(json));
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const double nodeSeconds = static_cast<double>(count) * seconds;
    std::printf("agents %zu beats %llu answers %llu, bytes a node and second: sent %.0f received "
                "%.0f\n",
                count, static_cast<unsigned long long>(heartbeats),
                static_cast<unsigned long long>(agents.replies.load()),
                static_cast<double>(heartbeatBytes) / nodeSeconds,
                static_cast<double>(agents.replyBytes.load()) / nodeSeconds);
    return 0;
}
