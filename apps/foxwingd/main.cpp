/*
    foxwingd: the daemon. One process runs all roles that its settings name.

        foxwingd --settings /etc/foxwing/node.toml
        foxwingd --settings node.toml --check
        foxwingd --fleet /etc/foxwing/node.toml     on a platform that writes the settings file

    Exit codes: 0 stopped on request, 1 failed to start, 2 usage error or invalid settings.

    [SECTION] Command line
    [SECTION] Signals
    [SECTION] Fleet
    [SECTION] Main
*/
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <thread>

#include <foxwing/fleet/node.h>
#include <foxwing/node/log.h>
#include <foxwing/node/node.h>
#include <foxwing/platform/dialect.h>

namespace {

constexpr int ExitStartFailed = 1;
constexpr int ExitUsageError = 2;

// [SECTION] Command line

struct Options
{
    std::string settingsFile;

    // The settings file has the format of a fleet and is written by the platform.
    bool fleet = false;
    bool check = false;
    bool version = false;
};

// Returns nothing and prints the usage to standard error if the command line is invalid.
std::optional<Options> readOptions(int count, const char **arguments)
{
    char *file = nullptr;
    char *fleetFile = nullptr;
    int check = 0;
    int version = 0;
    const poptOption table[] = {
        { "settings", 's', POPT_ARG_STRING, &file, 0, "settings file in TOML", "FILE" },
        { "fleet", 'f', POPT_ARG_STRING, &fleetFile, 0,
          "settings file in TOML of a process run by a platform", "FILE" },
        { "check", 'c', POPT_ARG_NONE, &check, 0, "only check the settings", nullptr },
        { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version", nullptr },
        POPT_AUTOHELP POPT_TABLEEND
    };
    poptContext context = poptGetContext("foxwingd", count, arguments, table, 0);
    const int result = poptGetNextOpt(context);
    const char *extraArgument = poptGetArg(context);
    Options options;
    options.fleet = fleetFile != nullptr;
    options.settingsFile = fleetFile ? fleetFile : file ? file : "";
    options.check = check != 0;
    options.version = version != 0;
    const bool ok = result == -1 && !extraArgument && (!file != !fleetFile || version != 0);
    if (!ok)
        std::fprintf(stderr,
                     "foxwingd: %s; use: foxwingd --settings FILE | --fleet FILE [--check]\n",
                     result < -1 ? poptStrerror(result) : "invalid arguments");
    std::free(file);
    std::free(fleetFile);
    poptFreeContext(context);
    return ok ? std::optional<Options>(options) : std::nullopt;
}

// [SECTION] Signals

// Waits for signals on a separate thread, because a signal handler may only make
// async-signal-safe calls.
void startSignalThread(const sigset_t &signals, foxwing::node::Node &node)
{
    std::thread([signals, &node] {
        int received = 0;
        while (sigwait(&signals, &received) == 0)
            node.requestStop();
    }).detach();
}

// [SECTION] Fleet

int runFleet(const Options &options)
{
    foxwing::Error reason;
    const auto settings = foxwing::fleet::readFleetSettings(options.settingsFile, &reason);
    if (!settings) {
        std::fprintf(stderr, "foxwingd: %s\n", reason.message.c_str());
        return ExitUsageError;
    }
    if (options.check) {
        std::printf("%s: good\n", options.settingsFile.c_str());
        return EXIT_SUCCESS;
    }
    std::signal(SIGPIPE, SIG_IGN);
    foxwing::fleet::Node node(*settings, options.settingsFile, foxwing::platform::dialect());
    if (!node.start(&reason)) {
        std::fprintf(stderr, "foxwingd: %s\n", reason.message.c_str());
        std::_Exit(ExitStartFailed);
    }
    node.run();
    // Skips destructors: a sync that hangs on its disk must not block the exit.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

// [SECTION] Main

int main(int argc, char **argv)
{
    const auto options = readOptions(argc, const_cast<const char **>(argv));
    if (!options)
        return ExitUsageError;
    if (options->version) {
        std::printf("foxwingd %s\n", FOXWING_VERSION);
        return EXIT_SUCCESS;
    }
    if (options->fleet)
        return runFleet(*options);
    foxwing::Error reason;
    const auto settings = foxwing::settings::readSettings(options->settingsFile, &reason);
    if (!settings) {
        std::fprintf(stderr, "foxwingd: %s\n", reason.message.c_str());
        return ExitUsageError;
    }
    if (options->check) {
        std::printf("%s: good\n", options->settingsFile.c_str());
        return EXIT_SUCCESS;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    foxwing::node::initLog(settings->logLevel, settings->node.id);
    foxwing::node::Node node(*settings);
    if (!node.start(&reason)) {
        std::fprintf(stderr, "foxwingd: %s\n", reason.message.c_str());
        std::_Exit(ExitStartFailed);
    }
    startSignalThread(signals, node);
    node.run();
    // Skips destructors: calls to an unreachable endpoint may still be open in cpprestsdk.
    std::_Exit(EXIT_SUCCESS);
}
