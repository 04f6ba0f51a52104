/*
    The tables of the settings file, and how they must fit together.

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

constexpr int HighestPort = 65535;

// Three or five, and one more while it replaces another.
constexpr std::size_t MostControlHosts = 6;
constexpr std::int64_t MostBytes = std::int64_t { 1 } << 40;
constexpr std::int64_t MostCount = 100000000;

// "10.0.0.1:7100"; the host must be an IPv4 number.
std::optional<Address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6)
        return std::nullopt;
    Address address;
    address.host = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    const bool digits = port.find_first_not_of("0123456789") == std::string::npos;
    const bool number = address.host.find_first_not_of("0123456789.") == std::string::npos
            && std::count(address.host.begin(), address.host.end(), '.') == 3;
    if (!digits || !number)
        return std::nullopt;
    address.port = std::stoi(port);
    return address.port <= HighestPort ? std::optional<Address>(address) : std::nullopt;
}

void readAddress(TomlReader &table, const char *key, Address &address)
{
    std::string text = address.host + ":" + std::to_string(address.port);
    table.text(key, text);
    const std::optional<Address> read = parseAddress(text);
    if (read)
        address = *read;
    else
        table.refuse(key, "must be an IPv4 number and a port, such as \"10.0.0.1:7100\"");
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
            table.refuse("roles", "knows control, entry and agent, not \"" + role + "\"");
    }
    if (node.id.empty() || node.id.find_first_of("/@ \t") != std::string::npos)
        table.refuse("id", "must be set, unique in the cluster, and without blanks and slashes");
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
    table.whole("most_body_bytes", listen.mostBodyBytes, 1024, MostBytes);
    if (listen.certificateFile.empty() != listen.keyFile.empty())
        table.refuse("certificate_file", "and \"listen.key_file\" go together; set both or none");
    table.finish();
}

void readCluster(TomlReader table, ClusterSettings &cluster)
{
    table.text("secret", cluster.secret);
    table.span("beat_interval", cluster.heartbeatInterval);
    for (TomlReader &peer : table.tables("control")) {
        Peer host;
        peer.text("id", host.id);
        peer.text("address", host.address);
        if (!parseAddress(host.address))
            peer.refuse("address", "must be an IPv4 number and a port, such as \"10.0.0.1:7100\"");
        peer.finish();
        cluster.control.push_back(host);
    }
    if (cluster.secret.size() < 16)
        table.refuse("secret", "must have at least 16 characters; make one with: foxwing token");
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
    table.whole("slots", agent.slots, 1, 10000);
    table.whole("connections", settings.endpoint.connections, 1, 10000);
    table.span("stop_grace", settings.endpoint.stopGrace);
    table.span("lease_span", agent.leaseDuration);
    table.span("offer_interval", agent.offerInterval);
    table.span("retention", agent.retention);
    table.span("settled_span", agent.settledRetention);
    table.whole("unsettled_bytes", agent.unsettledBytes, 1024, MostBytes);
    table.whole("settled_bytes", agent.settledBytes, 0, MostBytes);
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
    table.span("lease_span", dispatch.leaseDuration);
    table.span("lost_after", dispatch.lostAfter);
    table.span("verify_after", dispatch.verifyAfter);
    table.span("answer_retention", dispatch.answerRetention);
    table.whole("answer_bytes", dispatch.answerBytes, 1024, MostBytes);
    table.whole("queue_bound", dispatch.queueBound, 1, MostCount);
    table.number("retry_share", dispatch.retryShare, 0, 1);
    table.span("pass_over_bound", dispatch.queue.passOverBound);
    table.text("order", order);
    table.span("claim_retention", claims.retention);
    table.span("clock_skew", claims.clockSkew);
    table.span("master_lease", claims.controlLease);
    table.span("configuration_lease", settings.entry.configurationLease);
    table.whole("most_waiters", settings.entry.maxWaiters, 1, MostCount);
    table.span("drain_notice", settings.drainNotice);
    if (order == "first-come")
        dispatch.queue.order = dispatch::QueueOrder::FirstCome;
    else if (order != "fair")
        table.refuse("order", "must be \"fair\" or \"first-come\"");
    if (dispatch.lostAfter <= dispatch.leaseDuration)
        table.refuse("lost_after", "must be longer than \"entry.lease_span\"");
    if (dispatch.answerRetention >= claims.retention)
        table.refuse("answer_retention", "must be shorter than \"entry.claim_retention\"");
    table.finish();
}

void readControl(TomlReader table, Settings &settings)
{
    table.span("dead_after", settings.control.nodeTimeout);
    table.whole("claim_replicas", settings.control.replicaCount, 1, 5);
    table.span("journal_added_delay", settings.journal.addedDelay);
    table.whole("snapshot_every", settings.journal.snapshotEvery, 10, MostCount);
    table.flag("bootstrap", settings.bootstrap);
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
    const bool named = std::any_of(settings.cluster.control.begin(), settings.cluster.control.end(),
                                   [&](const Peer &peer) { return peer.id == node.id; });
    if (node.control && !named)
        root.refuse("cluster",
                    "must name this node under [[cluster.control]], since it has the "
                    "role control");
    if (!node.control && named)
        root.refuse("cluster",
                    "names this node under [[cluster.control]], but \"node.roles\" lacks "
                    "control");
    const std::size_t hosts = settings.cluster.control.size();
    if (hosts > MostControlHosts)
        root.refuse("cluster", "names more than six control hosts; use one, three or five");
    if (settings.bootstrap && hosts % 2 == 0)
        root.refuse("cluster",
                    "names an even number of control hosts; begin with one, three or "
                    "five: an even number tolerates no more failures than one fewer");
}

// What several slices must agree on is set in one place.
void shareIdentity(Settings &settings)
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
    root.span("drain_span", settings.drainSpan);
    checkRoles(root, settings);
    if (!root.finish())
        return std::nullopt;
    shareIdentity(settings);
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
