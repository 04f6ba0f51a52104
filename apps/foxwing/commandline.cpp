/*
    Helpers shared by the commands.

    [SECTION] Calls
    [SECTION] Output
    [SECTION] Input
*/
#include "commandline.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <foxwing/base/codec.h>
#include <foxwing/base/submissionid.h>

namespace foxwing::cli {

// [SECTION] Calls

namespace {

edge::HttpReply callUrl(const Options &options, const std::string &url, const std::string &method,
                        const std::string &path, const std::string &body)
{
    edge::HttpClientSettings settings;
    settings.insecure = options.insecure;
    settings.timeout = Milliseconds(options.deadlineMs + 60000);
    edge::HttpClient client(url, settings);
    return client.callAndWait(method, path, body,
                              { { "Authorization", "Bearer " + options.token } });
}

// Whether the host is down or isn't the leader, so that another one may answer.
bool shouldTryNext(const edge::HttpReply &reply)
{
    return reply.status == 0 || reply.status == 503;
}

} // namespace

edge::HttpReply call(const Options &options, const std::string &method, const std::string &path,
                     const std::string &body)
{
    edge::HttpReply reply;
    std::istringstream urls(options.url);
    std::string url;
    while (std::getline(urls, url, ',')) {
        reply = callUrl(options, url, method, path, body);
        if (!shouldTryNext(reply))
            return reply;
    }
    if (reply.status == 0)
        std::fprintf(stderr, "foxwing: no answer from %s: %s; check --url and that foxwingd runs\n",
                     options.url.c_str(), reply.reason.c_str());
    return reply;
}

// [SECTION] Output

namespace {

void printResults(const Json::Value &json)
{
    Json::ArrayIndex number = 0;
    for (const Json::Value &result : json["results"])
        std::printf("  %u: %s\n", number++, result.asString().c_str());
}

void printError(const Json::Value &error)
{
    std::printf("  %s: %s\n", error["kind"].asString().c_str(),
                error["message"].asString().c_str());
    if (error.isMember("retryAfterMs"))
        std::printf("  retry after %s ms\n", error["retryAfterMs"].asString().c_str());
}

int exitCode(const edge::HttpReply &reply, const Json::Value &json)
{
    if (reply.status >= 200 && reply.status < 300)
        return ExitSuccess;
    const bool notRun = json.isObject() && json["outcome"].asString() == "not run";
    return notRun ? ExitNotRun : ExitFailed;
}

} // namespace

int printReply(const Options &options, const edge::HttpReply &reply)
{
    if (reply.status == 0)
        return ExitUnreachable;
    Error reason;
    const auto json = parseJson(reply.body, &reason);
    if (options.json || !json || !json->isObject() || !json->isMember("outcome")) {
        std::printf("%s\n", reply.body.c_str());
        return exitCode(reply, json.value_or(Json::Value()));
    }
    std::printf("%s %s\n", (*json)["outcome"].asString().c_str(),
                (*json)["submission"].asString().c_str());
    printResults(*json);
    if (json->isMember("error"))
        printError((*json)["error"]);
    return exitCode(reply, *json);
}

int usageError(const std::string &message)
{
    std::fprintf(stderr, "foxwing: %s; see foxwing --help\n", message.c_str());
    return ExitUsageError;
}

// [SECTION] Input

std::optional<std::string> readText(const std::string &path, Error *reason)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    text << file.rdbuf();
    if (!file)
        return fail(reason, ErrorKind::NotFound,
                    path + " can't be read; give the path of an existing file");
    return text.str();
}

std::string makeId()
{
    std::random_device device;
    std::mt19937_64 random((static_cast<std::uint64_t>(device()) << 32U) | device());
    const auto now = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    return makeSubmissionId(now, random);
}

} // namespace foxwing::cli
