/*
    The interface between a fleet and its HTTP protocol.

    A dialect is a set of functions that translate HTTP messages into these types and back. It is
    stateless; all decisions are made in the fleet.

    [SECTION] Callers
    [SECTION] Endpoints
    [SECTION] Operators
    [SECTION] Dialect
*/
#pragma once

#include <optional>
#include <string>

#include <foxwing/catalog/catalog.h>
#include <foxwing/fabric/httpserver.h>
#include <foxwing/jobs/job.h>
#include <foxwing/operators/operators.h>
#include <foxwing/runner/runner.h>
#include <foxwing/scheduler/scheduler.h>

namespace foxwing::fleet {

// [SECTION] Callers

enum class CallerAction {
    Submit,
    GetState,
    Cancel,
    CountWaiting,

    // Not a request of the interface
    Other,
};

// A caller's request, parsed as far as needed to find its queue.
struct CallerRequest
{
    CallerAction action = CallerAction::Other;
    std::string host;
    std::string path;

    // How long the caller waits; unset: as long as the queue allows.
    std::optional<Milliseconds> timeout;
};

// Why a request creates no job.
enum class CallerRefusal {
    NoSuchQueue,

    // This entry has not received the catalog yet.
    NotConfigured,
    BadRequest,

    NoSuchJob,
    Unavailable,
};

// [SECTION] Endpoints

enum class EndpointAction {
    Heartbeat,
    Deregister,
    Other,
};

// A request of an endpoint to its agent.
struct EndpointRequest
{
    EndpointAction action = EndpointAction::Other;

    // Deregister: the incarnation that ended
    runner::IncarnationId endpointIncarnation;

    // Heartbeat
    runner::EndpointReport report;
};

// [SECTION] Operators

using operators::OperatorOutcome;
using operators::OperatorRequest;

// [SECTION] Dialect

struct Dialect
{
    // Callers
    CallerRequest (*readCallerRequest)(const fabric::Request &request) = nullptr;

    // A submitted job; rest is the path after the queue's prefix.
    std::optional<jobs::JobSpec> (*readJob)(const fabric::Request &request, const std::string &rest,
                                            Error *reason) = nullptr;
    fabric::Response (*writeJobAnswer)(const scheduler::JobAnswer &answer) = nullptr;
    fabric::Response (*writeWaitingCount)(std::size_t jobs) = nullptr;
    fabric::Response (*writeRefusal)(CallerRefusal refusal, const std::string &reason) = nullptr;

    // The platform's readiness check, before it sends new connections here
    bool (*isReadinessRequest)(const fabric::Request &request) = nullptr;
    fabric::Response (*writeReadiness)(bool ready) = nullptr;

    // Endpoints
    std::optional<EndpointRequest> (*readEndpointRequest)(const fabric::Request &request,
                                                          Error *reason) = nullptr;
    fabric::Response (*writeEndpointResponse)(bool accepted, const std::string &reason) = nullptr;
    fabric::Request (*writeStart)(const runner::StartCommand &command) = nullptr;
    fabric::Request (*writeStop)(const runner::StopCommand &command) = nullptr;
    fabric::Request (*writePoll)(const runner::PollCommand &command) = nullptr;
    runner::CommandResult (*readCommandResult)(const fabric::Response &response) = nullptr;
    runner::PollResult (*readPollResult)(const fabric::Response &response) = nullptr;

    // Operators
    std::optional<OperatorRequest> (*readOperatorRequest)(const fabric::Request &request,
                                                          Error *reason) = nullptr;
    fabric::Response (*writeOperatorResponse)(OperatorOutcome outcome,
                                              const std::string &reason) = nullptr;
    fabric::Response (*writeCatalog)(const catalog::DeclaredCatalog &declared) = nullptr;
};

} // namespace foxwing::fleet
