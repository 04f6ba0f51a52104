/*
    The daemon's settings: one struct with defaults, read from a TOML file.

        Error reason;
        std::optional<Settings> settings = readSettings("foxwing.toml", &reason);
        if (!settings)
            std::cerr << reason.message;

    Every key is checked before anything starts. A key that is not known, a value without its unit
    and roles that clash are errors that name file, line and remedy.

    [SECTION] Settings
    [SECTION] Functions
*/
#pragma once

#include <string>
#include <vector>

#include <foxwing/agent/agent.h>
#include <foxwing/base/error.h>
#include <foxwing/base/time.h>
#include <foxwing/control/control.h>
#include <foxwing/entry/entry.h>

namespace foxwing::settings {

// [SECTION] Settings

struct Address
{
    std::string host = "127.0.0.1";
    int port = 0;
};

// Another process that a setting names.
struct Peer
{
    std::string id;
    std::string address;
};

struct NodeSettings
{
    // Unique in the cluster, and the same after a restart.
    std::string id;
    std::string dataCentre;

    // Roles of this process
    bool control = false;
    bool entry = false;
    bool agent = false;

    // Control only: everything that lasts is under this folder.
    std::string dataFolder;
};

struct ListenSettings
{
    // For the other processes of foxwing
    Address inner;

    // For callers, operators and the platform
    Address outer;

    // PEM files for TLS on the outer listener
    std::string certificateFile;
    std::string keyFile;
    std::size_t maxBodyBytes = 32U << 20U;
};

struct ClusterSettings
{
    // Shared by all processes of one cluster
    std::string secret;

    // The control hosts
    std::vector<Peer> control;

    // How often a node beats to control.
    Milliseconds heartbeatInterval { 1000 };
};

struct EndpointSettings
{
    // "http://host:port"
    std::string url;

    // Open connections to it at the most
    std::uint32_t connections = 64;

    // How long a task that was told to stop may still run before its call is cut.
    Milliseconds stopGrace { 1000 };
};

struct OperatorSettings
{
    // Salted hash of the operators' token, as printed by "foxwing token".
    std::string salt;
    std::string tokenHash;
};

struct JournalSettings
{
    // Added to each synced write, so that measurements can stand for slow disks.
    Milliseconds addedDelay { 0 };

    // A snapshot is taken and the journal cut after this many commands.
    std::uint32_t snapshotEvery = 5000;
};

struct Settings
{
    NodeSettings node;
    ListenSettings listen;
    ClusterSettings cluster;
    EndpointSettings endpoint;
    OperatorSettings operators;
    JournalSettings journal;
    agent::AgentSettings agent;
    entry::EntrySettings entry;
    control::ControlSettings control;

    // Control only: the hosts of cluster.control begin a new group together. Only for the very
    // first start of three or five hosts; to be removed from the settings afterwards.
    bool bootstrap = false;

    // How long a stopping entry still takes requests, for the balancer to notice.
    Milliseconds drainDelay { 2000 };

    // How long a stopping process waits for what is in flight.
    Milliseconds drainTimeout { 30000 };

    // "debug", "info", "warning" or "error"
    std::string logLevel = "info";
};

// [SECTION] Functions

// Reads and checks a file; nothing, with the reason, if anything in it is wrong.
std::optional<Settings> readSettings(const std::string &path, Error *reason);

// The same for text; path is only for messages.
std::optional<Settings> parseSettings(const std::string &text, const std::string &path,
                                      Error *reason);

} // namespace foxwing::settings
