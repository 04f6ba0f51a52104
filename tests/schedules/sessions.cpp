/*
    Scripted sessions: the simulation without random faults.

    [SECTION] Sessions
*/
#include "worldstate.h"

#include <foxwing/base/submissionid.h>

namespace foxwing::schedules {

// [SECTION] Sessions

Session::Session()
    : m_world(std::make_unique<World>())
{
    m_world->random.seed(1);
    m_world->chaos = false;
    m_world->session = true;
    m_world->now = Time(Milliseconds(1000));
    setUp(*m_world);
    m_world->works.clear();
    for (auto &item : m_world->processes)
        item.second.skew = Milliseconds(0);
    advance(Milliseconds(3000));
    m_world->transcript.clear();
}

Session::~Session() = default;

std::size_t Session::submit(const std::string &entry, std::size_t tasks, Milliseconds taskTime,
                            Milliseconds deadline)
{
    World &world = *m_world;
    const std::size_t number = world.works.size();
    Work work;
    work.request.team = "team0";
    work.request.service = ServiceName;
    work.request.workClass = "class";
    work.request.timeLeft = deadline;
    work.request.payloads.assign(tasks, "once");
    work.request.digest = "digest " + std::to_string(number);
    const WallTime wall = wallOf(world, world.processes.at(entry));
    work.request.submission = makeSubmissionId(wall, world.random);
    world.works.push_back(work);
    world.taskTime = taskTime;
    submitAgain(entry, number);
    return number;
}

namespace {

void submitTo(World &world, const std::string &name, std::size_t number,
              entry::SubmitRequest request)
{
    Process &process = world.processes.at(name);
    request.waiter = world.nextWaiter++;
    world.waiting[request.waiter] = { number, name, process.incarnation,
                                      world.now + request.timeLeft, false };
    world.transcript.push_back("caller submits " + std::to_string(number) + " at " + name);
    carryOut(world, process,
             entry::submit(*process.entry, request, world.now, wallOf(world, process)));
}

} // namespace

void Session::submitAgain(const std::string &entry, std::size_t number)
{
    submitTo(*m_world, entry, number, m_world->works[number].request);
}

void Session::submitOtherBody(const std::string &entry, std::size_t number)
{
    entry::SubmitRequest request = m_world->works[number].request;
    request.digest = "another digest";
    submitTo(*m_world, entry, number, request);
}

namespace {

void lookUpAt(World &world, const std::string &name, std::size_t number, bool cancelling)
{
    Process &process = world.processes.at(name);
    const entry::SubmitRequest &request = world.works[number].request;
    const entry::WaiterId waiter = world.nextWaiter++;
    const Time deadline = world.now + Milliseconds(2000);
    world.waiting[waiter] = { number, name, process.incarnation, deadline, true };
    world.transcript.push_back(std::string("caller ") + (cancelling ? "cancels " : "fetches ")
                               + std::to_string(number) + " at " + name);
    carryOut(world, process,
             cancelling ? entry::cancel(*process.entry, waiter, request.team, request.submission,
                                        deadline, world.now)
                        : entry::fetch(*process.entry, waiter, request.team, request.submission,
                                       deadline, world.now));
}

} // namespace

void Session::fetch(const std::string &entry, std::size_t number)
{
    lookUpAt(*m_world, entry, number, false);
}

void Session::cancel(const std::string &entry, std::size_t number)
{
    lookUpAt(*m_world, entry, number, true);
}

void Session::crash(const std::string &process)
{
    m_world->transcript.push_back(process + " crashes");
    schedules::crash(*m_world, m_world->processes.at(process));
    m_world->processes.at(process).restartAt = m_world->now + Seconds(60);
}

void Session::pause(const std::string &process, Milliseconds span)
{
    m_world->transcript.push_back(process + " stands still");
    m_world->processes.at(process).pausedUntil = m_world->now + span;
}

void Session::leave(const std::string &agent)
{
    m_world->transcript.push_back(agent + " leaves");
    Process &process = m_world->processes.at(agent);
    carryOut(*m_world, process, agent::leave(*process.agent, m_world->now));
}

void Session::failNextTask()
{
    m_world->failNext = true;
}

void Session::advance(Milliseconds span)
{
    advanceWorld(*m_world, m_world->now + span);
}

std::vector<std::string> Session::transcript() const
{
    return m_world->transcript;
}

Report Session::report() const
{
    return m_world->report;
}

} // namespace foxwing::schedules
