/*
    Outcomes of submitted work and typed errors.

    A function that can fail returns std::optional and fills the Error that its last argument,
    "reason", points to. Every Error has a kind, a message that says what to do about it, and the
    outcome of the work: a caller may repeat the request only when the outcome is NotRun.

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

// What foxwing knows about submitted work. NotRun is reported only when it is certain.
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
    // For programs
    ErrorKind kind = ErrorKind::None;

    // For people: what went wrong and what to do about it, one sentence each
    std::string message;

    // Outcome of the work that was requested
    Outcome outcome = Outcome::NotRun;

    // Delay after which a retry makes sense; zero if a retry does not help
    std::chrono::milliseconds retryAfter { 0 };
};

// [SECTION] Functions

// The name of an outcome in responses, such as "not run".
const char *toString(Outcome outcome);

// The outcome with a name, or nothing if there is none.
std::optional<Outcome> parseOutcome(const std::string &name);

// The name of a kind in responses, such as "queue-full".
const char *toString(ErrorKind kind);

// The kind with a name; Internal for an unknown name.
ErrorKind parseErrorKind(const std::string &name);

int httpStatus(ErrorKind kind);

// Stores an error in *reason unless reason is null, and returns nullopt, so that a function can end
// with: return fail(reason, ...);
std::nullopt_t fail(Error *reason, ErrorKind kind, std::string message,
                    Outcome outcome = Outcome::NotRun);

} // namespace foxwing
