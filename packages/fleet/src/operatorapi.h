/*
    The operators' interface of a control host. Connects operators' HTTP exchanges, and calls that
    other control hosts forward, to the decisions of foxwing/operators.

    [SECTION] Callbacks
    [SECTION] Interface
*/
#pragma once

#include <foxwing/operators/operators.h>
#include <foxwing/quorum/messages.h>

#include "core.h"

namespace foxwing::fleet {

// [SECTION] Callbacks

// What the interface needs from its control host.
struct OperatorCallbacks
{
    std::function<operators::GroupStatus()> group;

    // Returns the log entry that was appended; nothing if this host is not the leader.
    std::function<std::optional<quorum::LogEntry>(const std::string &text)> propose;
    std::function<void(std::uint64_t call)> requestRead;
    std::function<void(const Frame &frame)> sendToLeader;
    std::function<void(std::uint64_t connection, const Frame &frame)> sendToNode;
};

// [SECTION] Interface

class OperatorApi
{
public:
    OperatorApi(Core &core, const Dialect &dialect, OperatorCallbacks callbacks);

    // A call from an operator
    void handle(const fabric::ExchangePtr &exchange);

    // A call that another control host forwarded, and the leader's answer to a call that this host
    // forwarded
    void handleForwarded(std::uint64_t connection, const ForwardedCall &forwarded);
    void handleForwardedAnswer(const ForwardedAnswer &answer);

    void committed(std::uint64_t index, std::uint64_t term, catalog::ApplyResult applied);
    void readDone(std::uint64_t call, bool confirmed);
    void logReopened();
    void tick(Time now);
    std::vector<metrics::Sample> samples() const;

private:
    // Where the answer to a call goes: an operator's exchange, or another control host, which has
    // its own number for the call.
    struct Origin
    {
        fabric::ExchangePtr exchange;
        std::uint64_t connection = 0;
        std::uint64_t peerCall = 0;
    };

    std::optional<OperatorRequest> readValidRequest(const fabric::Request &request, Error *reason);
    std::uint64_t add(operators::OperatorCall call, Origin origin);
    void handleOperatorGone(std::uint64_t number);
    void execute(operators::OperatorActions &&actions);
    void propose(std::uint64_t number);
    void forwardToLeader(std::uint64_t number);
    void answer(const operators::OperatorAnswer &answer);

    Core &m_core;
    const Dialect &m_dialect;
    OperatorCallbacks m_callbacks;
    operators::OperatorState m_operators;
    std::map<std::uint64_t, Origin> m_origins;
    std::uint64_t m_invalid = 0;
};

} // namespace foxwing::fleet
