/*
    Reads the tables of the settings file and checks them, each and against each other.

    [SECTION] Tables
    [SECTION] Checks across tables
    [SECTION] Functions
*/
#include <foxwing/settings/settings.h>

#include <algorithm>
#include <set>

#include <foxwing/settings/tomlreader.h>

namespace foxwing::settings {

namespace {

// [SECTION] Tables

constexpr int MaxPort = 65535;

// One, three or five, and one more during a replacement.
constexpr std::size_t MaxControlHosts = 6;
constexpr std::int64_t MaxBytes = std::int64_t { 1 } << 40;
constexpr std::int64_t MaxCount = 100000000;

// Parses "10.0.0.1:7100"; the host must be an IPv4 address.
std::optional<Address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6)
        return std::nullopt;
    Address address;
    address.host = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    const bool digits = port.find_first_not_of("0123456789") == std::string::npos;
    const bool isIPv4 = address.host.find_first_not_of("0123456789.") == std::string::npos
            && std::count(address.host.begin(), address.host.end(), '.') == 3;
    if (!digits || !isIPv4)
        return std::nullopt;
    address.port = std::stoi(port);
    return address.port <= MaxPort ? std::optional<Address>(address) : std::nullopt;
}

void readAddress(TomlReader &table, const char *key, Address &address)
{
    std::string text = address.host + ":" + std::to_string(address.port);
    table.text(key, text);
    const std::optional<Address> read = parseAddress(text);
    if (read)
        address = *read;
    else
        table.refuse(key, "must be an IPv4 address and a port, such as \"10.0.0.1:7100\"");
}

void readNode(TomlReader table, NodeSettings &node)
{
    std::vector<std::string> roles;
    table.text("id", node.id);
    table.text("data_centre", node.dataCentre);
    table.text("data_folder", node.dataFolder);
    table.list("roles", roles);
    for (const std::string &role : roles) {
        if (role == "control")
            node.control = true;
        else if (role == "entry")
            node.entry = true;
        else if (role == "agent")
            node.agent = true;
        else
            table.refuse("roles", "accepts control, entry and agent, not \"" + role + "\"");
    }
    if (node.id.empty() || node.id.find_first_of("/@ \t") != std::string::npos)
        table.refuse("id", "must be set, unique in the cluster, and without blanks, slashes and @");
    if (roles.empty())
        table.refuse("roles", "must name at least one of control, entry and agent");
    table.finish();
}

void readListen(TomlReader table, ListenSettings &listen)
{
    readAddress(table, "inner", listen.inner);
    readAddress(table, "outer", listen.outer);
    table.text("certificate_file", listen.certificateFile);
    table.text("key_file", listen.keyFile);
    table.integer("most_body_bytes", listen.maxBodyBytes, 1024, MaxBytes);
    table.integer("most_held_bytes", listen.maxHeldBytes, 1024, MaxBytes);
    table.integer("most_connections", listen.maxConnections, 1, MaxCount);
    table.integer("most_inner_connections", listen.maxInnerConnections, 1, MaxCount);
    table.integer("most_values", listen.maxValues, 100, MaxCount);
    table.integer("most_inner_values", listen.maxInnerValues, 100, MaxCount);
    if (listen.certificateFile.empty() != listen.keyFile.empty())
        table.refuse("certificate_file", "and \"listen.key_file\" go together; set both or none");
    table.finish();
}

void readCluster(TomlReader table, ClusterSettings &cluster)
{
    table.text("secret", cluster.secret);
    table.duration("beat_interval", cluster.heartbeatInterval);
    for (TomlReader &peer : table.tables("control")) {
        Peer host;
        peer.text("id", host.id);
        peer.text("address", host.address);
        if (!parseAddress(host.address))
            peer.refuse("address", "must be an IPv4 address and a port, such as \"10.0.0.1:7100\"");
        peer.finish();
        cluster.control.push_back(host);
    }
    if (cluster.secret.size() < 16)
        table.refuse("secret", "must have at least 16 characters; create one with: foxwing token");
    if (cluster.control.empty())
        table.refuse("control",
                     "must name the control hosts, each as [[cluster.control]] with id "
                     "and address");
    table.finish();
}

