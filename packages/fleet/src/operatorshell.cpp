/*
    Operators' exchanges around the decisions of foxwing/operators.

    [SECTION] Calls
    [SECTION] Actions
    [SECTION] Metrics
*/
#include "operatorshell.h"

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
    const OperatorWish wish = m_dialect.readOperatorCall(exchange->request());
    if (wish == OperatorWish::Other)
        return exchange->answer(
                m_dialect.writeOperatorAnswer(OperatorOutcome::NotFound, "no such call"));
    OperatorCall call;
    call.isRead = wish == OperatorWish::Read;
    if (!call.isRead) {
        Error reason;
        auto declared = m_dialect.readCatalog(exchange->request(), &reason);
        if (!declared || !catalog::validate(declared->catalog, &reason)) {
            ++m_invalid;
            writeEvent(m_core.log, change("catalog-refused").with("reason", reason.message));
            return exchange->answer(
                    m_dialect.writeOperatorAnswer(OperatorOutcome::Invalid, reason.message));
        }
        call.declared = std::move(*declared);
    }
    add(std::move(call), { exchange, 0, 0 });
}

void OperatorShell::handedOver(std::uint64_t connection, ForwardDeclare &&declare)
{
    OperatorCall call;
    call.declared = std::move(declare.declared);
    call.fromPeer = true;
    add(std::move(call), { nullptr, connection, declare.call });
}

void OperatorShell::handedOver(std::uint64_t connection, const ForwardRead &read)
{
    OperatorCall call;
    call.isRead = true;
    call.fromPeer = true;
    add(std::move(call), { nullptr, connection, read.call });
}

void OperatorShell::add(OperatorCall call, Origin origin)
{
    std::uint64_t number = 0;
    operators::OperatorActions actions = operators::addCall(m_operators, std::move(call),
                                                            m_links.group(), steadyNow(), &number);
    m_origins.emplace(number, std::move(origin));
    carryOut(std::move(actions));
}

void OperatorShell::peerAnswered(const ForwardAnswer &answer)
{
    operators::OperatorAnswer given;
    given.number = answer.call;
    given.outcome = answer.outcome;
    given.reason = answer.reason;
    given.declared = answer.declared;
    carryOut(operators::peerAnswered(m_operators, given, m_links.group(), steadyNow()));
}

void OperatorShell::committed(std::uint64_t index, std::uint64_t term)
{
    carryOut(operators::committed(m_operators, index, term, m_links.group(), steadyNow()));
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
    for (const std::uint64_t number : actions.handOvers)
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
    // With a single voter this comes back only after the entry was committed.
    const auto entry = m_links.propose(writeJson(toJson(call->second.declared)));
    if (entry)
        carryOut(operators::proposed(m_operators, number, entry->index, entry->term,
                                     m_links.group(), steadyNow()));
}

void OperatorShell::handOver(std::uint64_t number)
{
    const auto call = m_operators.calls.find(number);
    if (call == m_operators.calls.end())
        return;
    if (call->second.isRead)
        m_links.sendToLeader(Frame(ForwardRead { number }));
    else
        m_links.sendToLeader(Frame(ForwardDeclare { number, call->second.declared }));
}

void OperatorShell::answer(const operators::OperatorAnswer &answer)
{
    const auto found = m_origins.find(answer.number);
    if (found == m_origins.end())
        return;
    const Origin origin = found->second;
    m_origins.erase(found);
    if (!origin.exchange)
        return m_links.sendToNode(origin.connection,
                                  Frame(ForwardAnswer { origin.peerCall, answer.outcome,
                                                        answer.reason, answer.declared }));
    const bool gives = answer.isRead && answer.outcome == OperatorOutcome::Accepted;
    origin.exchange->answer(gives ? m_dialect.writeCatalog(answer.declared)
                                  : m_dialect.writeOperatorAnswer(answer.outcome, answer.reason));
}

// [SECTION] Metrics

std::vector<metrics::Sample> OperatorShell::samples() const
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    return {
        { "foxwing_operator_accepted_total", "Operators' calls accepted",
          count(m_operators.accepted) },
        { "foxwing_operator_invalid_total", "Declarations refused as invalid", count(m_invalid) },
        { "foxwing_operator_unsure_total", "Calls without a sure answer",
          count(m_operators.unsure) },
    };
}

} // namespace foxwing::fleet
