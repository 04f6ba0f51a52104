/*
    What a fleet needs to be told and to tell at its edges, apart from how it is said.

    A dialect is a set of functions that turn HTTP messages into these types and back. The fleet
    decides; a dialect only translates, and keeps no state.

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

    // Nothing that the interface has
    Other,
};

// A caller's request, read as far as is needed to find its queue.
struct CallerRequest
{
    CallerAction action = CallerAction::Other;
    std::string host;
    std::string path;

    // How long the caller waits; left out, as long as the queue allows.
    std::optional<Milliseconds> timeout;
};

// Why a call gets no job.
enum class CallerRefusal {
    NoSuchQueue,

    // This entry can't tell yet which queues there are.
    NotConfigured,
    BadRequest,

    // No such job is known.
    NoSuchJob,
    Unavailable,
};

// [SECTION] Endpoints

enum class EndpointAction {
    Heartbeat,
    Deregister,
    Other,
};

// What an endpoint tells its agent.
struct EndpointRequest
{
    EndpointAction action = EndpointAction::Other;

    // Leave: which life of it has ended; Beat: what it says of itself
    runner::IncarnationId endpointIncarnation;
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

    // A submitted job; rest is the path behind the queue's prefix.
    std::optional<jobs::JobSpec> (*readJob)(const fabric::Request &request, const std::string &rest,
                                            Error *reason) = nullptr;
    fabric::Response (*writeJobAnswer)(const scheduler::JobAnswer &answer) = nullptr;
    fabric::Response (*writeWaitingCount)(std::size_t jobs) = nullptr;
    fabric::Response (*writeRefusal)(CallerRefusal refusal, const std::string &reason) = nullptr;

    // The platform's question whether new connections should come here
    bool (*isReadinessRequest)(const fabric::Request &request) = nullptr;
    fabric::Response (*writeReadiness)(bool ready) = nullptr;

    // Endpoints
    std::optional<EndpointRequest> (*readEndpointRequest)(const fabric::Request &request,
                                                          Error *reason) = nullptr;
    fabric::Response (*writeEndpointResponse)(bool accepted, const std::string &reason) = nullptr;
    fabric::Request (*writeStart)(const runner::StartCommand &order) = nullptr;
    fabric::Request (*writeStop)(const runner::StopCommand &order) = nullptr;
    fabric::Request (*writePoll)(const runner::PollCommand &order) = nullptr;
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
