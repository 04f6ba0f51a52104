/*
    Parses and writes the bodies of callers' requests and replies.

    [SECTION] Requests
    [SECTION] Replies
*/
#include "callerapi.h"

#include <algorithm>

#include <foxwing/base/codec.h>
#include <foxwing/base/digest.h>

namespace foxwing::node {

namespace {

constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::int64_t DefaultDeadlineMs = 60000;
constexpr std::size_t MaxNameLength = 64;

// [SECTION] Requests

// Removes members from a body as they are read; those left at the end are unknown.
class BodyReader
{
public:
    BodyReader(Json::Value json, Error *reason)
        : m_json(std::move(json))
        , m_reason(reason)
    { }

    std::string text(const char *name, bool required, std::size_t maxLength)
    {
        const Json::Value value = takeMember(name, required);
        if (value.isNull())
            return {};
        if (!value.isString() || value.asString().size() > maxLength)
            refuse(name, "must be a string of at most " + std::to_string(maxLength) + " bytes");
        return m_ok ? value.asString() : std::string();
    }

    std::int64_t milliseconds(const char *name, std::int64_t fallback, std::int64_t min)
    {
        const Json::Value value = takeMember(name, false);
        if (value.isNull())
            return fallback;
        if (!value.isInt64() || value.asInt64() < min || value.asInt64() > MaxDeadlineMs)
            refuse(name,
                   "must be a whole number of milliseconds from " + std::to_string(min) + " to "
                           + std::to_string(MaxDeadlineMs));
        return m_ok ? value.asInt64() : fallback;
    }

    bool boolean(const char *name)
    {
        const Json::Value value = takeMember(name, false);
        if (!value.isNull() && !value.isBool())
            refuse(name, "must be true or false");
        return m_ok && value.isBool() && value.asBool();
    }

    Json::Value anyValue(const char *name) { return takeMember(name, true); }

    void refuse(const std::string &name, const std::string &problem)
    {
        if (!m_ok)
            return;
        m_ok = false;
        fail(m_reason, ErrorKind::BadRequest, "\"" + name + "\" " + problem);
    }

    bool finish()
    {
        if (m_ok && !m_json.empty())
            refuse(m_json.getMemberNames().front(), "is not known; remove it or correct its name");
        return m_ok;
    }

private:
    Json::Value takeMember(const char *name, bool required)
    {
        Json::Value value;
        if (m_ok && !m_json.removeMember(name, &value) && required)
            refuse(name, "is required");
        return value;
    }

    Json::Value m_json;
    Error *m_reason;
    bool m_ok = true;
};

// A string is passed to the endpoint unquoted, any other value as JSON text.
std::string payloadText(const Json::Value &value)
{
    return value.isString() ? value.asString() : writeJson(value);
}

void appendPart(std::string &text, const std::string &part)
{
    text += std::to_string(part.size()) + ":" + part;
}

// Submissions with the same digest ask for the same work; deadline and estimate don't count.
std::string digestOf(const entry::SubmitRequest &request)
{
    std::string text;
    appendPart(text, request.service);
    appendPart(text, request.workClass);
    appendPart(text, request.repeatable ? "repeatable" : "once");
    appendPart(text, request.request ? "request" : "job");
    for (const std::string &payload : request.payloads)
        appendPart(text, payload);
    return sha256Hex(text);
}

void readPayloads(BodyReader &reader, entry::SubmitRequest &request)
{
    if (request.request) {
        request.payloads.push_back(payloadText(reader.anyValue("payload")));
        return;
    }
    const Json::Value tasks = reader.anyValue("tasks");
    if (!tasks.isArray() || tasks.empty())
        return reader.refuse("tasks", "must be a list of at least one payload");
    for (const Json::Value &task : tasks)
        request.payloads.push_back(payloadText(task));
}

} // namespace

std::optional<entry::SubmitRequest> parseSubmission(const std::string &body, bool isRequest,
                                                    Error *reason)
{
    std::optional<Json::Value> json = parseJson(body, reason);
    if (!json)
        return std::nullopt;
    if (!json->isObject())
        return fail(reason, ErrorKind::BadRequest, "the body must be a JSON object");
    BodyReader reader(std::move(*json), reason);
    entry::SubmitRequest request;
    request.request = isRequest;
    request.submission = reader.text("submission", !isRequest, MaxNameLength);
    request.service = reader.text("service", true, MaxNameLength);
    request.workClass = reader.text("class", false, MaxNameLength);
    request.repeatable = reader.boolean("repeatable");
    request.timeLeft = Milliseconds(reader.milliseconds("deadlineMs", DefaultDeadlineMs, 1));
    request.declaredTime = Milliseconds(reader.milliseconds("declaredMs", 0, 0));
    readPayloads(reader, request);
    if (!reader.finish())
        return std::nullopt;
    request.digest = digestOf(request);
    return request;
}

std::optional<Milliseconds> parseWait(const std::string &text, Milliseconds fallback, Error *reason)
{
    if (text.empty())
        return fallback;
    const bool digits = text.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || text.size() > 8)
        return fail(reason, ErrorKind::BadRequest,
                    "\"wait\" must be a whole number of milliseconds, at most 99999999");
    return Milliseconds(std::stoll(text));
}

// [SECTION] Replies

int answerStatus(const dispatch::Answer &answer)
{
    if (answer.outcome == Outcome::Complete)
        return 200;
    if (answer.outcome == Outcome::Pending)
        return 202;
    return httpStatus(answer.error.kind);
}

namespace {

Json::Value errorJson(const Error &error)
{
    Json::Value json(Json::objectValue);
    json["kind"] = toString(error.kind);
    json["message"] = error.message;
    if (error.retryAfter.count() > 0)
        json["retryAfterMs"] = static_cast<Json::Int64>(error.retryAfter.count());
    return json;
}

} // namespace

std::string answerBody(const std::string &submission, const dispatch::Answer &answer)
{
    Json::Value json(Json::objectValue);
    if (submission.compare(0, 1, "~") != 0)
        json["submission"] = submission;
    json["outcome"] = toString(answer.outcome);
    if (answer.outcome == Outcome::Complete) {
        Json::Value &results = json["results"] = Json::Value(Json::arrayValue);
        for (const std::string &result : answer.results)
            results.append(result);
    } else if (answer.outcome != Outcome::Pending) {
        json["error"] = errorJson(answer.error);
    }
    return writeJson(json);
}

std::string errorBody(const Error &error)
{
    Json::Value json(Json::objectValue);
    json["outcome"] = toString(error.outcome);
    json["error"] = errorJson(error);
    return writeJson(json);
}

} // namespace foxwing::node
