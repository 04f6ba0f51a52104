/*
    foxwing: the command line for callers and operators.

        foxwing submit --service habla-svc --token TOKEN '{"sleepMs":50}' '{"sleepMs":80}'
        foxwing apply declarations/
        foxwing watch

    Exit codes: 0 success, 1 failed or unknown, 2 usage error, 3 did not run, 4 unreachable.

    [SECTION] Commands
    [SECTION] Options
    [SECTION] Main
*/
#include "commandline.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <popt.h>

using namespace foxwing::cli;

namespace {

// [SECTION] Commands

struct Command
{
    const char *name;
    int (*run)(const Options &);
    const char *help;
};

constexpr std::array<Command, 13> Commands { {
        { "submit", runSubmit, "PAYLOAD...          submit a job with one task per payload" },
        { "request", runRequest, "PAYLOAD             send a single request" },
        { "fetch", runFetch, "SUBMISSION          get the answer of an earlier submission" },
        { "cancel", runCancel, "SUBMISSION          cancel an earlier submission" },
        { "apply", runApply, "FILE|FOLDER...      declare resources" },
        { "show", runShow, "KIND[/NAME]|all     show resources" },
        { "delete", runDelete, "KIND/NAME           delete a resource" },
        { "watch", runWatch, "                    print changes as they are made" },
        { "status", runStatus, "                    show the nodes and their revisions" },
        { "members", runMembers, "[VOTERS [LEARNERS]] show or change the members of control" },
        { "token", runToken, "[TEAM]              make a token and its salted hash" },
        { "load", runLoad, "EXPERIMENT          load a running system and report" },
        { "journal", runJournal, "FOLDER              check and print a journal offline" },
} };

void printCommands(std::FILE *out)
{
    std::fprintf(out, "Commands:\n");
    for (const Command &command : Commands)
        std::fprintf(out, "  %-8s %s\n", command.name, command.help);
}

// [SECTION] Options

// Values set by popt; its strings must be freed.
struct RawOptions
{
    char *url = nullptr;
    char *token = nullptr;
    char *service = nullptr;
    char *workClass = nullptr;
    char *submission = nullptr;
    char *version = nullptr;
    char *requestId = nullptr;
    char *plotFile = nullptr;
    char *outcomesFile = nullptr;
    int insecure = 0;
    int json = 0;
    int repeatable = 0;
    int dryRun = 0;
    int showVersion = 0;
    int help = 0;
};

void moveString(char *&raw, std::string &value)
{
    if (raw)
        value = raw;
    std::free(raw);
    raw = nullptr;
}

void moveOptions(RawOptions &raw, Options &options)
{
    moveString(raw.url, options.url);
    moveString(raw.token, options.token);
    moveString(raw.service, options.service);
    moveString(raw.workClass, options.workClass);
    moveString(raw.submission, options.submission);
    moveString(raw.version, options.version);
    moveString(raw.requestId, options.requestId);
    moveString(raw.plotFile, options.plotFile);
    moveString(raw.outcomesFile, options.outcomesFile);
    options.insecure = raw.insecure != 0;
    options.json = raw.json != 0;
    options.repeatable = raw.repeatable != 0;
    options.dryRun = raw.dryRun != 0;
}

} // namespace

// [SECTION] Main

int main(int argc, char **argv)
{
    RawOptions raw;
    Options options;
    if (const char *url = std::getenv("FOXWING_URL"))
        options.url = url;
    if (const char *token = std::getenv("FOXWING_TOKEN"))
        options.token = token;
    const poptOption table[] = {
        { "url", 'u', POPT_ARG_STRING, &raw.url, 0,
          "daemon, or a comma-separated list (or FOXWING_URL)", "URL" },
        { "token", 't', POPT_ARG_STRING, &raw.token, 0, "token (or FOXWING_TOKEN)", "TOKEN" },
        { "insecure", 0, POPT_ARG_NONE, &raw.insecure, 0, "accept any certificate", nullptr },
        { "json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr },
        { "service", 's', POPT_ARG_STRING, &raw.service, 0, "service to use", "NAME" },
        { "class", 'c', POPT_ARG_STRING, &raw.workClass, 0, "class of the work", "NAME" },
        { "submission", 0, POPT_ARG_STRING, &raw.submission, 0, "id to submit under", "UUID" },
        { "deadline", 'd', POPT_ARG_LONG, &options.deadlineMs, 0, "time allowed", "MS" },
        { "declared", 0, POPT_ARG_LONG, &options.estimateMs, 0, "estimated run time of a task",
          "MS" },
        { "repeatable", 'r', POPT_ARG_NONE, &raw.repeatable, 0, "tasks may run twice", nullptr },
        { "wait", 'w', POPT_ARG_LONG, &options.waitMs, 0, "how long to wait for the answer", "MS" },
        { "if-version", 0, POPT_ARG_STRING, &raw.version, 0, "change only if at this version",
          "N" },
        { "request-id", 0, POPT_ARG_STRING, &raw.requestId, 0,
          "id that makes a retried change safe", "ID" },
        { "dry-run", 0, POPT_ARG_NONE, &raw.dryRun, 0, "change nothing", nullptr },
        { "from", 0, POPT_ARG_LONG, &options.from, 0, "watch changes after this revision",
          "REVISION" },
        { "count", 0, POPT_ARG_LONG, &options.count, 0, "stop the watch after N changes", "N" },
        { "plot", 0, POPT_ARG_STRING, &raw.plotFile, 0, "plot the load results", "SVGFILE" },
        { "outcomes", 0, POPT_ARG_STRING, &raw.outcomesFile, 0,
          "write the outcome of each submission", "FILE" },
        { "version", 'V', POPT_ARG_NONE, &raw.showVersion, 0, "print the version", nullptr },
        { "help", 'h', POPT_ARG_NONE, &raw.help, 0, "show this help", nullptr },
        POPT_TABLEEND
    };
    poptContext context = poptGetContext("foxwing", argc, const_cast<const char **>(argv), table,
                                         0);
    poptSetOtherOptionHelp(context, "COMMAND [OPTIONS] ARGUMENTS");
    const int result = poptGetNextOpt(context);
    while (const char *argument = poptGetArg(context))
        options.arguments.emplace_back(argument);
    moveOptions(raw, options);
    if (raw.help != 0)
        poptPrintHelp(context, stdout, 0);
    poptFreeContext(context);
    if (raw.help != 0) {
        printCommands(stdout);
        return ExitSuccess;
    }
    if (raw.showVersion != 0) {
        std::printf("foxwing %s\n", FOXWING_VERSION);
        return ExitSuccess;
    }
    if (result < -1)
        return usageError(poptStrerror(result));
    for (const Command &command : Commands) {
        if (!options.arguments.empty() && options.arguments[0] == command.name)
            return command.run(options);
    }
    printCommands(stderr);
    return usageError("unknown or missing command");
}
