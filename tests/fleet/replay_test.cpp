/*
    Replays of whole sessions: wire messages in, wire messages out, through the adapter and the
    decisions, in virtual time.

    A session file holds lines of what comes in; below each stands what went out, indented:

        wait 20                          time goes by, in milliseconds, with ticks every 20
        beat PUT /instances/i-1 {...}    the endpoint calls its agent
        call POST /q/ID {...}            a caller calls the entry
        gone                             the last caller closes its connection
        order 200 {...}                  the endpoint answers its oldest order under way
        order none                       that order gets no answer
        look 200 {...}                   the endpoint answers the look under way

    FOXWING_UPDATE=1 writes what goes out now into the files; read the difference before you keep
   it.

    [SECTION] Session
    [SECTION] Tests
*/
#include <cstdlib>
#include <deque>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

#include <foxwing/platform/dialect.h>

namespace foxwing::test {
namespace {

// [SECTION] Session

constexpr std::uint64_t TheSession = 1;
const char *const TheAgent = "agent-1";

// An order that the endpoint has not answered yet.
struct PendingOrder
{
    bool isStart = false;
    jobs::RunId id;
};

class Session
{
public:
    Session()
    {
        catalog::QueueDeclaration queue;
        queue.name = "q";
        queue.host = "a.example";
        queue.prefix = "/q/";
        queue.service = "align";
        queue.maxAttempts = 2;
        queue.stretch = 1.6;
        queue.targetLatency = Milliseconds(60);
        queue.timeout = Milliseconds(1500);
        m_catalog.version = 1;
        m_catalog.queues = { queue };
        carryOut(scheduler::agentConnected(m_entry, TheAgent, m_now));
        carryOut(runner::handleCordons(m_agent, {}, runner::CordonSource::Control, m_now));
        carryOut(runner::openSession(m_agent, TheSession, "entry-1", m_now));
    }

    // One line of input; what goes out, a line each.
    std::vector<std::string> take(const std::string &line)
    {
        m_out.clear();
        std::istringstream words(line);
        std::string what;
        words >> what;
        if (what == "wait")
            wait(words);
        else if (what == "beat")
            heartbeat(readRequest(words));
        else if (what == "call")
            call(readRequest(words));
        else if (what == "gone")
            carryOut(scheduler::abandon(m_entry, m_number, m_now));
        else if (what == "order")
            answerOrder(words);
        else if (what == "look")
            answerLook(words);
        else
            ADD_FAILURE() << "unknown line: " << line << "; see the head of this file";
        return m_out;
    }

private:
    static fabric::Request readRequest(std::istringstream &words)
    {
        std::string method;
        std::string target;
        std::string body;
        words >> method >> target >> std::ws;
        std::getline(words, body);
        fabric::Request request(fabric::http::string_to_verb(method), target, 11);
        request.set(fabric::http::field::host, "a.example");
        request.body() = body;
        return request;
    }

    static std::optional<fabric::Response> readResponse(std::istringstream &words)
    {
        std::string status;
        std::string body;
        words >> status >> std::ws;
        std::getline(words, body);
        if (status == "none")
            return std::nullopt;
        return fabric::makeResponse(static_cast<unsigned>(std::stoul(status)), "application/json",
                                    body);
    }

    void wait(std::istringstream &words)
    {
        std::int64_t span = 0;
        words >> span;
        const Time end = m_now + Milliseconds(span);
        while (m_now < end) {
            m_now = std::min(end, m_now + Milliseconds(20));
            carryOut(scheduler::tick(m_entry, m_now));
            carryOut(runner::tick(m_agent, m_now));
        }
    }

    void heartbeat(const fabric::Request &request)
    {
        Error reason;
        const auto heard = platform::dialect().readEndpointCall(request, &reason);
        write(platform::dialect().writeEndpointAnswer(heard.has_value(), reason.message));
        if (heard)
            carryOut(runner::handleHeartbeat(m_agent, heard->report, m_now));
    }

    void call(const fabric::Request &request)
    {
        const fleet::Dialect &dialect = platform::dialect();
        const fleet::CallerCall call = dialect.readCall(request);
        const auto *queue = catalog::findQueue(m_catalog, call.host, call.path);
        if (!queue)
            return write(dialect.writeRefusal(fleet::CallerRefusal::NoSuchQueue, "no queue"));
        Error reason;
        const auto job = dialect.readJob(request, call.path.substr(queue->prefix.size()), &reason);
        if (!job)
            return write(dialect.writeRefusal(fleet::CallerRefusal::BadRequest, reason.message));
        scheduler::JobOptions options;
        options.queue = queue->name;
        options.service = queue->service;
        options.maxAttempts = queue->maxAttempts;
        options.stretch = queue->stretch;
        options.targetLatency = queue->targetLatency;
        options.startDeadline = m_now + queue->timeout;
        carryOut(scheduler::submit(m_entry, *job, options, m_now, &m_number));
    }

