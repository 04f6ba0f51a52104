/*
    An entry with real connections to a fake control host, agent and caller. Guards against starting
    tasks for a caller that has closed its connection, when the entry has not read the close yet.

    [SECTION] Dialect
    [SECTION] Fixture
    [SECTION] Callers
*/
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

#include "../src/core.h"

namespace foxwing::fleet {
namespace {

using fabric::Socket;

// [SECTION] Dialect

// Every request is a job of one task.
Dialect makeDialect()
{
    Dialect dialect;
    dialect.readCallerRequest = [](const fabric::Request &) {
        return CallerRequest { CallerAction::Submit, "host", "/queue/job", {} };
    };
    dialect.readJob = [](const fabric::Request &, const std::string &rest, Error *) {
        jobs::JobSpec spec;
        spec.id = rest;
        spec.traits.durable = false;
        jobs::StepSpec step;
        step.tasks = 1;
        step.demand = { 1000, 10, 0 };
        step.estimate = Milliseconds(1000);
        spec.steps = { step };
        return std::optional(spec);
    };
    dialect.writeJobAnswer = [](const scheduler::JobAnswer &) {
        return fabric::makeResponse(200, "text/plain", "");
    };
    dialect.writeRefusal = [](CallerRefusal, const std::string &) {
        return fabric::makeResponse(503, "text/plain", "");
    };
    return dialect;
}

// [SECTION] Fixture

fabric::asio::ip::tcp::acceptor listenOnAnyPort(fabric::asio::io_context &io)
{
    return fabric::asio::ip::tcp::acceptor(io,
                                           fabric::Endpoint(fabric::asio::ip::make_address_v4(
                                                                    "127.0.0.1"),
                                                            0));
}

std::string addressOf(const fabric::asio::ip::tcp::acceptor &acceptor)
{
    return fabric::toString(acceptor.local_endpoint());
}

// An address with a free port
std::string freeAddress()
{
    fabric::asio::io_context io;
    return addressOf(listenOnAnyPort(io));
}

FleetSettings makeSettings(const std::string &control)
{
    FleetSettings settings;
    settings.name = "entry";
    settings.callers = freeAddress();
    settings.seeds = { control };
    settings.innerPort = std::stoi(control.substr(control.find(':') + 1));
    return settings;
}

struct EntryTest
{
    EntryTest()
        : agentAcceptor(listenOnAnyPort(peers))
        , controlAcceptor(listenOnAnyPort(peers))
        , core(makeSettings(addressOf(controlAcceptor)))
        , entry(makeEntryRole(core, dialect))
    {
        acceptControl();
        acceptAgent();
    }

    void acceptControl()
    {
        controlAcceptor.async_accept([this](boost::system::error_code error, Socket socket) {
            if (error)
                return;
            control = std::make_unique<Socket>(std::move(socket));
            write(*control, AgreedPush { makeCatalog(), {} });
            write(*control, makeDirectory());
        });
    }

    // Accepts sessions; closes the caller's connection at the second one if closesAtReset.
    void acceptAgent()
    {
        agentAcceptor.async_accept([this](boost::system::error_code error, Socket socket) {
            if (error)
                return;
            agent = std::make_unique<Socket>(std::move(socket));
            agent->async_wait(Socket::wait_read, [this](boost::system::error_code waitError) {
                if (waitError)
                    return;
                write(*agent, makeAccepted());
                ++sessions;
                if (sessions > 1 && closesAtReset)
                    caller->close();
                std::this_thread::sleep_for(LoopDelay);
            });
            acceptAgent();
        });
    }

    static void write(Socket &socket, const Frame &frame)
    {
        const std::string bytes = encodeFrame(frame);
        std::string sent;
        for (unsigned i = 0; i < 4; ++i)
            sent.push_back(static_cast<char>((bytes.size() >> (8 * i)) & 0xffU));
        fabric::asio::write(socket, fabric::asio::buffer(sent + bytes));
    }

    static catalog::Catalog makeCatalog()
    {
        catalog::Catalog catalog;
        catalog.version = 1;
        catalog::QueueDeclaration queue;
        queue.name = "queue";
        queue.host = "host";
        queue.prefix = "/queue/";
        queue.service = "service";
        queue.stretch = 10;
        queue.timeout = Milliseconds(60000);
        catalog.queues = { queue };
        return catalog;
    }

    directory::DirectoryUpdate makeDirectory() const
    {
        directory::NodeInfo info;
        info.name = "agent";
        info.role = directory::Role::Agent;
        info.address = addressOf(agentAcceptor);
        info.incarnation = 1;
        info.service = "service";
        info.capacity = Capacity;
        directory::DirectoryUpdate update;
        update.nodes = { info };
        update.entries = 1;
        return update;
    }

