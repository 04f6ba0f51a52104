/*
    Commands for callers: submit, request, fetch, cancel.

    [SECTION] Bodies
    [SECTION] Commands
*/
#include "commandline.h"

#include <foxwing/base/codec.h>

namespace foxwing::cli {

// [SECTION] Bodies

namespace {

Json::Value commonBody(const Options &options)
{
    Json::Value body(Json::objectValue);
    body["service"] = options.service;
    body["deadlineMs"] = static_cast<Json::Int64>(options.deadlineMs);
    body["repeatable"] = options.repeatable;
    if (!options.workClass.empty())
        body["class"] = options.workClass;
    if (options.estimateMs > 0)
        body["declaredMs"] = static_cast<Json::Int64>(options.estimateMs);
    return body;
}

// Valid JSON is sent as JSON, any other argument as a string.
Json::Value payload(const std::string &argument)
{
    Error ignored;
    return parseJson(argument, &ignored).value_or(Json::Value(argument));
}

std::string query(const Options &options)
{
    return options.waitMs < 0 ? std::string() : "?wait=" + std::to_string(options.waitMs);
}

int callSubmission(const Options &options, const char *method)
{
    if (options.arguments.size() != 2)
        return usageError(options.arguments[0] + " needs one submission id");
    return printReply(options,
                      call(options, method, "/v1/jobs/" + options.arguments[1] + query(options),
                           {}));
}

} // namespace

// [SECTION] Commands

int runSubmit(const Options &options)
{
    if (options.arguments.size() < 2 || options.service.empty())
        return usageError("submit needs --service and one payload for each task");
    Json::Value body = commonBody(options);
    body["submission"] = options.submission.empty() ? makeId() : options.submission;
    body["tasks"] = Json::Value(Json::arrayValue);
    for (std::size_t i = 1; i < options.arguments.size(); ++i)
        body["tasks"].append(payload(options.arguments[i]));
    return printReply(options, call(options, "POST", "/v1/jobs" + query(options), writeJson(body)));
}

int runRequest(const Options &options)
{
    if (options.arguments.size() != 2 || options.service.empty())
        return usageError("request needs --service and one payload");
    Json::Value body = commonBody(options);
    if (!options.submission.empty())
        body["submission"] = options.submission;
    body["payload"] = payload(options.arguments[1]);
    return printReply(options,
                      call(options, "POST", "/v1/requests" + query(options), writeJson(body)));
}

int runFetch(const Options &options)
{
    return callSubmission(options, "GET");
}

int runCancel(const Options &options)
{
    return callSubmission(options, "DELETE");
}

} // namespace foxwing::cli
