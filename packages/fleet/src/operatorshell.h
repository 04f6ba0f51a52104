/*
    The operators' interface of a control host: their exchanges, and the calls that other control
    hosts hand over, around the decisions of foxwing/operators.

    [SECTION] Links
    [SECTION] Shell
*/
#pragma once

#include <foxwing/operators/operators.h>
#include <foxwing/quorum/messages.h>

#include "core.h"

namespace foxwing::fleet {

// [SECTION] Links

// What the control host does for its operators' calls.
struct OperatorLinks
{
    std::function<operators::GroupStatus()> group;

    // The entry under which it will be committed; nothing if this host can't lead.
    std::function<std::optional<quorum::LogEntry>(const std::string &text)> propose;
    std::function<void(std::uint64_t call)> requestRead;
    std::function<void(const Frame &frame)> sendToLeader;
    std::function<void(std::uint64_t connection, const Frame &frame)> sendToNode;
};

// [SECTION] Shell

class OperatorShell
{
public:
    OperatorShell(Core &core, const Dialect &dialect, OperatorLinks links);

    // A call from an operator, or handed over on a connection by another control host.
    void handle(const fabric::ExchangePtr &exchange);
    void handedOver(std::uint64_t connection, const ForwardCall &forward);
    void peerAnswered(const ForwardAnswer &answer);

    void committed(std::uint64_t index, std::uint64_t term, catalog::ApplyResult applied);
    void readDone(std::uint64_t call, bool confirmed);
    void logReopened();
    void tick(Time now);
    std::vector<metrics::Sample> samples() const;

private:
    // Where a call's answer goes: an operator's exchange, or a host with its own number for it.
    struct Origin
    {
        fabric::ExchangePtr exchange;
        std::uint64_t connection = 0;
        std::uint64_t peerCall = 0;
    };

    std::optional<OperatorRequest> checkedRequest(const fabric::Request &request, Error *reason);
    std::uint64_t add(operators::OperatorCall call, Origin origin);
    void operatorGone(std::uint64_t number);
    void carryOut(operators::OperatorActions &&actions);
    void propose(std::uint64_t number);
    void handOver(std::uint64_t number);
    void answer(const operators::OperatorAnswer &answer);

    Core &m_core;
    const Dialect &m_dialect;
    OperatorLinks m_links;
    operators::OperatorState m_operators;
    std::map<std::uint64_t, Origin> m_origins;
    std::uint64_t m_invalid = 0;
};

} // namespace foxwing::fleet
