/*
    What all commands of the command line share: options, the client, output and exit codes.

    [SECTION] Exit codes
    [SECTION] Options
    [SECTION] Commands
    [SECTION] Helpers
*/
#pragma once

#include <json/json.h>
#include <string>
#include <vector>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>
#include <foxwing/edge/httpclient.h>

namespace foxwing::cli {

// [SECTION] Exit codes

constexpr int ExitSuccess = 0;
// The work failed, or may have run without an answer.
constexpr int ExitFailed = 1;
constexpr int ExitUsageError = 2;
// Certain not to have run or not to have been changed.
constexpr int ExitNotRun = 3;
constexpr int ExitUnreachable = 4;

// [SECTION] Options

struct Options
{
    // Where and who
    std::string url = "http://127.0.0.1:7001";
    std::string token;
    bool insecure = false;

    // Output
    bool json = false;

    // Work
    std::string service;
    std::string workClass;
    std::string submission;
    long deadlineMs = 60000;
    long estimateMs = 0;
    bool repeatable = false;
    long waitMs = -1;

    // Resources
    std::string version;
    std::string requestId;
    bool dryRun = false;
    long from = 0;
    long count = 0;

    // Load
    std::string plotFile;
    std::string outcomesFile;

    // The command and what follows it
    std::vector<std::string> arguments;
};

// [SECTION] Commands

int runSubmit(const Options &options);
int runRequest(const Options &options);
int runFetch(const Options &options);
int runCancel(const Options &options);
int runApply(const Options &options);
int runShow(const Options &options);
int runDelete(const Options &options);
int runWatch(const Options &options);
int runStatus(const Options &options);
int runToken(const Options &options);
int runMembers(const Options &options);
int runJournal(const Options &options);
int runLoad(const Options &options);

// [SECTION] Helpers

// Calls the daemon with the token; status 0 and a line on standard error if it can't be reached.
edge::HttpReply call(const Options &options, const std::string &method, const std::string &path,
                     const std::string &body);

// Prints one reply of the daemon: as it is with --json, else in words. Gives the exit code.
int printReply(const Options &options, const edge::HttpReply &reply);

// Reads a whole file, or standard input for "-".
std::optional<std::string> readText(const std::string &path, Error *reason);

int usageError(const std::string &message);

// A new id, for submissions and changes.
std::string makeId();

} // namespace foxwing::cli