void readAgent(TomlReader table, Settings &settings)
{
    agent::AgentSettings &agent = settings.agent;
    table.text("endpoint", settings.endpoint.url);
    table.text("service", agent.service);
    table.integer("slots", agent.slots, 1, 10000);
    table.integer("connections", settings.endpoint.connections, 1, 10000);
    table.duration("stop_grace", settings.endpoint.stopGrace);
    table.duration("lease_span", agent.leaseDuration);
    table.duration("offer_interval", agent.offerInterval);
    table.duration("retention", agent.retention);
    table.duration("settled_span", agent.settledRetention);
    table.integer("unsettled_bytes", agent.unsettledBytes, 1024, MaxBytes);
    table.integer("settled_bytes", agent.settledBytes, 0, MaxBytes);
    if (settings.node.agent && agent.service.empty())
        table.refuse("service", "must name the service of the endpoint");
    if (settings.node.agent && settings.endpoint.url.compare(0, 4, "http") != 0)
        table.refuse("endpoint",
                     "must be the endpoint's address, such as \"http://10.0.0.9:9000\"");
    if (agent.offerInterval * 3 > agent.leaseDuration)
        table.refuse("offer_interval", "must be at most a third of \"agent.lease_span\"");
    if (agent.retention <= agent.settledRetention)
        table.refuse("retention", "must be longer than \"agent.settled_span\"");
    if (settings.endpoint.connections < agent.slots)
        table.refuse("connections", "must be at least \"agent.slots\": each running task has one");
    table.finish();
}

void readEntry(TomlReader table, Settings &settings)
{
    dispatch::DispatchSettings &dispatch = settings.entry.dispatch;
    claims::ClaimSettings &claims = settings.entry.claims;
    std::string order = "fair";
    table.duration("lease_span", dispatch.leaseDuration);
    table.duration("lost_after", dispatch.workerTimeout);
    table.duration("verify_after", dispatch.verifyInterval);
    table.duration("answer_retention", dispatch.answerRetention);
    table.integer("answer_bytes", dispatch.maxAnswerBytes, 1024, MaxBytes);
    table.integer("queue_bound", dispatch.maxQueuedTasks, 1, MaxCount);
    table.number("retry_share", dispatch.retryRatio, 0, 1);
    table.duration("pass_over_bound", dispatch.queue.starvationLimit);
    table.text("order", order);
    table.duration("claim_retention", claims.retention);
    table.duration("clock_skew", claims.clockSkew);
    table.duration("master_lease", claims.controlLease);
    table.duration("configuration_lease", settings.entry.configurationLease);
    table.integer("most_waiters", settings.entry.maxWaiters, 1, MaxCount);
    table.duration("drain_notice", settings.drainDelay);
    if (order == "first-come")
        dispatch.queue.order = dispatch::QueueOrder::FirstCome;
    else if (order != "fair")
        table.refuse("order", "must be \"fair\" or \"first-come\"");
    if (dispatch.workerTimeout <= dispatch.leaseDuration)
        table.refuse("lost_after", "must be longer than \"entry.lease_span\"");
    if (dispatch.answerRetention >= claims.retention)
        table.refuse("answer_retention", "must be shorter than \"entry.claim_retention\"");
    table.finish();
}

void readControl(TomlReader table, Settings &settings)
{
    table.duration("dead_after", settings.control.nodeTimeout);
    table.integer("claim_replicas", settings.control.replicaCount, 1, 5);
    table.duration("journal_added_delay", settings.journal.addedDelay);
    table.integer("snapshot_every", settings.journal.snapshotEvery, 10, MaxCount);
    table.boolean("bootstrap", settings.bootstrap);
    table.text("operator_salt", settings.operators.salt);
    table.text("operator_token_hash", settings.operators.tokenHash);
    if (settings.node.control && settings.operators.tokenHash.size() != 64)
        table.refuse("operator_token_hash",
                     "and \"control.operator_salt\" must be as printed by: "
                     "foxwing token");
    if (settings.control.nodeTimeout <= settings.entry.claims.controlLease)
        table.refuse("dead_after",
                     "must be longer than \"entry.master_lease\": an entry must stop "
                     "granting claims before control replaces it");
    table.finish();
}

