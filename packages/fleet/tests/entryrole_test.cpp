/*
    An entry on real connections, with a pretended control host, agent and caller in the same loop:
    what it does for a caller whose connection ended while that lay unread.

    [SECTION] Dialect
    [SECTION] Site
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

// [SECTION] Site

fabric::asio::ip::tcp::acceptor anyPort(fabric::asio::io_context &io)
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

// A port that was free a moment ago
std::string freeAddress()
{
    fabric::asio::io_context io;
    return addressOf(anyPort(io));
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

struct Site
{
    Site()
        : agentAcceptor(anyPort(others))
        , controlAcceptor(anyPort(others))
        , core(makeSettings(addressOf(controlAcceptor)))
        , entry(makeEntryShell(core, dialect))
    {
        acceptControl();
        acceptAgent();
    }

    void acceptControl()
    {
        controlAcceptor.async_accept([this](boost::system::error_code wrong, Socket socket) {
            if (wrong)
                return;
            control = std::make_unique<Socket>(std::move(socket));
            write(*control, AgreedPush { catalogOf(), {} });
            write(*control, directoryOf());
        });
    }

    // A session opens: the agent welcomes the entry, and what is to happen at that moment does.
    void acceptAgent()
    {
        agentAcceptor.async_accept([this](boost::system::error_code wrong, Socket socket) {
            if (wrong)
                return;
            agent = std::make_unique<Socket>(std::move(socket));
            agent->async_wait(Socket::wait_read, [this](boost::system::error_code ended) {
                if (ended)
                    return;
                write(*agent, welcome());
                ++sessions;
                if (sessions > 1 && leavesAtReset)
                    caller->close();
                std::this_thread::sleep_for(HeldUp);
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

    static catalog::Catalog catalogOf()
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

    directory::DirectoryUpdate directoryOf() const
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

    jobs::SessionAccepted welcome() const
    {
        jobs::SessionAccepted welcome;
        welcome.endpoint.endpointIncarnation = "life";
        welcome.endpoint.service = "service";
        welcome.endpoint.capacity = Capacity;
        if (sessions > 0 || roomAtOnce)
            welcome.endpoint.free = Capacity;
        welcome.endpoint.maxStarts = 100;
        return welcome;
    }

    void call()
    {
        caller = std::make_unique<Socket>(others);
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

    // The two loops take turns; the entry's does all that has come before the others go on.
    template<class Done>
    bool until(Done done)
    {
        const Time end = steadyNow() + Milliseconds(5000);
        while (!done() && steadyNow() < end) {
            others.restart();
            others.poll();
            core.io.restart();
            core.io.run_for(Milliseconds(1));
            entry->tick(steadyNow());
        }
        return done();
    }

    // While a welcome lies in the entry's socket its loop is held up: longer than a look at callers
    // is trusted, and too short to count as a pause.
    static constexpr Milliseconds HeldUp { 10 };
    static inline const jobs::ResourceVector Capacity { 4000, 10000, 0 };
    bool roomAtOnce = true;
    bool leavesAtReset = false;
    int sessions = 0;

    // Of control, agent and caller, so that the entry's loop holds nothing else
    fabric::asio::io_context others { 1 };
    fabric::asio::ip::tcp::acceptor agentAcceptor;
    fabric::asio::ip::tcp::acceptor controlAcceptor;
    std::unique_ptr<Socket> control;
    std::unique_ptr<Socket> agent;
    std::unique_ptr<Socket> caller;
    Dialect dialect = makeDialect();
    Core core;
    std::unique_ptr<RoleShell> entry;
};

// [SECTION] Callers

struct CallerCase
{
    const char *name;

    // The session is lost while the job waits, and comes back with room.
    bool reset;

    // The caller's connection ends right behind its request or, with a reset, right behind the
    // agent's second welcome.
    bool leaves;
    int starts;
    int foundGone;
};

std::ostream &operator<<(std::ostream &out, const CallerCase &tested)
{
    return out << tested.name;
}

class Callers : public testing::TestWithParam<CallerCase>
{ };

TEST_P(Callers, WhoAreGoneGetNothingPlaced)
{
    Site site;
    site.roomAtOnce = !GetParam().reset;
    site.leavesAtReset = GetParam().reset && GetParam().leaves;
    Error reason;
    ASSERT_TRUE(site.entry->start(&reason)) << reason.message;
    ASSERT_TRUE(site.until([&] {
        return site.sample("foxwing_agents") == 1 && site.sample("foxwing_catalog_version") == 1
                && site.sessions == 1;
    }));
    site.call();
    if (GetParam().reset) {
        ASSERT_TRUE(site.until([&] { return site.sample("foxwing_jobs_waiting") == 1; }));
        site.agent->close();
    } else if (GetParam().leaves) {
        site.caller->close();
    }
    EXPECT_TRUE(site.until([&] {
        return site.sample("foxwing_starts_total") + site.sample("foxwing_callers_found_gone_total")
                > 0;
    }));
    EXPECT_EQ(site.sample("foxwing_starts_total"), GetParam().starts);
    EXPECT_EQ(site.sample("foxwing_callers_found_gone_total"), GetParam().foundGone);
    EXPECT_EQ(site.sample("foxwing_jobs_open"), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(Fleet, Callers,
                         testing::Values(CallerCase { "Stays", false, false, 1, 0 },
                                         CallerCase { "GoneAtArrival", false, true, 0, 1 },
                                         CallerCase { "StaysThroughAReset", true, false, 1, 0 },
                                         CallerCase { "GoneAtAReset", true, true, 0, 1 }),
                         [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::fleet
