/*
    Scripted sessions: the simulation without random faults.

    [SECTION] Sessions
*/
#include "simulationstate.h"

#include <foxwing/base/submissionid.h>

namespace foxwing::schedules {

// [SECTION] Sessions

Session::Session()
    : m_simulation(std::make_unique<Simulation>())
{
    m_simulation->random.seed(1);
    m_simulation->faultsEnabled = false;
    m_simulation->scripted = true;
    m_simulation->now = Time(Milliseconds(1000));
    setUp(*m_simulation);
    m_simulation->submissions.clear();
    for (auto &item : m_simulation->processes)
        item.second.clockSkew = Milliseconds(0);
    advance(Milliseconds(3000));
    m_simulation->transcript.clear();
}

Session::~Session() = default;

std::size_t Session::submit(const std::string &entry, std::size_t tasks, Milliseconds taskTime,
                            Milliseconds deadline)
{
    Simulation &simulation = *m_simulation;
    const std::size_t number = simulation.submissions.size();
    Submission submission;
    submission.request.team = "team0";
    submission.request.service = ServiceName;
    submission.request.workClass = "class";
    submission.request.timeLeft = deadline;
    submission.request.payloads.assign(tasks, "once");
    submission.request.digest = "digest " + std::to_string(number);
    const WallTime wallTime = wallTimeOf(simulation, simulation.processes.at(entry));
    submission.request.submission = makeSubmissionId(wallTime, simulation.random);
    simulation.submissions.push_back(submission);
    simulation.taskTime = taskTime;
    submitAgain(entry, number);
    return number;
}

namespace {

void submitTo(Simulation &simulation, const std::string &name, std::size_t number,
              entry::SubmitRequest request)
{
    Process &process = simulation.processes.at(name);
    request.waiter = simulation.nextWaiter++;
    simulation.pendingReplies[request.waiter] = { number, name, process.incarnation,
                                                  simulation.now + request.timeLeft, false };
    simulation.transcript.push_back("caller submits " + std::to_string(number) + " at " + name);
    execute(simulation, process,
            entry::submit(*process.entry, request, simulation.now,
                          wallTimeOf(simulation, process)));
}

} // namespace

void Session::submitAgain(const std::string &entry, std::size_t number)
{
    submitTo(*m_simulation, entry, number, m_simulation->submissions[number].request);
}

void Session::submitOtherBody(const std::string &entry, std::size_t number)
{
    entry::SubmitRequest request = m_simulation->submissions[number].request;
    request.digest = "another digest";
    submitTo(*m_simulation, entry, number, request);
}

namespace {

void fetchOrCancelAt(Simulation &simulation, const std::string &name, std::size_t number,
                     bool cancelling)
{
    Process &process = simulation.processes.at(name);
    const entry::SubmitRequest &request = simulation.submissions[number].request;
    const entry::WaiterId waiter = simulation.nextWaiter++;
    const Time deadline = simulation.now + Milliseconds(2000);
    simulation.pendingReplies[waiter] = { number, name, process.incarnation, deadline, true };
    simulation.transcript.push_back(std::string("caller ") + (cancelling ? "cancels " : "fetches ")
                                    + std::to_string(number) + " at " + name);
    execute(simulation, process,
            cancelling ? entry::cancel(*process.entry, waiter, request.team, request.submission,
                                       deadline, simulation.now)
                       : entry::fetch(*process.entry, waiter, request.team, request.submission,
                                      deadline, simulation.now));
}

} // namespace

void Session::fetch(const std::string &entry, std::size_t number)
{
    fetchOrCancelAt(*m_simulation, entry, number, false);
}

void Session::cancel(const std::string &entry, std::size_t number)
{
    fetchOrCancelAt(*m_simulation, entry, number, true);
}

void Session::crash(const std::string &process)
{
    m_simulation->transcript.push_back(process + " crashes");
    schedules::crash(*m_simulation, m_simulation->processes.at(process));
    m_simulation->processes.at(process).restartAt = m_simulation->now + Seconds(60);
}

void Session::pause(const std::string &process, Milliseconds duration)
{
    m_simulation->transcript.push_back(process + " is paused");
    m_simulation->processes.at(process).pausedUntil = m_simulation->now + duration;
}

void Session::leave(const std::string &agent)
{
    m_simulation->transcript.push_back(agent + " leaves");
    Process &process = m_simulation->processes.at(agent);
    execute(*m_simulation, process, agent::leave(*process.agent, m_simulation->now));
}

void Session::failNextTask()
{
    m_simulation->failNext = true;
}

void Session::advance(Milliseconds duration)
{
    advanceTo(*m_simulation, m_simulation->now + duration);
}

std::vector<std::string> Session::transcript() const
{
    return m_simulation->transcript;
}

Report Session::report() const
{
    return m_simulation->report;
}

} // namespace foxwing::schedules
