/*
    Commands for operators: apply, show, delete, watch, status, members, token, journal.

    [SECTION] Reading declarations
    [SECTION] Resources
    [SECTION] Watch
    [SECTION] Tools
*/
#include "commandline.h"

#include <algorithm>
#include <cstdio>
#include <dirent.h>
#include <random>
#include <sstream>
#include <sys/stat.h>
#include <thread>

#include <foxwing/base/codec.h>
#include <foxwing/entry/teams.h>
#include <foxwing/journal/journal.h>
#include <foxwing/settings/toml.h>

namespace foxwing::cli {

namespace {

// [SECTION] Reading declarations

struct Declaration
{
    std::string kind;
    std::string name;
    Json::Value spec;
};

bool endsWith(const std::string &text, const std::string &end)
{
    return text.size() >= end.size()
            && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// The .toml and .json files in a folder, or the file itself.
std::vector<std::string> listFiles(const std::string &path)
{
    struct stat status
    { };
    if (::stat(path.c_str(), &status) != 0 || !S_ISDIR(status.st_mode))
        return { path };
    std::vector<std::string> files;
    DIR *directory = ::opendir(path.c_str());
    while (const dirent *item = directory ? ::readdir(directory) : nullptr) {
        const std::string name = item->d_name;
        if (endsWith(name, ".toml") || endsWith(name, ".json"))
            files.push_back(std::string(path).append("/").append(name));
    }
    if (directory)
        ::closedir(directory);
    std::sort(files.begin(), files.end());
    return files;
}

std::optional<Json::Value> parseDocument(const std::string &path, const std::string &text,
                                         Error *reason)
{
    if (!endsWith(path, ".toml"))
        return parseJson(text, reason);
    const std::optional<toml::table> document = settings::parseToml(text, path, reason);
    if (!document)
        return std::nullopt;
    std::ostringstream json;
    json << toml::json_formatter(*document);
    return parseJson(json.str(), reason);
}

// Reads one declaration, or a list of them under "resource".
std::optional<std::vector<Declaration>> readDeclarations(const std::string &path, Error *reason)
{
    const auto text = readText(path, reason);
    const auto json = text ? parseDocument(path, *text, reason) : std::nullopt;
    if (!json)
        return std::nullopt;
    const bool list = json->isObject() && json->isMember("resource");
    const Json::Value items = list ? (*json)["resource"] : Json::Value(Json::arrayValue);
    std::vector<Declaration> declarations;
    const auto add = [&](const Json::Value &item) {
        const bool valid = item.isObject() && item["kind"].isString() && item["name"].isString();
        if (valid)
            declarations.push_back({ item["kind"].asString(), item["name"].asString(),
                                     item.get("spec", Json::Value(Json::objectValue)) });
        return valid;
    };
    bool ok = list || add(*json);
    for (const Json::Value &item : items)
        ok = ok && add(item);
    if (!ok)
        return fail(reason, ErrorKind::BadRequest,
                    path + ": each declaration needs kind, name and spec");
    return declarations;
}

std::string changeQuery(const Options &options, const std::string &requestId)
{
    std::string query = "?requestId=" + requestId;
    if (!options.version.empty())
        query += "&version=" + options.version;
    if (options.dryRun)
        query += "&dryRun=1";
    return query;
}

// Sends a change, and retries it with the same request id if there is no answer.
edge::HttpReply change(const Options &options, const char *method, const std::string &resource,
                       const std::string &body)
{
    constexpr int MaxAttempts = 3;
    const std::string id = options.requestId.empty() ? makeId() : options.requestId;
    const std::string path = "/v1/resources/" + resource + changeQuery(options, id);
    edge::HttpReply reply;
    for (int i = 0; i < MaxAttempts && reply.status == 0; ++i)
        reply = call(options, method, path, body);
    return reply;
}

int printChange(const Options &options, const std::string &resource, const edge::HttpReply &reply)
{
    Error ignored;
    const auto json = parseJson(reply.body, &ignored);
    if (reply.status != 200 || options.json || !json)
        return printReply(options, reply);
    std::printf("%s version %s revision %s%s\n", resource.c_str(),
                (*json)["version"].asString().c_str(), (*json)["revision"].asString().c_str(),
                options.dryRun ? " (dry run, nothing changed)" : "");
    return ExitSuccess;
}

} // namespace

// [SECTION] Resources

int runApply(const Options &options)
{
    if (options.arguments.size() < 2)
        return usageError("apply needs files or folders");
    int worst = ExitSuccess;
    for (std::size_t i = 1; i < options.arguments.size(); ++i) {
        for (const std::string &file : listFiles(options.arguments[i])) {
            Error reason;
            const auto declarations = readDeclarations(file, &reason);
            if (!declarations)
                return usageError(reason.message);
            for (const Declaration &declared : *declarations) {
                const std::string resource = declared.kind + "/" + declared.name;
                const edge::HttpReply reply = change(options, "PUT", resource,
                                                     writeJson(declared.spec));
                worst = std::max(worst, printChange(options, resource, reply));
            }
        }
    }
    return worst;
}

int runShow(const Options &options)
{
    if (options.arguments.size() != 2)
        return usageError("show needs KIND, KIND/NAME or all");
    const edge::HttpReply reply = call(options, "GET", "/v1/resources/" + options.arguments[1], {});
    Error ignored;
    const auto json = parseJson(reply.body, &ignored);
    if (options.json || !json || reply.status != 200)
        return printReply(options, reply);
    const Json::Value &root = *json;
    const Json::Value items = root.isMember("items") ? root["items"]
                                                     : Json::Value(Json::arrayValue);
    for (const Json::Value &item : items)
        std::printf("%s/%s version %s revision %s %s\n", item["kind"].asString().c_str(),
                    item["name"].asString().c_str(), item["version"].asString().c_str(),
                    item["revision"].asString().c_str(), writeJson(item["spec"]).c_str());
    if (!root.isMember("items"))
        std::printf("%s\n", root.toStyledString().c_str());
    return ExitSuccess;
}

int runDelete(const Options &options)
{
    if (options.arguments.size() != 2 || options.arguments[1].find('/') == std::string::npos)
        return usageError("delete needs KIND/NAME");
    return printChange(options, options.arguments[1],
                       change(options, "DELETE", options.arguments[1], {}));
}

// [SECTION] Watch

namespace {

constexpr Milliseconds WatchRetryDelay { 200 };

std::optional<std::uint64_t> currentRevision(const Options &options)
{
    const edge::HttpReply reply = call(options, "GET", "/v1/resources/all", {});
    Error ignored;
    const auto json = parseJson(reply.body, &ignored);
    if (reply.status != 200 || !json)
        return std::nullopt;
    return (*json)["revision"].asUInt64();
}

void printChanges(const Options &options, const Json::Value &changes, long *printed)
{
    for (const Json::Value &item : changes) {
        ++*printed;
        if (options.json) {
            std::printf("%s\n", writeJson(item).c_str());
            continue;
        }
        std::printf("revision %s: %s/%s %s version %s\n", item["revision"].asString().c_str(),
                    item["kind"].asString().c_str(), item["name"].asString().c_str(),
                    item["deleted"].asBool() ? "deleted" : "changed",
                    item["version"].asString().c_str());
    }
    std::fflush(stdout);
}

} // namespace

int runWatch(const Options &options)
{
    std::uint64_t revision = static_cast<std::uint64_t>(options.from);
    long printed = 0;
    while (options.count == 0 || printed < options.count) {
        const std::string path = "/v1/watch?wait=20000&from=" + std::to_string(revision);
        const edge::HttpReply reply = call(options, "GET", path, {});
        Error ignored;
        const auto json = parseJson(reply.body, &ignored);
        if (reply.status == 410) {
            // The revision is no longer retained: report the gap and continue from the current one.
            const auto current = currentRevision(options);
            if (!current)
                return ExitUnreachable;
            std::printf("revision %llu: changes were missed; list all resources with: foxwing show "
                        "all\n",
                        static_cast<unsigned long long>(*current));
            revision = *current;
            continue;
        }
        if (reply.status == 0 || reply.status == 503) {
            // No leader, or no host is reachable. The next call starts at the same revision, so no
            // change is missed.
            std::this_thread::sleep_for(WatchRetryDelay);
            continue;
        }
        if (reply.status != 200 || !json)
            return printReply(options, reply);
        printChanges(options, (*json)["changes"], &printed);
        revision = (*json)["revision"].asUInt64();
    }
    return ExitSuccess;
}

// [SECTION] Tools

int runStatus(const Options &options)
{
    const edge::HttpReply reply = call(options, "GET", "/v1/nodes", {});
    Error ignored;
    const auto json = parseJson(reply.body, &ignored);
    if (options.json || reply.status != 200 || !json)
        return printReply(options, reply);
    std::printf("view %s\n", (*json)["view"].asString().c_str());
    for (const Json::Value &node : (*json)["nodes"])
        std::printf("%s %s %s%s%s revision %s, silent for %.0f ms\n", node["id"].asString().c_str(),
                    node["live"].asBool() ? "live" : "dead", node["dataCentre"].asString().c_str(),
                    node["entry"].asBool() ? " entry" : "",
                    node["agent"].asBool() ? (" agent of " + node["service"].asString()).c_str()
                                           : "",
                    node["revision"].asString().c_str(), node["silentMs"].asDouble());
    return ExitSuccess;
}

int runMembers(const Options &options)
{
    if (options.arguments.size() == 1)
        return printReply(options, call(options, "GET", "/v1/members", {}));
    const auto list = [](const std::string &text) {
        Json::Value names(Json::arrayValue);
        std::istringstream parts(text);
        std::string name;
        while (std::getline(parts, name, ','))
            names.append(name);
        return names;
    };
    Json::Value body(Json::objectValue);
    body["voters"] = list(options.arguments[1]);
    body["learners"] = list(options.arguments.size() > 2 ? options.arguments[2] : std::string());
    return printReply(options, call(options, "PUT", "/v1/members", writeJson(body)));
}

int runToken(const Options &options)
{
    std::random_device device;
    const auto randomHex = [&device](int words) {
        std::ostringstream text;
        for (int i = 0; i < words; ++i) {
            char part[9];
            std::snprintf(part, sizeof part, "%08x", device());
            text << part;
        }
        return text.str();
    };
    const std::string secret = randomHex(6);
    const std::string salt = randomHex(2);
    const std::string team = options.arguments.size() > 1 ? options.arguments[1] + "."
                                                          : std::string();
    std::printf("token     %s%s\nsalt      %s\ntokenHash %s\n", team.c_str(), secret.c_str(),
                salt.c_str(), entry::hashSecret(salt, secret).c_str());
    return ExitSuccess;
}

int runJournal(const Options &options)
{
    if (options.arguments.size() != 2)
        return usageError("journal needs the data folder of a stopped control host");
    Error reason;
    const auto found = journal::Journal::inspect(options.arguments[1], &reason);
    if (!found) {
        std::fprintf(stderr, "foxwing: %s\n", reason.message.c_str());
        return ExitFailed;
    }
    std::printf("snapshot at %llu, %zu bytes; %zu entries after it; %llu bytes to truncate\n",
                static_cast<unsigned long long>(found->snapshotIndex), found->snapshot.size(),
                found->entries.size(), static_cast<unsigned long long>(found->truncatedBytes));
    for (const journal::Entry &entry : found->entries)
        std::printf("%llu %s\n", static_cast<unsigned long long>(entry.index),
                    entry.payload.c_str());
    return ExitSuccess;
}

} // namespace foxwing::cli
