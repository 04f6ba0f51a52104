/*
    Checks of a submission before it is claimed.

    [SECTION] Keys
    [SECTION] Refusals
    [SECTION] Conversions
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

dispatch::Answer errorAnswer(Error error)
{
    dispatch::Answer answer;
    answer.outcome = error.outcome;
    answer.error = std::move(error);
    return answer;
}

std::optional<Error> checkAvailability(const EntryState &entry, const SubmitRequest &request,
                                       Time now)
{
    const Outcome outcome = request.submission.empty() ? Outcome::NotRun : Outcome::Unknown;
    if (entry.leaving)
        return Error { ErrorKind::Leaving,
                       "this entry is stopping; send the request to another one", outcome,
                       Milliseconds { 100 } };
    if (!hasFreshConfiguration(entry, now))
        return Error {
            ErrorKind::NotReady,
            "this entry could not confirm its configuration; send the request to another one",
            outcome, Milliseconds { 1000 }
        };
    return std::nullopt;
}

namespace {

// Checks limits that waiting can't satisfy.
std::optional<Error> checkLimits(const Service &service, const SubmitRequest &request)
{
    Error error { ErrorKind::CanNeverRun, {}, Outcome::NotRun, Milliseconds { 0 } };
    if (request.payloads.empty() || request.payloads.size() > service.maxTasks) {
        error.message = "a submission to " + service.name + " must have 1 to "
                + std::to_string(service.maxTasks) + " tasks; split the job";
        return error;
    }
    for (const std::string &payload : request.payloads) {
        if (payload.size() <= service.maxPayloadBytes)
            continue;
        error.message = "a payload may have at most " + std::to_string(service.maxPayloadBytes)
                + " bytes; pass a reference to the data instead";
        return error;
    }
    if (request.declaredTime > service.maxTaskTime) {
        error.message = "a task may take at most "
                + std::to_string(std::chrono::duration_cast<Milliseconds>(service.maxTaskTime)
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

std::optional<Error> validateId(const EntryState &entry, const std::string &submission,
                                WallTime wallNow)
{
    if (submission.empty())
        return std::nullopt;
    Error error;
    const std::optional<WallTime> idTime = submissionTime(submission, &error);
    if (!idTime)
        return error;
    if (*idTime > wallNow + entry.settings.claims.clockSkew) {
        error.kind = ErrorKind::BadRequest;
        error.message =
                "the submission id has a time in the future; set the clock of the caller's host";
        return error;
    }
    return std::nullopt;
}

} // namespace

std::optional<Error> validate(const EntryState &entry, const SubmitRequest &request,
                              WallTime wallNow)
{
    const auto found = entry.registry.services.find(request.service);
    if (found == entry.registry.services.end())
        return Error { ErrorKind::NotFound,
                       "there is no service \"" + request.service
                               + "\"; list the services with: foxwing show service",
                       Outcome::NotRun, Milliseconds { 0 } };
    const std::optional<Error> error = checkLimits(found->second, request);
    return error ? error : validateId(entry, request.submission, wallNow);
}

// [SECTION] Conversions

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
    pending.resendDelay = entry.settings.claimInterval;
    return pending;
}

} // namespace foxwing::entry
