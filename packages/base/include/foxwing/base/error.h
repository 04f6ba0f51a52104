/*
    Outcomes and typed errors.

    A function that can fail returns std::optional and fills the Error that its last argument points
    to ("last reason"). Every Error says which kind it is, what the reader can do about it, and what
    is known about the work: a caller may repeat the request only when the outcome is NotRun.

    [SECTION] Outcome
    [SECTION] Error
    [SECTION] Functions
*/
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace foxwing {

// [SECTION] Outcome

// What foxwing knows about submitted work. NotRun is said only with proof.
enum class Outcome {
    Pending,
    Complete,
    Failed,
    NotRun,
    Unknown,
};
constexpr Outcome lastOf(Outcome)
{
    return Outcome::Unknown;
}

// [SECTION] Error

enum class ErrorKind {
    None,
    BadRequest,
    TooLarge,
    Unauthenticated,
    NotFound,
    Conflict,
    StaleVersion,
    QuotaExceeded,
    QueueFull,
    DeadlineUnreachable,
    CanNeverRun,
    NotReady,
    Leaving,
    Cancelled,
    DeadlinePassed,
    WorkerLost,
    TaskFailed,
    ClaimUnknown,
    Expired,
    Unavailable,
    Internal,
};
constexpr ErrorKind lastOf(ErrorKind)
{
    return ErrorKind::Internal;
}

struct Error
{
    // What went wrong, for programs.
    ErrorKind kind = ErrorKind::None;

    // What went wrong and what to do about it, for people. One sentence each.
    std::string message;

    // What is known about the work this error answers.
    Outcome outcome = Outcome::NotRun;

    // When it makes sense to come back; zero where coming back does not help.
    std::chrono::milliseconds retryAfter { 0 };
};

// [SECTION] Functions

// The name of an outcome as callers read it, such as "not run".
const char *toString(Outcome outcome);

// The outcome with that name, or nothing.
std::optional<Outcome> parseOutcome(const std::string &name);

// The name of a kind as callers read it, such as "queue-full".
const char *toString(ErrorKind kind);

// The kind with that name; Internal for a name this version does not know.
ErrorKind parseErrorKind(const std::string &name);

// The HTTP status code that goes with a kind.
int httpStatus(ErrorKind kind);

// Stores an error where the caller asked for one, and returns nothing, to be returned in turn.
std::nullopt_t fail(Error *reason, ErrorKind kind, std::string message,
                    Outcome outcome = Outcome::NotRun);

} // namespace foxwing
