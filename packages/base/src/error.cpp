/*
    Names of outcomes and error kinds, and HTTP status codes.

    [SECTION] Tables
    [SECTION] Functions
*/
#include <foxwing/base/error.h>

#include <array>

namespace foxwing {

// [SECTION] Tables

namespace {

struct OutcomeName
{
    Outcome outcome;
    const char *name;
};

constexpr std::array<OutcomeName, 5> OutcomeNames { {
        { Outcome::Pending, "pending" },
        { Outcome::Complete, "complete" },
        { Outcome::Failed, "failed" },
        { Outcome::NotRun, "not run" },
        { Outcome::Unknown, "unknown" },
} };

struct KindName
{
    ErrorKind kind;
    const char *name;
    int status;
};

constexpr std::array<KindName, 21> KindNames { {
        { ErrorKind::None, "none", 200 },
        { ErrorKind::BadRequest, "bad-request", 400 },
        { ErrorKind::TooLarge, "too-large", 413 },
        { ErrorKind::Unauthenticated, "unauthenticated", 401 },
        { ErrorKind::NotFound, "not-found", 404 },
        { ErrorKind::Conflict, "conflict", 409 },
        { ErrorKind::StaleVersion, "stale-version", 409 },
        { ErrorKind::QuotaExceeded, "quota-exceeded", 429 },
        { ErrorKind::QueueFull, "queue-full", 503 },
        { ErrorKind::DeadlineUnreachable, "deadline-unreachable", 503 },
        { ErrorKind::CanNeverRun, "can-never-run", 422 },
        { ErrorKind::NotReady, "not-ready", 503 },
        { ErrorKind::Leaving, "leaving", 503 },
        { ErrorKind::Cancelled, "cancelled", 410 },
        { ErrorKind::DeadlinePassed, "deadline-passed", 504 },
        { ErrorKind::WorkerLost, "worker-lost", 502 },
        { ErrorKind::TaskFailed, "task-failed", 502 },
        { ErrorKind::ClaimUnknown, "claim-unknown", 409 },
        { ErrorKind::Expired, "expired", 410 },
        { ErrorKind::Unavailable, "unavailable", 503 },
        { ErrorKind::Internal, "internal", 500 },
} };

} // namespace

// [SECTION] Functions

const char *toString(Outcome outcome)
{
    for (const OutcomeName &row : OutcomeNames) {
        if (row.outcome == outcome)
            return row.name;
    }
    return "unknown";
}

std::optional<Outcome> parseOutcome(const std::string &name)
{
    for (const OutcomeName &row : OutcomeNames) {
        if (name == row.name)
            return row.outcome;
    }
    return std::nullopt;
}

const char *toString(ErrorKind kind)
{
    for (const KindName &row : KindNames) {
        if (row.kind == kind)
            return row.name;
    }
    return "internal";
}

ErrorKind parseErrorKind(const std::string &name)
{
    for (const KindName &row : KindNames) {
        if (name == row.name)
            return row.kind;
    }
    return ErrorKind::Internal;
}

int httpStatus(ErrorKind kind)
{
    for (const KindName &row : KindNames) {
        if (row.kind == kind)
            return row.status;
    }
    return 500;
}

std::nullopt_t fail(Error *reason, ErrorKind kind, std::string message, Outcome outcome)
{
    if (reason)
        *reason = Error { kind, std::move(message), outcome, std::chrono::milliseconds { 0 } };
    return std::nullopt;
}

} // namespace foxwing
