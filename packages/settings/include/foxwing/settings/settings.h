/*
    The daemon's settings: one struct with defaults, read from a TOML file.

        Error reason;
        std::optional<Settings> settings = readSettings("foxwing.toml", &reason);
        if (!settings)
            std::cerr << reason.message;

    Every key is checked before the daemon starts. Unknown keys, durations without a unit and
    contradictory roles are errors that name file, line and remedy.

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

    // Roles of the process
    bool control = false;
    bool entry = false;
    bool agent = false;

    // Control only: folder of all persistent state.
    std::string dataFolder;
};

struct ListenSettings
{
    // Listener for other processes of the cluster
    Address inner;

    // Listener for callers, operators and the platform
    Address outer;

    // PEM files for TLS on the outer listener
    std::string certificateFile;
    std::string keyFile;
    std::size_t maxBodyBytes = 32U << 20U;

    // All requests and answers of a listener together; at least twice maxBodyBytes is used.
    std::size_t maxHeldBytes = 64U << 20U;

    // Connections of the outer listener, and of the inner one
    std::size_t maxConnections = 3000;
    std::size_t maxInnerConnections = 8000;

    // JSON values in one body at the outer listener, and at the inner one
    std::size_t maxValues = 200000;
    std::size_t maxInnerValues = 1000000;
};

struct ClusterSettings
{
    // Shared by all processes of a cluster
    std::string secret;

    // The control hosts
    std::vector<Peer> control;

    // Between two heartbeats of a node to control
    Milliseconds heartbeatInterval { 1000 };
};

struct EndpointSettings
{
    // "http://host:port"
    std::string url;

    // Limit on open connections to the endpoint
    std::uint32_t connections = 64;

    // How long a task may run on after a request to stop before its call is abandoned.
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
    // Added to each synced write, to simulate a slow disk in benchmarks.
    Milliseconds addedDelay { 0 };

    // A snapshot is taken and the journal truncated after this many commands.
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

    // Control only: the hosts of cluster.control form a new consensus group. For the first start of
    // three or five hosts; remove it from the settings afterwards.
    bool bootstrap = false;

    // How long a stopping entry reports not ready but still accepts requests, so that the load
    // balancer can withdraw it.
    Milliseconds drainDelay { 2000 };

    // How long a stopping process waits for work in flight.
    Milliseconds drainTimeout { 30000 };

    // "debug", "info", "warning" or "error"
    std::string logLevel = "info";
};

// [SECTION] Functions

// Reads and checks a file. Returns nothing and sets the reason if anything in it is invalid.
std::optional<Settings> readSettings(const std::string &path, Error *reason);

// The same for text; the path is only used in error messages.
std::optional<Settings> parseSettings(const std::string &text, const std::string &path,
                                      Error *reason);

} // namespace foxwing::settings
