/*
    Golden tests: sessions whose messages and replies, in virtual time, must match recorded files.
    FOXWING_UPDATE_GOLDEN=1 rewrites the files; review the difference before you commit it.

    Traces of the workloads of both deployments are replayed and checked for their outcomes.

    [SECTION] Sessions
    [SECTION] Golden files
    [SECTION] Traces
*/
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

#include "../schedules/simulation.h"

namespace foxwing::schedules {
namespace {

using std::chrono::milliseconds;

// [SECTION] Sessions

struct Scenario
{
    const char *name;
    void (*run)(Session &);
};

void runJob(Session &session)
{
    session.submit("entry0", 3, milliseconds(100), milliseconds(5000));
    session.advance(milliseconds(500));
}

void runResubmission(Session &session)
{
    const std::size_t job = session.submit("entry0", 2, milliseconds(200), milliseconds(5000));
    session.submitAgain("entry1", job);
    session.advance(milliseconds(600));
    session.submitAgain("entry2", job);
    session.submitOtherBody("entry1", job);
    session.fetch("entry0", job);
    session.advance(milliseconds(300));
}

void runCancellation(Session &session)
{
    const std::size_t job = session.submit("entry0", 4, milliseconds(3000), milliseconds(9000));
    session.advance(milliseconds(200));
    session.cancel("entry1", job);
    session.advance(milliseconds(500));
}

void runTaskFails(Session &session)
{
    session.failNextTask();
    session.submit("entry0", 2, milliseconds(100), milliseconds(5000));
    session.advance(milliseconds(500));
}

void runTakeover(Session &session)
{
    const std::size_t job = session.submit("entry0", 3, milliseconds(2000), milliseconds(20000));
    session.advance(milliseconds(200));
    session.crash("entry0");
    session.submitAgain("entry1", job);
    session.advance(milliseconds(8000));
}

void runWorkerLost(Session &session)
{
    session.submit("entry0", 6, milliseconds(6000), milliseconds(20000));
    session.advance(milliseconds(200));
    session.crash("agent0");
    session.crash("agent1");
    session.crash("agent2");
    session.advance(milliseconds(6000));
}

void runLeavingAgent(Session &session)
{
    session.submit("entry0", 3, milliseconds(500), milliseconds(5000));
    session.advance(milliseconds(100));
    session.leave("agent0");
    session.leave("agent1");
    session.leave("agent2");
    session.advance(milliseconds(1000));
    session.submit("entry0", 1, milliseconds(100), milliseconds(1000));
    session.advance(milliseconds(2500));
}

// [SECTION] Golden files

class Golden : public testing::TestWithParam<Scenario>
{ };

TEST_P(Golden, SessionMatchesTheRecording)
{
    Session session;
    GetParam().run(session);
    EXPECT_TRUE(session.report().violations.empty());
    std::string text;
    for (const std::string &line : session.transcript())
        text += line + "\n";
    const std::string path = std::string("tests/golden/") + GetParam().name + ".txt";
    if (std::getenv("FOXWING_UPDATE_GOLDEN"))
        std::ofstream(path) << text;
    std::ifstream file(path);
    std::ostringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(text, expected.str()) << path;
}

INSTANTIATE_TEST_SUITE_P(Table, Golden,
                         testing::Values(Scenario { "Job", runJob },
                                         Scenario { "Resubmission", runResubmission },
                                         Scenario { "Cancellation", runCancellation },
                                         Scenario { "TaskFails", runTaskFails },
                                         Scenario { "Takeover", runTakeover },
                                         Scenario { "WorkerLost", runWorkerLost },
                                         Scenario { "LeavingAgent", runLeavingAgent }),
                         [](const testing::TestParamInfo<Scenario> &given) {
                             return given.param.name;
                         });

// [SECTION] Traces

// Rows of "milliseconds,class,tasks,task milliseconds", the format of the load tool.
struct Trace
{
    const char *name;
    std::size_t complete;
};

class Replay : public testing::TestWithParam<Trace>
{ };

TEST_P(Replay, EveryRowCompletes)
{
    Session session;
    std::ifstream file(std::string("tests/traces/") + GetParam().name + ".csv");
    std::string line;
    milliseconds at { 0 };
    std::size_t rows = 0;
    while (std::getline(file, line)) {
        if (line.empty() || line[0] == '#')
            continue;
        std::istringstream row(line);
        std::string arrival;
        std::string workClass;
        std::string tasks;
        std::string taskTime;
        std::getline(row, arrival, ',');
        std::getline(row, workClass, ',');
        std::getline(row, tasks, ',');
        std::getline(row, taskTime, ',');
        session.advance(milliseconds(std::stol(arrival)) - at);
        at = milliseconds(std::stol(arrival));
        session.submit("entry" + std::to_string(rows % 3), std::stoul(tasks),
                       milliseconds(std::stol(taskTime)), milliseconds(30000));
        ++rows;
    }
    session.advance(milliseconds(30000));
    EXPECT_TRUE(session.report().violations.empty());
    EXPECT_EQ(session.report().complete, GetParam().complete);
    EXPECT_EQ(rows, GetParam().complete);
}

INSTANTIATE_TEST_SUITE_P(Table, Replay,
                         testing::Values(Trace { "habla-svc", 60 }, Trace { "order-desk", 90 }),
                         [](const testing::TestParamInfo<Trace> &given) {
                             return std::string(given.param.name).substr(0, 5);
                         });

} // namespace
} // namespace foxwing::schedules
