/*
    Replays recorded sessions in virtual time: HTTP messages go through the platform's dialect, the
    scheduler and the runner, and the messages sent are compared with the recorded ones.

    A session file has input lines, each followed by the indented lines sent in response:

        wait 20                          advances the time (milliseconds), with ticks every 20
        beat PUT /instances/i-1 {...}    a request of the endpoint to its agent
        call POST /q/ID {...}            a request of a caller to the entry
        gone                             the last caller closes its connection
        order 200 {...}                  the endpoint's response to its oldest pending command
        order none                       that command gets no response
        look 200 {...}                   the endpoint's response to the pending poll

    FOXWING_UPDATE=1 rewrites the files; review the difference before committing it.

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

constexpr std::uint64_t SessionNumber = 1;
const char *const AgentName = "agent-1";

// A command that the endpoint has not answered yet
struct PendingCommand
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
        execute(scheduler::agentConnected(m_entry, AgentName, m_now));
        execute(runner::handleCordons(m_agent, {}, runner::CordonSource::Control, m_now));
        execute(runner::openSession(m_agent, SessionNumber, "entry-1", m_now));
    }

    // Handles one line of input; returns the lines sent.
    std::vector<std::string> handle(const std::string &line)
    {
        m_out.clear();
        std::istringstream words(line);
        std::string kind;
        words >> kind;
        if (kind == "wait")
            wait(words);
        else if (kind == "beat")
            heartbeat(readRequest(words));
        else if (kind == "call")
            call(readRequest(words));
        else if (kind == "gone")
            execute(scheduler::abandon(m_entry, m_number, m_now));
        else if (kind == "order")
            answerCommand(words);
        else if (kind == "look")
            answerPoll(words);
        else
            ADD_FAILURE() << "unknown line: " << line
                          << "; see the comment at the top of this file";
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
        std::int64_t duration = 0;
        words >> duration;
        const Time end = m_now + Milliseconds(duration);
        while (m_now < end) {
            m_now = std::min(end, m_now + Milliseconds(20));
            execute(scheduler::tick(m_entry, m_now));
            execute(runner::tick(m_agent, m_now));
        }
    }

    void heartbeat(const fabric::Request &request)
    {
        Error reason;
        const auto endpointRequest = platform::dialect().readEndpointRequest(request, &reason);
        write(platform::dialect().writeEndpointResponse(endpointRequest.has_value(),
                                                        reason.message));
        if (endpointRequest)
            execute(runner::handleHeartbeat(m_agent, endpointRequest->report, m_now));
    }

    void call(const fabric::Request &request)
    {
        const fleet::Dialect &dialect = platform::dialect();
        const fleet::CallerRequest callerRequest = dialect.readCallerRequest(request);
        const auto *queue = catalog::findQueue(m_catalog, callerRequest.host, callerRequest.path);
        if (!queue)
            return write(dialect.writeRefusal(fleet::CallerRefusal::NoSuchQueue, "no queue"));
        Error reason;
        const auto job = dialect.readJob(request, callerRequest.path.substr(queue->prefix.size()),
                                         &reason);
        if (!job)
            return write(dialect.writeRefusal(fleet::CallerRefusal::BadRequest, reason.message));
        scheduler::JobOptions options;
        options.queue = queue->name;
        options.service = queue->service;
        options.maxAttempts = queue->maxAttempts;
        options.stretch = queue->stretch;
        options.targetLatency = queue->targetLatency;
        options.startDeadline = m_now + queue->timeout;
        execute(scheduler::submit(m_entry, *job, options, m_now, &m_number));
    }

    void answerCommand(std::istringstream &words)
    {
        ASSERT_FALSE(m_commands.empty()) << "no command is pending";
        const PendingCommand command = m_commands.front();
        m_commands.pop_front();
        const auto response = readResponse(words);
        const runner::CommandResult result = response
                ? platform::dialect().readCommandResult(*response)
                : runner::CommandResult();
        execute(command.isStart ? runner::handleStartResult(m_agent, command.id, result, m_now)
                                : runner::handleStopResult(m_agent, command.id, result, m_now));
    }

    void answerPoll(std::istringstream &words)
    {
        const auto response = readResponse(words);
        const runner::PollResult poll = response ? platform::dialect().readPollResult(*response)
                                                 : runner::PollResult();
        execute(runner::handlePollResult(m_agent, m_agent.pollNumber, poll, m_now));
    }

    void write(const fabric::Request &request)
    {
        m_out.push_back("-> endpoint " + std::string(request.target()) + " " + request.body());
    }

    void write(const fabric::Response &response)
    {
        m_out.push_back("-> " + std::to_string(response.result_int()) + " " + response.body());
    }

    void execute(const runner::RunnerActions &actions)
    {
        const fleet::Dialect &dialect = platform::dialect();
        for (const runner::StopCommand &command : actions.stops) {
            m_commands.push_back({ false, command.id });
            write(dialect.writeStop(command));
        }
        for (const runner::StartCommand &command : actions.starts) {
            m_commands.push_back({ true, command.id });
            write(dialect.writeStart(command));
        }
        if (actions.poll)
            write(dialect.writePoll(*actions.poll));
        for (const auto &[session, accepted] : actions.acceptances)
            execute(scheduler::agentAccepted(m_entry, AgentName, accepted, m_now));
        for (const auto &[session, update] : actions.updates)
            execute(scheduler::agentUpdated(m_entry, AgentName, update, m_now));
    }

    void execute(const scheduler::SchedulerActions &actions)
    {
        for (const scheduler::JobAnswer &answer : actions.answers)
            write(platform::dialect().writeJobAnswer(answer));
        for (const scheduler::AgentSend &send : actions.sends) {
            if (const auto *start = std::get_if<jobs::StartTasks>(&send.message))
                execute(runner::startTasks(m_agent, SessionNumber, *start, m_now));
            else if (const auto *stop = std::get_if<jobs::StopRuns>(&send.message))
                execute(runner::stopRuns(m_agent, SessionNumber, *stop, m_now));
            else if (const auto *heartbeat = std::get_if<jobs::SessionHeartbeat>(&send.message))
                execute(runner::handleSessionHeartbeat(m_agent, SessionNumber, *heartbeat, m_now));
        }
    }

    Time m_now { Seconds(100) };
    catalog::Catalog m_catalog;
    scheduler::SchedulerState m_entry = scheduler::makeScheduler({});
    runner::RunnerState m_agent = runner::makeRunner({}, 1, 1000);
    std::deque<PendingCommand> m_commands;
    std::uint64_t m_number = 0;
    std::vector<std::string> m_out;
};

// [SECTION] Tests

class Replay : public testing::TestWithParam<const char *>
{ };

TEST_P(Replay, MatchesRecordedOutput)
{
    const std::string path = std::string("tests/fleet/sessions/") + GetParam() + ".txt";
    std::ifstream file(path);
    ASSERT_TRUE(file) << path << ": run this from the project's root folder";
    Session session;
    std::string recorded;
    std::string replayed;
    for (std::string line; std::getline(file, line);) {
        recorded += line + "\n";
        if (line.rfind("    ", 0) == 0)
            continue;
        replayed += line + "\n";
        if (line.empty() || line.front() == '#')
            continue;
        for (const std::string &out : session.handle(line))
            replayed += "    " + out + "\n";
    }
    file.close();
    if (std::getenv("FOXWING_UPDATE"))
        std::ofstream(path) << replayed;
    else
        EXPECT_EQ(replayed, recorded);
}

INSTANTIATE_TEST_SUITE_P(Fleet, Replay,
                         testing::Values("served", "fails_then_served", "unanswered",
                                         "never_answered", "caller_gone", "draining", "refused"),
                         [](const auto &given) { return std::string(given.param); });

} // namespace
} // namespace foxwing::test
