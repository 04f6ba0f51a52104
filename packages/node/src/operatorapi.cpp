/*
    Serves operators' requests: resources, watches, nodes and members.

    [SECTION] Parsing
    [SECTION] Authentication
    [SECTION] Changes
    [SECTION] Reads
    [SECTION] Watches
*/
#include "controlrole.h"

#include <algorithm>

#include <foxwing/base/digest.h>
#include <foxwing/control/validation.h>
#include <foxwing/entry/teams.h>

#include "callerapi.h"

namespace foxwing::node {

namespace {

constexpr std::size_t MaxWatchers = 1000;
constexpr Milliseconds DefaultWatchWait { 30000 };

void replyError(const edge::Responder &responder, const Error &error)
{
    responder.reply(httpStatus(error.kind), "application/json", errorBody(error), error.retryAfter);
}

void replyError(const edge::Responder &responder, ErrorKind kind, const std::string &message)
{
    replyError(responder, Error { kind, message, Outcome::NotRun, Milliseconds { 0 } });
}

Json::Value resourceJson(const control::Resource &resource)
{
    Json::Value json = toJson(resource);
    Error ignored;
    if (const auto spec = parseJson(resource.spec, &ignored))
        json["spec"] = *spec;
    return json;
}

// [SECTION] Parsing

std::optional<control::ChangeRequest> readChange(const edge::HttpRequest &request, Error *reason)
{
    control::ChangeRequest change;
    change.kind = request.path[2];
    change.name = request.path[3];
    change.remove = request.method == "DELETE";
    const auto version = request.query.find("version");
    if (version != request.query.end()) {
        const std::string &text = version->second;
        const bool digits = !text.empty() && text.size() < 18
                && text.find_first_not_of("0123456789") == std::string::npos;
        if (!digits)
            return fail(reason, ErrorKind::BadRequest,
                        "\"version\" must be the last version that you read, or 0 to create");
        change.expectedVersion = std::stoll(text);
    }
    const auto id = request.query.find("requestId");
    if (id != request.query.end())
        change.requestId = id->second.substr(0, 128);
    if (!change.remove) {
        const auto spec = parseJson(request.body, reason);
        if (!spec)
            return std::nullopt;
        change.spec = writeJson(*spec);
    }
    return change;
}

} // namespace

// [SECTION] Authentication

bool ControlRole::isOperator(const std::string &token) const
{
    return equalInConstantTime(entry::hashSecret(m_settings.operators.salt, token),
                               m_settings.operators.tokenHash);
}

bool ControlRole::serve(const edge::HttpRequest &request, const edge::Responder &responder)
{
    const std::vector<std::string> &path = request.path;
    const bool isServed = path.size() >= 2 && path[0] == "v1"
            && (path[1] == "resources" || path[1] == "watch" || path[1] == "nodes"
                || path[1] == "members");
    if (!isServed)
        return false;
    const bool isChange = request.method == "PUT" || request.method == "DELETE";
    if (!isOperator(request.token))
        replyError(responder, ErrorKind::Unauthenticated,
                   "only operators are allowed to do this; send the operators' token");
    else if (!m_leading)
        refuseAsFollower(responder);
    else if (path[1] == "watch")
        serveWatch(request, responder);
    else if (path[1] == "nodes")
        afterConfirmation(responder, [this, responder] { serveNodes(responder); });
    else if (path[1] == "members")
        serveMembers(request, responder);
    else if (isChange && path.size() == 4)
        serveChange(request, responder);
    else if (request.method == "GET" && path.size() >= 3 && path.size() <= 4)
        afterConfirmation(responder, [this, request, responder] { serveRead(request, responder); });
    else
        replyError(responder, ErrorKind::BadRequest,
                   "use GET /v1/resources/KIND, or GET, PUT, DELETE /v1/resources/KIND/NAME");
    return true;
}

void ControlRole::refuseAsFollower(const edge::Responder &responder) const
{
    const std::string &leader = m_log.state().leader;
    Error error { ErrorKind::Unavailable, {}, Outcome::Unknown, Milliseconds { 300 } };
    if (m_failed)
        error.message =
                "this control host can't write its journal; repair its disk and restart it, "
                "and repeat the request at another control host with the same request id";
    else if (leader.empty() || leader == m_settings.node.id)
        error.message = "no control host is the leader at present; retry with the same request id";
    else
        error.message = "the control host " + leader
                + " is the leader; retry there with the same request id";
    replyError(responder, error);
}

void ControlRole::afterConfirmation(const edge::Responder &responder, std::function<void()> read)
{
    const std::uint64_t id = m_nextReadId++;
    m_pendingReads.emplace(id, PendingRead { responder, std::move(read) });
    m_log.requestRead(id);
}

// [SECTION] Changes

void ControlRole::serveMembers(const edge::HttpRequest &request, const edge::Responder &responder)
{
    Error reason;
    if (request.method == "PUT") {
        quorum::Members members;
        const auto json = parseJson(request.body, &reason);
        if (!json || !fromJson(*json, &members, &reason) || !m_log.proposeMembers(members, &reason))
            return replyError(responder, reason);
    }
    Json::Value json = toJson(m_log.state().members);
    json["leader"] = m_log.state().leader;
    json["committed"] = m_log.state().membersIndex <= m_log.state().commitIndex;
    responder.reply(200, "application/json", writeJson(json));
}

void ControlRole::serveChange(const edge::HttpRequest &request, const edge::Responder &responder)
{
    Error reason;
    const auto change = readChange(request, &reason);
    if (!change || !control::validateChange(*change, &reason))
        return replyError(responder, reason);
    if (request.query.count("dryRun") != 0) {
        // Applied to a copy of the store only.
        control::ResourceStore storeCopy = m_state.cluster.store;
        control::ChangeResult result = control::applyChange(storeCopy, *change);
        Json::Value json = toJson(result);
        json["kind"] = toString(result.kind);
        json["dryRun"] = true;
        const int status = result.kind == ErrorKind::None ? 200 : httpStatus(result.kind);
        return responder.reply(status, "application/json", writeJson(json));
    }
    const auto entry = m_log.propose(control::DeclareCommand { *change });
    if (!entry)
        return refuseAsFollower(responder);
    // A group of one host may have committed it already.
    if (m_log.state().appliedIndex < entry->index)
        m_pendingChanges.emplace(entry->index, PendingChange { entry->term, responder });
}

// [SECTION] Reads

void ControlRole::serveRead(const edge::HttpRequest &request,
                            const edge::Responder &responder) const
{
    const control::ResourceStore &store = m_state.cluster.store;
    Json::Value json(Json::objectValue);
    json["revision"] = static_cast<Json::UInt64>(store.revision);
    if (request.path.size() == 3) {
        Json::Value &items = json["items"] = Json::Value(Json::arrayValue);
        for (const auto &resource : store.resources) {
            if (request.path[2] == resource.second.kind || request.path[2] == "all")
                items.append(resourceJson(resource.second));
        }
        return responder.reply(200, "application/json", writeJson(json));
    }
    const std::string key = control::resourceKey(request.path[2], request.path[3]);
    const auto found = store.resources.find(key);
    if (found == store.resources.end())
        return replyError(responder, ErrorKind::NotFound,
                          "there is no " + key + "; list all resources with: foxwing show all");
    json = resourceJson(found->second);
    const control::RolloutStatus rollout = control::rolloutStatus(m_state, found->second.revision);
    Json::Value &status = json["status"] = Json::Value(Json::objectValue);
    status["accepted"] = true;
    status["inForce"] = rollout.lagging.empty();
    status["nodes"] = rollout.nodes;
    status["lagging"] = Json::Value(Json::arrayValue);
    for (const std::string &node : rollout.lagging)
        status["lagging"].append(node);
    responder.reply(200, "application/json", writeJson(json));
}

void ControlRole::serveNodes(const edge::Responder &responder) const
{
    Json::Value json(Json::objectValue);
    json["view"] = static_cast<Json::UInt64>(m_state.cluster.view.number);
    Json::Value &nodes = json["nodes"] = Json::Value(Json::arrayValue);
    const Time now = steadyNow();
    for (const auto &entry : m_state.nodes) {
        const control::Heartbeat &last = entry.second.last;
        Json::Value node(Json::objectValue);
        node["id"] = entry.first;
        node["live"] = entry.second.live;
        node["dataCentre"] = last.dataCentre;
        node["address"] = last.address;
        node["entry"] = last.isEntry;
        node["agent"] = last.isAgent;
        node["service"] = last.service;
        node["revision"] = static_cast<Json::UInt64>(last.revision);
        node["silentMs"] = toMilliseconds(now - entry.second.lastReceivedAt);
        nodes.append(node);
    }
    responder.reply(200, "application/json", writeJson(json));
}

// [SECTION] Watches

void ControlRole::serveWatch(const edge::HttpRequest &request, const edge::Responder &responder)
{
    Error reason;
    const auto from = request.query.find("from");
    const auto wait = request.query.find("wait");
    const bool digits = from != request.query.end() && !from->second.empty()
            && from->second.size() < 19
            && from->second.find_first_not_of("0123456789") == std::string::npos;
    if (!digits)
        return replyError(responder, ErrorKind::BadRequest,
                          "\"from\" must be the last revision that you read");
    const std::string waitText = wait == request.query.end() ? std::string() : wait->second;
    const auto timeout = parseWait(waitText, DefaultWatchWait, &reason);
    if (!timeout)
        return replyError(responder, reason);
    if (m_watchers.size() >= MaxWatchers)
        return replyError(responder, ErrorKind::Unavailable,
                          "too many open watches; close some, or watch less often");
    const Watcher watcher { responder, std::stoull(from->second), steadyNow() + *timeout };
    if (!answerWatcher(watcher, false))
        m_watchers.push_back(watcher);
}

bool ControlRole::answerWatcher(const Watcher &watcher, bool timedOut) const
{
    Error reason;
    const control::ResourceStore &store = m_state.cluster.store;
    const auto changes = control::changesSince(store, watcher.revision, &reason);
    if (!changes) {
        replyError(watcher.responder, reason);
        return true;
    }
    if (changes->empty() && !timedOut)
        return false;
    Json::Value json(Json::objectValue);
    json["revision"] = static_cast<Json::UInt64>(store.revision);
    Json::Value &items = json["changes"] = Json::Value(Json::arrayValue);
    for (const control::Resource &change : *changes)
        items.append(resourceJson(change));
    watcher.responder.reply(200, "application/json", writeJson(json));
    return true;
}

void ControlRole::answerWatchers(Time now)
{
    const auto answered = [&](const Watcher &watcher) {
        return answerWatcher(watcher, now >= watcher.deadline);
    };
    m_watchers.erase(std::remove_if(m_watchers.begin(), m_watchers.end(), answered),
                     m_watchers.end());
}

} // namespace foxwing::node
