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

namespace {

// A call keeps the text of a catalog and its parsed form, which takes about twice as much.
constexpr std::size_t CopiesOfBody = 3;

} // namespace

OperatorApi::OperatorApi(Core &core, const Dialect &dialect, OperatorCallbacks callbacks)
    : m_core(core)
    , m_dialect(dialect)
    , m_callbacks(std::move(callbacks))
{ }

void OperatorApi::handle(const ExchangePtr &exchange)
{
    // The operator may have sent the request to another host after closing this connection.
    if (!exchange->isCallerConnected())
        return;
    Error reason;
    auto request = readValidRequest(exchange->request(), &reason);
    if (!request) {
        ++m_invalid;
        writeEvent(m_core.log,
                   change("operator-refused")
                           .with("target", std::string(exchange->request().target()))
                           .with("reason", reason.message));
        const bool notFound = reason.kind == ErrorKind::NotFound;
        return exchange->answer(m_dialect.writeOperatorResponse(notFound ? OperatorOutcome::NotFound
                                                                         : OperatorOutcome::Invalid,
                                                                reason.message));
    }
    exchange->releaseBody(exchange->request().body().size() * CopiesOfBody);
    OperatorCall call;
    call.request = std::move(*request);
    const std::uint64_t number = add(std::move(call), { exchange, 0, 0 });
    exchange->onDisconnect([this, number] { handleOperatorGone(number); });
}

std::optional<OperatorRequest> OperatorApi::readValidRequest(const fabric::Request &request,
                                                             Error *reason)
{
    auto read = m_dialect.readOperatorRequest(request, reason);
    if (!read)
        return std::nullopt;
    const auto *declared = std::get_if<catalog::DeclaredCatalog>(&*read);
    if (declared && !catalog::validate(declared->catalog, reason))
        return std::nullopt;
    const auto *command = std::get_if<catalog::CordonCommand>(&*read);
    const std::vector<std::string> &known = m_core.settings.dataCentres;
    if (command && !known.empty()
        && std::find(known.begin(), known.end(), command->dataCentre) == known.end())
        return fail(reason, ErrorKind::NotFound,
                    "unknown data centre; use one of those listed in the settings");
    return read;
}

void OperatorApi::handleForwarded(std::uint64_t connection, const ForwardedCall &forwarded)
{
    Error reason;
    auto request = decodeFrame<OperatorRequest>(forwarded.request, &reason);
    if (!request) {
        writeEvent(m_core.log, change("frame-unreadable").with("reason", reason.message));
        return;
    }
    OperatorCall call;
    call.request = std::move(*request);
    call.fromPeer = true;
    add(std::move(call), { nullptr, connection, forwarded.call });
}

std::uint64_t OperatorApi::add(OperatorCall call, Origin origin)
{
    std::uint64_t number = 0;
    operators::OperatorActions actions = operators::addCall(m_operators, std::move(call),
                                                            m_callbacks.group(), steadyNow(),
                                                            &number);
    m_origins.emplace(number, std::move(origin));
    execute(std::move(actions));
    return number;
}

void OperatorApi::handleOperatorGone(std::uint64_t number)
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

void OperatorApi::handleForwardedAnswer(const ForwardedAnswer &answer)
{
    operators::OperatorAnswer leaderAnswer;
    leaderAnswer.number = answer.call;
    leaderAnswer.outcome = answer.outcome;
    leaderAnswer.reason = answer.reason;
    if (!answer.declared.empty())
        leaderAnswer.declared = answer.declared.front();
    execute(operators::peerAnswered(m_operators, leaderAnswer, m_callbacks.group(), steadyNow()));
}

void OperatorApi::committed(std::uint64_t index, std::uint64_t term, catalog::ApplyResult applied)
{
    execute(operators::committed(m_operators, index, term, applied, m_callbacks.group(),
                                 steadyNow()));
}

void OperatorApi::readDone(std::uint64_t call, bool confirmed)
{
    execute(operators::readDone(m_operators, call, confirmed, m_callbacks.group(), steadyNow()));
}

void OperatorApi::logReopened()
{
    operators::logReopened(m_operators);
}

void OperatorApi::tick(Time now)
{
    execute(operators::tick(m_operators, m_callbacks.group(), now));
}

// [SECTION] Actions

void OperatorApi::execute(operators::OperatorActions &&actions)
{
    for (const eventlog::Event &event : actions.events)
        writeEvent(m_core.log, event);
    for (const operators::OperatorAnswer &operatorAnswer : actions.answers)
        answer(operatorAnswer);
    for (const std::uint64_t number : actions.forwards)
        forwardToLeader(number);
    for (const std::uint64_t number : actions.reads)
        m_callbacks.requestRead(number);
    for (const std::uint64_t number : actions.proposals)
        propose(number);
}

void OperatorApi::propose(std::uint64_t number)
{
    const auto call = m_operators.calls.find(number);
    if (call == m_operators.calls.end())
        return;
    const auto command = operators::commandOf(call->second.request);
    if (!command)
        return;
    // With a single voter the entry is committed before this returns.
    const auto entry = m_callbacks.propose(writeJson(encodeMessage(*command)));
    if (entry)
        execute(operators::proposed(m_operators, number, entry->index, entry->term,
                                    m_callbacks.group(), steadyNow()));
}

void OperatorApi::forwardToLeader(std::uint64_t number)
{
    const auto call = m_operators.calls.find(number);
    if (call == m_operators.calls.end())
        return;
    m_callbacks.sendToLeader(Frame(ForwardedCall { number, encodeFrame(call->second.request) }));
}

void OperatorApi::answer(const operators::OperatorAnswer &answer)
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
    ForwardedAnswer forwarded { origin.peerCall, answer.outcome, answer.reason, {} };
    if (answer.declared)
        forwarded.declared.push_back(*answer.declared);
    m_callbacks.sendToNode(origin.connection, Frame(std::move(forwarded)));
}

// [SECTION] Metrics

std::vector<metrics::Sample> OperatorApi::samples() const
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    return {
        { "foxwing_operator_accepted_total", "Operators' calls accepted",
          count(m_operators.accepted) },
        { "foxwing_operator_invalid_total", "Operators' calls refused as invalid",
          count(m_invalid) },
        { "foxwing_operator_outdated_total", "Cordon commands based on an outdated revision",
          count(m_operators.outdated) },
        { "foxwing_operator_unsure_total", "Operators' calls left unconfirmed",
          count(m_operators.unconfirmed) },
    };
}

} // namespace foxwing::fleet