    jobs::SessionAccepted makeAccepted() const
    {
        jobs::SessionAccepted accepted;
        accepted.endpoint.endpointIncarnation = "life";
        accepted.endpoint.service = "service";
        accepted.endpoint.capacity = Capacity;
        if (sessions > 0 || freeAtOnce)
            accepted.endpoint.free = Capacity;
        accepted.endpoint.maxStarts = 100;
        return accepted;
    }

    void call()
    {
        caller = std::make_unique<Socket>(peers);
        caller->connect(*fabric::parseEndpoint(core.settings.callers, nullptr));
        const std::string request = "POST /queue/job HTTP/1.1\r\nHost: host\r\n\r\n";
        fabric::asio::write(*caller, fabric::asio::buffer(request));
    }

    double sample(const std::string &name) const
    {
        for (const metrics::Sample &sample : entry->samples()) {
            if (sample.name == name)
                return sample.value;
        }
        ADD_FAILURE() << "no metric " << name;
        return -1;
    }

    // Runs the loops alternately until the condition holds; returns false after 5 s.
    template<class Done>
    bool runUntil(Done done)
    {
        const Time end = steadyNow() + Milliseconds(5000);
        while (!done() && steadyNow() < end) {
            peers.restart();
            peers.poll();
            core.io.restart();
            core.io.run_for(Milliseconds(1));
            entry->tick(steadyNow());
        }
        return done();
    }

    // Delays the entry's loop while a SessionAccepted is unread: longer than the result of a caller
    // probe is valid, and too short to count as a pause.
    static constexpr Milliseconds LoopDelay { 10 };
    static inline const jobs::ResourceVector Capacity { 4000, 10000, 0 };
    bool freeAtOnce = true;
    bool closesAtReset = false;
    int sessions = 0;

    // Event loop of control, agent and caller, separate from the entry's
    fabric::asio::io_context peers { 1 };
    fabric::asio::ip::tcp::acceptor agentAcceptor;
    fabric::asio::ip::tcp::acceptor controlAcceptor;
    std::unique_ptr<Socket> control;
    std::unique_ptr<Socket> agent;
    std::unique_ptr<Socket> caller;
    Dialect dialect = makeDialect();
    Core core;
    std::unique_ptr<NodeRole> entry;
};

// [SECTION] Callers

struct CallerCase
{
    const char *name;

    // The session is lost while the job waits, and reopened with free capacity.
    bool reset;

    // The caller closes its connection right after its request or, with a reset, right after the
    // agent's second SessionAccepted.
    bool closes;
    int starts;
    int callersFoundGone;
};

std::ostream &operator<<(std::ostream &out, const CallerCase &given)
{
    return out << given.name;
}

class CallerProbes : public testing::TestWithParam<CallerCase>
{ };

TEST_P(CallerProbes, PreventStartsForClosedConnections)
{
    EntryTest test;
    test.freeAtOnce = !GetParam().reset;
    test.closesAtReset = GetParam().reset && GetParam().closes;
    Error reason;
    ASSERT_TRUE(test.entry->start(&reason)) << reason.message;
    ASSERT_TRUE(test.runUntil([&] {
        return test.sample("foxwing_agents") == 1 && test.sample("foxwing_catalog_version") == 1
                && test.sessions == 1;
    }));
    test.call();
    if (GetParam().reset) {
        ASSERT_TRUE(test.runUntil([&] { return test.sample("foxwing_jobs_waiting") == 1; }));
        test.agent->close();
    } else if (GetParam().closes) {
        test.caller->close();
    }
    EXPECT_TRUE(test.runUntil([&] {
        return test.sample("foxwing_starts_total") + test.sample("foxwing_callers_found_gone_total")
                > 0;
    }));
    EXPECT_EQ(test.sample("foxwing_starts_total"), GetParam().starts);
    EXPECT_EQ(test.sample("foxwing_callers_found_gone_total"), GetParam().callersFoundGone);
    EXPECT_EQ(test.sample("foxwing_jobs_open"), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(Fleet, CallerProbes,
                         testing::Values(CallerCase { "Open", false, false, 1, 0 },
                                         CallerCase { "ClosedAtArrival", false, true, 0, 1 },
                                         CallerCase { "OpenAfterReset", true, false, 1, 0 },
                                         CallerCase { "ClosedAtReset", true, true, 0, 1 }),
                         [](const auto &given) { return given.param.name; });

} // namespace
} // namespace foxwing::fleet
