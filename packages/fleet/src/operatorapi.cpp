/*
    The operators' interface of a control host.

    [SECTION] Calls
    [SECTION] Actions
    [SECTION] Metrics
*/
#include "operatorapi.h"

#include <algorithm>

namespace foxwing::fleet {

using eventlog::change;
using fabric::ExchangePtr;
using operators::OperatorCall;

// [SECTION] Calls

OperatorShell::OperatorShell(Core &core, const Dialect &dialect, OperatorLinks links)
    : m_core(core)
    , m_dialect(dialect)
    , m_links(std::move(links))
{ }

void OperatorShell::handle(const ExchangePtr &exchange)
{
    // The operator may have sent the request to another host after closing this connection.
    if (!exchange->isCallerConnected())
        return;
    Error reason;
    auto request = checkedRequest(exchange->request(), &reason);
    if (!request) {
        ++m_invalid;
        writeEvent(m_core.log,
                   change("operator-refused")
                           .with("target", std::string(exchange->request().target()))
                           .with("reason", reason.message));
        const bool unknown = reason.kind == ErrorKind::NotFound;
        return exchange->answer(m_dialect.writeOperatorResponse(unknown ? OperatorOutcome::NotFound
                                                                        : OperatorOutcome::Invalid,
                                                                reason.message));
    }
    OperatorCall call;
    call.request = std::move(*request);
    const std::uint64_t number = add(std::move(call), { exchange, 0, 0 });
    exchange->onDisconnect([this, number] { operatorGone(number); });
}

std::optional<OperatorRequest> OperatorShell::checkedRequest(const fabric::Request &request,
                                                             Error *reason)
{
    auto read = m_dialect.readOperatorRequest(request, reason);
    if (!read)
        return std::nullopt;
    const auto *declared = std::get_if<catalog::DeclaredCatalog>(&*read);
    if (declared && !catalog::validate(declared->catalog, reason))
        return std::nullopt;
    const auto *order = std::get_if<catalog::CordonCommand>(&*read);
    const std::vector<std::string> &known = m_core.settings.dataCentres;
    if (order && !known.empty()
        && std::find(known.begin(), known.end(), order->dataCentre) == known.end())
        return fail(reason, ErrorKind::NotFound,
                    "no data centre has this name; use one of those in the settings");
    return read;
}

void OperatorShell::handedOver(std::uint64_t connection, const ForwardedCall &forward)
{
    Error reason;
    auto request = decodeFrame<OperatorRequest>(forward.request, &reason);
    if (!request) {
        writeEvent(m_core.log, change("frame-unreadable").with("reason", reason.message));
        return;
    }
    OperatorCall call;
    call.request = std::move(*request);
    call.fromPeer = true;
    add(std::move(call), { nullptr, connection, forward.call });
}

std::uint64_t OperatorShell::add(OperatorCall call, Origin origin)
{
    std::uint64_t number = 0;
    operators::OperatorActions actions = operators::addCall(m_operators, std::move(call),
                                                            m_links.group(), steadyNow(), &number);
    m_origins.emplace(number, std::move(origin));
    carryOut(std::move(actions));
    return number;
}

void OperatorShell::operatorGone(std::uint64_t number)
{
    const auto call = m_operators.calls.find(number);
    if (call != m_operators.calls.end())
        writeEvent(m_core.log,
                   change("operator-gone")
                           .with("call", operators::toString(call->second.request))
                           .with("waited_ms", steadyNow() - call->second.receivedAt));
    operators::dropCall(m_operators, number);
    m_origins.erase(number);
}

void OperatorShell::peerAnswered(const ForwardedAnswer &answer)
{
    operators::OperatorAnswer given;
    given.number = answer.call;
    given.outcome = answer.outcome;
    given.reason = answer.reason;
    if (!answer.declared.empty())
        given.declared = answer.declared.front();
    carryOut(operators::peerAnswered(m_operators, given, m_links.group(), steadyNow()));
}

void OperatorShell::committed(std::uint64_t index, std::uint64_t term, catalog::ApplyResult applied)
{
    carryOut(operators::committed(m_operators, index, term, applied, m_links.group(), steadyNow()));
}

void OperatorShell::readDone(std::uint64_t call, bool confirmed)
{
    carryOut(operators::readDone(m_operators, call, confirmed, m_links.group(), steadyNow()));
}

void OperatorShell::logReopened()
{
    operators::logReopened(m_operators);
}

void OperatorShell::tick(Time now)
{
    carryOut(operators::tick(m_operators, m_links.group(), now));
}

// [SECTION] Actions

void OperatorShell::carryOut(operators::OperatorActions &&actions)
{
    for (const eventlog::Event &event : actions.events)
        writeEvent(m_core.log, event);
    for (const operators::OperatorAnswer &given : actions.answers)
        answer(given);
    for (const std::uint64_t number : actions.forwards)
        handOver(number);
    for (const std::uint64_t number : actions.reads)
        m_links.requestRead(number);
    for (const std::uint64_t number : actions.proposals)
        propose(number);
}

void OperatorShell::propose(std::uint64_t number)
{
    const auto call = m_operators.calls.find(number);
    if (call == m_operators.calls.end())
        return;
    const auto command = operators::commandOf(call->second.request);
    if (!command)
        return;
    // With a single voter the entry is committed before this returns.
    const auto entry = m_links.propose(writeJson(encodeMessage(*command)));
    if (entry)
        carryOut(operators::proposed(m_operators, number, entry->index, entry->term,
                                     m_links.group(), steadyNow()));
}

void OperatorShell::handOver(std::uint64_t number)
{
    const auto call = m_operators.calls.find(number);
    if (call == m_operators.calls.end())
        return;
    m_links.sendToLeader(Frame(ForwardedCall { number, encodeFrame(call->second.request) }));
}

void OperatorShell::answer(const operators::OperatorAnswer &answer)
{
    const auto found = m_origins.find(answer.number);
    if (found == m_origins.end())
        return;
    const Origin origin = found->second;
    m_origins.erase(found);
    if (origin.exchange)
        return origin.exchange->answer(
                answer.declared ? m_dialect.writeCatalog(*answer.declared)
                                : m_dialect.writeOperatorResponse(answer.outcome, answer.reason));
    ForwardedAnswer forward { origin.peerCall, answer.outcome, answer.reason, {} };
    if (answer.declared)
        forward.declared.push_back(*answer.declared);
    m_links.sendToNode(origin.connection, Frame(std::move(forward)));
}

// [SECTION] Metrics

std::vector<metrics::Sample> OperatorShell::samples() const
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    return {
        { "foxwing_operator_accepted_total", "Operators' calls accepted",
          count(m_operators.accepted) },
        { "foxwing_operator_invalid_total", "Calls refused as invalid", count(m_invalid) },
        { "foxwing_operator_outdated_total", "Orders given upon cordons that had changed",
          count(m_operators.outdated) },
        { "foxwing_operator_unsure_total", "Calls without a sure answer",
          count(m_operators.unconfirmed) },
    };
}

} // namespace foxwing::fleet
