/*
    Shared by all commands of the command line: options, HTTP calls, output and exit codes.

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
// The work failed, or its outcome is unknown.
constexpr int ExitFailed = 1;
constexpr int ExitUsageError = 2;
// The work did not run, or nothing was changed.
constexpr int ExitNotRun = 3;
constexpr int ExitUnreachable = 4;

// [SECTION] Options

struct Options
{
    // Connection
    std::string url = "http://127.0.0.1:7001";
    std::string token;
    bool insecure = false;

    // Output
    bool json = false;

    // Submissions
    std::string service;
    std::string workClass;
    std::string submission;
    long deadlineMs = 60000;
    long estimateMs = 0;
    bool repeatable = false;
    long waitMs = -1;

    // Resource changes and watches
    std::string version;
    std::string requestId;
    bool dryRun = false;
    long from = 0;
    long count = 0;

    // Load runs
    std::string plotFile;
    std::string outcomesFile;

    // The command and its arguments
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

// Calls the URLs of the options in turn, with the token, until one replies with a status other than
// 503. Otherwise returns the last result; if that has status 0 (no response), prints an error to
// standard error.
edge::HttpReply call(const Options &options, const std::string &method, const std::string &path,
                     const std::string &body);

// Prints a reply of the daemon, verbatim with --json. Returns the exit code.
int printReply(const Options &options, const edge::HttpReply &reply);

// Reads a file, or standard input for "-".
std::optional<std::string> readText(const std::string &path, Error *reason);

// Prints the message to standard error and returns ExitUsageError.
int usageError(const std::string &message);

// Makes a random id for a submission or a change.
std::string makeId();

} // namespace foxwing::cli
