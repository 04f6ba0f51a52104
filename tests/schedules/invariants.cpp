/*
    Invariants that are checked during and after each schedule.

    [SECTION] Helpers
    [SECTION] Replies
    [SECTION] End of a schedule
*/
#include "simulationstate.h"

#include <cstdio>
#include <cstdlib>

namespace foxwing::schedules {

// [SECTION] Helpers

void recordViolation(Simulation &simulation, const std::string &what)
{
    simulation.report.violations.push_back(what);
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

void checkComplete(Simulation &simulation, const Submission &submission, const entry::Reply &reply)
{
    const std::string key = submission.request.team + "/" + reply.submission;
    if (reply.answer.results.size() != submission.request.payloads.size())
        return recordViolation(simulation, "partial answer: " + key);
    for (std::size_t i = 0; i < reply.answer.results.size(); ++i) {
        if (reply.answer.results[i] != expectedResult(key, i))
            recordViolation(simulation,
                            "answer of another task: " + key + " got " + reply.answer.results[i]);
    }
}

void checkNotRun(Simulation &simulation, const Submission &submission, const entry::Reply &reply)
{
    const std::string key = submission.request.team + "/" + reply.submission;
    // A conflict refers to the other body, and "not found" to the lookup, not to the job.
    const ErrorKind kind = reply.answer.error.kind;
    if (kind == ErrorKind::Conflict || kind == ErrorKind::NotFound)
        return;
    simulation.reportedNotRun.insert(key);
    for (std::size_t i = 0; i < submission.request.payloads.size(); ++i) {
        if (simulation.starts.count(expectedResult(key, i)) != 0)
            recordViolation(simulation, "\"not run\" reported for work that ran: " + key);
    }
}

// A line of a golden file. It has the number of the submission in place of its random id.
std::string replyLine(const Simulation &simulation, const entry::Reply &reply)
{
    const auto found = simulation.pendingReplies.find(reply.waiter);
    const std::string number = found == simulation.pendingReplies.end()
            ? "?"
            : std::to_string(found->second.submission);
    std::string line = "reply to submission " + number + ": " + toString(reply.answer.outcome);
    if (reply.answer.outcome == Outcome::Complete)
        line += ", " + std::to_string(reply.answer.results.size()) + " results";
    else
        line += std::string(", ") + toString(reply.answer.error.kind) + ", "
                + reply.answer.error.message;
    return line;
}

} // namespace

void checkReply(Simulation &simulation, const entry::Reply &reply)
{
    if (simulation.scripted)
        simulation.transcript.push_back(replyLine(simulation, reply));
    if (std::getenv("FOXWING_TRACE"))
        std::printf("%9.3f reply %s %s %s\n", toMilliseconds(simulation.now.time_since_epoch()),
                    reply.submission.c_str(), toString(reply.answer.outcome),
                    reply.answer.error.message.c_str());
    const auto found = simulation.pendingReplies.find(reply.waiter);
    if (found == simulation.pendingReplies.end())
        return recordViolation(simulation,
                               "unexpected or second reply to a caller: " + reply.submission);
    const Submission &submission = simulation.submissions[found->second.submission];
    simulation.pendingReplies.erase(found);
    const Outcome outcome = reply.answer.outcome;
    if (!submission.anonymous && reply.submission != submission.request.submission)
        recordViolation(simulation, "answer to another submission: " + reply.submission);
    if (outcome == Outcome::Complete) {
        ++simulation.report.complete;
        checkComplete(simulation, submission, reply);
    } else if (outcome == Outcome::NotRun) {
        ++simulation.report.notRun;
        checkNotRun(simulation, submission, reply);
    } else if (outcome == Outcome::Failed) {
        ++simulation.report.failed;
    } else if (outcome == Outcome::Unknown) {
        ++simulation.report.unknown;
    } else {
        recordViolation(simulation, "answer without an outcome: " + reply.submission);
    }
}

// [SECTION] End of a schedule

void checkPendingReplies(Simulation &simulation)
{
    constexpr Milliseconds Tolerance { 2500 };
    for (const auto &item : simulation.pendingReplies) {
        const PendingReply &pending = item.second;
        const Process &process = simulation.processes.at(pending.process);
        const bool isRunning = process.isUp && process.incarnation == pending.incarnation;
        if (isRunning && simulation.now > pending.deadline + Tolerance)
            recordViolation(simulation,
                            "no answer: "
                                    + keyOf(simulation.submissions[pending.submission].request));
    }
}

void checkRecovery(Simulation &simulation, std::size_t number)
{
    const std::string key = keyOf(simulation.submissions[number].request);
    const std::size_t tasks = simulation.submissions[number].request.payloads.size();
    for (std::size_t i = 0; i < tasks; ++i) {
        if (simulation.starts.count(expectedResult(key, i)) == 0)
            return recordViolation(simulation,
                                   "new work did not run after all faults had ended: " + key);
    }
}

} // namespace foxwing::schedules
