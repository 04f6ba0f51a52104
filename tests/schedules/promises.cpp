/*
    Invariants that are checked during and after each schedule.

    [SECTION] Helpers
    [SECTION] Replies
    [SECTION] End of a schedule
*/
#include "worldstate.h"

#include <cstdio>
#include <cstdlib>

namespace foxwing::schedules {

// [SECTION] Helpers

void violate(World &world, const std::string &what)
{
    world.report.violations.push_back(what);
}

std::string keyOf(const entry::SubmitRequest &request)
{
    return request.team + "/" + request.submission;
}

std::string expectedResult(const std::string &job, std::size_t task)
{
    return job + "#" + std::to_string(task);
}

// [SECTION] Replies

namespace {

void checkComplete(World &world, const Work &work, const entry::Reply &reply)
{
    const std::string key = work.request.team + "/" + reply.submission;
    if (reply.answer.results.size() != work.request.payloads.size())
        return violate(world, "partial answer: " + key);
    for (std::size_t i = 0; i < reply.answer.results.size(); ++i) {
        if (reply.answer.results[i] != expectedResult(key, i))
            violate(world, "foreign answer: " + key + " got " + reply.answer.results[i]);
    }
}

void checkNotRun(World &world, const Work &work, const entry::Reply &reply)
{
    const std::string key = work.request.team + "/" + reply.submission;
    // A conflict refers to the other body, and "not found" to the lookup, not to the job.
    const ErrorKind kind = reply.answer.error.kind;
    if (kind == ErrorKind::Conflict || kind == ErrorKind::NotFound)
        return;
    world.saidNotRun.insert(key);
    for (std::size_t i = 0; i < work.request.payloads.size(); ++i) {
        if (world.starts.count(expectedResult(key, i)) != 0)
            violate(world, "\"not run\" said of work that ran: " + key);
    }
}

// A line of a golden file. It has the number of the submission in place of its random id.
std::string replyLine(const World &world, const entry::Reply &reply)
{
    const auto found = world.waiting.find(reply.waiter);
    const std::string who = found == world.waiting.end() ? "?" : std::to_string(found->second.work);
    std::string line = "reply to submission " + who + ": " + toString(reply.answer.outcome);
    if (reply.answer.outcome == Outcome::Complete)
        line += ", " + std::to_string(reply.answer.results.size()) + " results";
    else
        line += std::string(", ") + toString(reply.answer.error.kind) + ", "
                + reply.answer.error.message;
    return line;
}

} // namespace

void checkReply(World &world, const entry::Reply &reply)
{
    if (world.session)
        world.transcript.push_back(replyLine(world, reply));
    if (std::getenv("FOXWING_TRACE"))
        std::printf("%9.3f reply %s %s %s\n", toMilliseconds(world.now.time_since_epoch()),
                    reply.submission.c_str(), toString(reply.answer.outcome),
                    reply.answer.error.message.c_str());
    const auto found = world.waiting.find(reply.waiter);
    if (found == world.waiting.end())
        return violate(world, "a second reply, or one to nobody: " + reply.submission);
    const Work &work = world.works[found->second.work];
    world.waiting.erase(found);
    const Outcome outcome = reply.answer.outcome;
    if (!work.anonymous && reply.submission != work.request.submission)
        violate(world, "foreign answer: " + reply.submission);
    if (outcome == Outcome::Complete) {
        ++world.report.complete;
        checkComplete(world, work, reply);
    } else if (outcome == Outcome::NotRun) {
        ++world.report.notRun;
        checkNotRun(world, work, reply);
    } else if (outcome == Outcome::Failed) {
        ++world.report.failed;
    } else if (outcome == Outcome::Unknown) {
        ++world.report.unknown;
    } else {
        violate(world, "an answer without an outcome: " + reply.submission);
    }
}

// [SECTION] End of a schedule

void checkWaiting(World &world)
{
    constexpr Milliseconds Grace { 2500 };
    for (const auto &item : world.waiting) {
        const Waiting &waiting = item.second;
        const Process &process = world.processes.at(waiting.process);
        const bool alive = process.up && process.incarnation == waiting.incarnation;
        if (alive && world.now > waiting.deadline + Grace)
            violate(world, "no answer: " + keyOf(world.works[waiting.work].request));
    }
}

void checkRecovery(World &world, std::size_t fresh)
{
    const std::string key = keyOf(world.works[fresh].request);
    const std::size_t tasks = world.works[fresh].request.payloads.size();
    for (std::size_t i = 0; i < tasks; ++i) {
        if (world.starts.count(expectedResult(key, i)) == 0)
            return violate(world, "new work did not run after all had healed: " + key);
    }
}

} // namespace foxwing::schedules