    void answerOrder(std::istringstream &words)
    {
        ASSERT_FALSE(m_orders.empty()) << "no order is under way";
        const PendingOrder order = m_orders.front();
        m_orders.pop_front();
        const auto response = readResponse(words);
        const runner::CommandResult result = response ? platform::dialect().readAnswer(*response)
                                                      : runner::CommandResult();
        carryOut(order.isStart ? runner::handleStartResult(m_agent, order.id, result, m_now)
                               : runner::handleStopResult(m_agent, order.id, result, m_now));
    }

    void answerLook(std::istringstream &words)
    {
        const auto response = readResponse(words);
        const runner::PollResult poll = response ? platform::dialect().readPoll(*response)
                                                 : runner::PollResult();
        carryOut(runner::handlePollResult(m_agent, m_agent.pollNumber, poll, m_now));
    }

    void write(const fabric::Request &request)
    {
        m_out.push_back("-> endpoint " + std::string(request.target()) + " " + request.body());
    }

    void write(const fabric::Response &response)
    {
        m_out.push_back("-> " + std::to_string(response.result_int()) + " " + response.body());
    }

    void carryOut(const runner::RunnerActions &actions)
    {
        const fleet::Dialect &dialect = platform::dialect();
        for (const runner::StopCommand &order : actions.stops) {
            m_orders.push_back({ false, order.id });
            write(dialect.writeStop(order));
        }
        for (const runner::StartCommand &order : actions.starts) {
            m_orders.push_back({ true, order.id });
            write(dialect.writeStart(order));
        }
        if (actions.poll)
            write(dialect.writePoll(*actions.poll));
        for (const auto &[session, welcome] : actions.acceptances)
            carryOut(scheduler::agentAccepted(m_entry, TheAgent, welcome, m_now));
        for (const auto &[session, update] : actions.updates)
            carryOut(scheduler::agentUpdated(m_entry, TheAgent, update, m_now));
    }

    void carryOut(const scheduler::SchedulerActions &actions)
    {
        for (const scheduler::JobAnswer &answer : actions.answers)
            write(platform::dialect().writeJobAnswer(answer));
        for (const scheduler::AgentSend &send : actions.sends) {
            if (const auto *start = std::get_if<jobs::StartTasks>(&send.message))
                carryOut(runner::startTasks(m_agent, TheSession, *start, m_now));
            else if (const auto *stop = std::get_if<jobs::StopRuns>(&send.message))
                carryOut(runner::stopRuns(m_agent, TheSession, *stop, m_now));
            else if (const auto *heartbeat = std::get_if<jobs::SessionHeartbeat>(&send.message))
                carryOut(runner::handleSessionHeartbeat(m_agent, TheSession, *heartbeat, m_now));
        }
    }

    Time m_now { Seconds(100) };
    catalog::Catalog m_catalog;
    scheduler::SchedulerState m_entry = scheduler::makeScheduler({});
    runner::RunnerState m_agent = runner::makeRunner({}, 1, 1000);
    std::deque<PendingOrder> m_orders;
    std::uint64_t m_number = 0;
    std::vector<std::string> m_out;
};

// [SECTION] Tests

class Replay : public testing::TestWithParam<const char *>
{ };

TEST_P(Replay, GivesWhatWasRecorded)
{
    const std::string path = std::string("tests/fleet/sessions/") + GetParam() + ".txt";
    std::ifstream file(path);
    ASSERT_TRUE(file) << path << ": run this from the top of the project";
    Session session;
    std::string recorded;
    std::string played;
    for (std::string line; std::getline(file, line);) {
        recorded += line + "\n";
        if (line.rfind("    ", 0) == 0)
            continue;
        played += line + "\n";
        if (line.empty() || line.front() == '#')
            continue;
        for (const std::string &out : session.take(line))
            played += "    " + out + "\n";
    }
    file.close();
    if (std::getenv("FOXWING_UPDATE"))
        std::ofstream(path) << played;
    else
        EXPECT_EQ(played, recorded);
}

INSTANTIATE_TEST_SUITE_P(Fleet, Replay,
                         testing::Values("served", "fails_then_served", "unanswered",
                                         "never_answered", "caller_gone", "draining", "refused"),
                         [](const auto &tested) { return std::string(tested.param); });

} // namespace
} // namespace foxwing::test
