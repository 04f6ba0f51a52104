/*
    What a submission must be before anything is done about it.

    [SECTION] Keys
    [SECTION] Refusals
    [SECTION] Records
*/
#include "internal.h"

#include <algorithm>

#include <foxwing/base/submissionid.h>

namespace foxwing::entry {

// [SECTION] Keys

std::string keyOf(const std::string &team, const std::string &submission)
{
    return team + "/" + submission;
}

// [SECTION] Refusals

dispatch::Answer refused(Error error)
{
    dispatch::Answer answer;
    answer.outcome = error.outcome;
    answer.error = std::move(error);
    return answer;
}

// Why this entry can take nothing at present. An id may be running elsewhere, so only work without
// one is certain not to run; the same id is welcome at any other entry.
std::optional<Error> outOfService(const EntryState &entry, const SubmitRequest &request, Time now)
{
    const Outcome outcome = request.submission.empty() ? Outcome::NotRun : Outcome::Unknown;
    if (entry.leaving)
        return Error { ErrorKind::Leaving, "this entry is stopping; send the same to another one",
                       outcome, Milliseconds { 100 } };
    if (!configured(entry, now))
        return Error {
            ErrorKind::NotReady,
            "this entry could not confirm its configuration; send the same to another one", outcome,
            Milliseconds { 1000 }
        };
    return std::nullopt;
}

namespace {

// Work that the service could never run, however long it waited.
std::optional<Error> beyondLimits(const Service &service, const SubmitRequest &request)
{
    Error error { ErrorKind::CanNeverRun, {}, Outcome::NotRun, Milliseconds { 0 } };
    if (request.payloads.empty() || request.payloads.size() > service.mostTasks) {
        error.message = "a submission to " + service.name + " must have 1 to "
                + std::to_string(service.mostTasks) + " tasks; split the job";
        return error;
    }
    for (const std::string &payload : request.payloads) {
        if (payload.size() <= service.mostPayloadBytes)
            continue;
        error.message = "a payload may have at most " + std::to_string(service.mostPayloadBytes)
                + " bytes; pass a reference to the data instead";
        return error;
    }
    if (request.declaredTime > service.longestTime) {
        error.message = "a task may take at most "
                + std::to_string(std::chrono::duration_cast<Milliseconds>(service.longestTime)
                                         .count())
                + " ms; split the work";
        return error;
    }
    if (request.declaredTime > request.timeLeft) {
        error.kind = ErrorKind::DeadlineUnreachable;
        error.message = "the declared time is longer than the deadline; allow more time";
        return error;
    }
    return std::nullopt;
}

std::optional<Error> invalidId(const EntryState &entry, const std::string &submission,
                               WallTime wallNow)
{
    if (submission.empty())
        return std::nullopt;
    Error error;
    const std::optional<WallTime> made = submissionTime(submission, &error);
    if (!made)
        return error;
    if (*made > wallNow + entry.settings.claims.clockSkew) {
        error.kind = ErrorKind::BadRequest;
        error.message = "the submission id is from the future; set the clock of the caller's host";
        return error;
    }
    return std::nullopt;
}

} // namespace

// What is wrong with a request by itself. It can't have been accepted before.
std::optional<Error> invalid(const EntryState &entry, const SubmitRequest &request,
                             WallTime wallNow)
{
    const auto found = entry.directory.services.find(request.service);
    if (found == entry.directory.services.end())
        return Error { ErrorKind::NotFound,
                       "there is no service \"" + request.service
                               + "\"; look at the services with: foxwing show service",
                       Outcome::NotRun, Milliseconds { 0 } };
    const std::optional<Error> error = beyondLimits(found->second, request);
    return error ? error : invalidId(entry, request.submission, wallNow);
}

// [SECTION] Records

dispatch::JobSpec jobSpec(const std::string &key, const SubmitRequest &request, Time deadline)
{
    dispatch::JobSpec spec;
    spec.key = key;
    spec.team = request.team;
    spec.service = request.service;
    spec.workClass = request.workClass;
    spec.payloads = request.payloads;
    spec.declaredTime = request.declaredTime;
    spec.deadline = deadline;
    spec.repeatable = request.repeatable;
    spec.request = request.request;
    return spec;
}

Pending &addPending(EntryState &entry, const std::string &key, const SubmitRequest &request,
                    Time deadline)
{
    Pending &pending = entry.pending[key];
    pending.request = request;
    pending.deadline = deadline;
    pending.nonce = entry.nextNonce++;
    pending.resendDelay = entry.settings.askInterval;
    return pending;
}

} // namespace foxwing::entry