void readLog(TomlReader table, Settings &settings)
{
    static const std::set<std::string> levels { "debug", "info", "warning", "error" };
    table.text("level", settings.logLevel);
    if (levels.count(settings.logLevel) == 0)
        table.refuse("level", "must be debug, info, warning or error");
    table.finish();
}

// [SECTION] Checks across tables

void checkRoles(TomlReader &root, const Settings &settings)
{
    const NodeSettings &node = settings.node;
    if (node.control && node.dataFolder.empty())
        root.refuse("node", "needs \"data_folder\" for the role control");
    if (node.dataCentre.empty())
        root.refuse("node", "needs \"data_centre\"");
    if (settings.listen.inner.port == settings.listen.outer.port && settings.listen.inner.port != 0)
        root.refuse("listen", "needs different ports for \"inner\" and \"outer\"");
    const bool isListed = std::any_of(settings.cluster.control.begin(),
                                      settings.cluster.control.end(),
                                      [&](const Peer &peer) { return peer.id == node.id; });
    if (node.control && !isListed)
        root.refuse("cluster",
                    "must name this node under [[cluster.control]], since it has the "
                    "role control");
    if (!node.control && isListed)
        root.refuse("cluster",
                    "names this node under [[cluster.control]], but \"node.roles\" lacks "
                    "control");
    const std::size_t hosts = settings.cluster.control.size();
    if (hosts > MaxControlHosts)
        root.refuse("cluster", "names more than six control hosts; use one, three or five");
    if (settings.bootstrap && hosts % 2 == 0)
        root.refuse("cluster",
                    "names an even number of control hosts; use one, three or "
                    "five: an even number tolerates no more failures than one host less");
}

// Copies values that several parts of the settings must agree on.
void copySharedValues(Settings &settings)
{
    const NodeSettings &node = settings.node;
    settings.agent.id = node.id;
    settings.agent.dataCentre = node.dataCentre;
    settings.entry.dataCentre = node.dataCentre;
    settings.entry.self.id = node.id;
    settings.entry.dispatch.id = node.id;
    settings.entry.dispatch.dataCentre = node.dataCentre;
    settings.entry.claims.self.id = node.id;
    settings.control.self = node.id;
    settings.control.configurationLease = settings.entry.configurationLease;
    settings.control.clockSkew = settings.entry.claims.clockSkew;
    settings.control.agentRetention = settings.agent.retention;
}

} // namespace

// [SECTION] Functions

std::optional<Settings> parseSettings(const std::string &text, const std::string &path,
                                      Error *reason)
{
    *reason = Error {};
    std::optional<toml::table> document = parseToml(text, path, reason);
    if (!document)
        return std::nullopt;
    Settings settings;
    TomlReader root(std::move(*document), path, reason);
    readNode(root.table("node"), settings.node);
    readListen(root.table("listen"), settings.listen);
    readCluster(root.table("cluster"), settings.cluster);
    readAgent(root.table("agent"), settings);
    readEntry(root.table("entry"), settings);
    readControl(root.table("control"), settings);
    readLog(root.table("log"), settings);
    root.duration("drain_span", settings.drainTimeout);
    checkRoles(root, settings);
    if (!root.finish())
        return std::nullopt;
    copySharedValues(settings);
    return settings;
}

std::optional<Settings> readSettings(const std::string &path, Error *reason)
{
    const auto text = readSettingsText(path, reason);
    if (!text)
        return std::nullopt;
    return parseSettings(*text, path, reason);
}

} // namespace foxwing::settings
