/*
    Valid settings are read; invalid ones are refused with file, line and remedy.

    [SECTION] Helpers
    [SECTION] Tests
*/
#include <foxwing/settings/settings.h>

#include <gtest/gtest.h>

namespace foxwing::settings {
namespace {

// [SECTION] Helpers

const std::string ValidText = R"([node]
id = "a"
data_centre = "oviedo"
data_folder = "data"
roles = ["control", "entry", "agent"]
[listen]
inner = "127.0.0.1:7100"
outer = "127.0.0.1:7000"
[cluster]
secret = "sixteen characters"
[[cluster.control]]
id = "a"
address = "127.0.0.1:7100"
[agent]
endpoint = "http://127.0.0.1:9000"
service = "svc"
lease_span = "2s"
[control]
operator_salt = "12345678"
operator_token_hash = "0000000000000000000000000000000000000000000000000000000000000000"
)";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = ValidText;
    return text.replace(text.find(from), from.size(), to);
}

// [SECTION] Tests

TEST(Settings, ReadsValidSettings)
{
    Error reason;
    const auto settings = parseSettings(ValidText, "node.toml", &reason);
    ASSERT_TRUE(settings) << reason.message;
    EXPECT_TRUE(settings->node.control && settings->node.entry && settings->node.agent);
    EXPECT_EQ(settings->agent.leaseDuration, Milliseconds(2000));
    EXPECT_EQ(settings->listen.outer.port, 7000);
    EXPECT_EQ(settings->entry.dispatch.id, "a");
}

struct InvalidSetting
{
    const char *name;
    std::string text;
    const char *location;
    const char *remedy;
};

class InvalidSettings : public testing::TestWithParam<InvalidSetting>
{ };

TEST_P(InvalidSettings, ErrorNamesPlaceAndRemedy)
{
    Error reason;
    EXPECT_FALSE(parseSettings(GetParam().text, "node.toml", &reason));
    EXPECT_NE(reason.message.find(GetParam().location), std::string::npos) << reason.message;
    EXPECT_NE(reason.message.find(GetParam().remedy), std::string::npos) << reason.message;
}

INSTANTIATE_TEST_SUITE_P(
        Table, InvalidSettings,
        testing::Values(
                InvalidSetting { "Toml", replaced("[listen]", "[listen"), "node.toml:", "TOML" },
                InvalidSetting { "UnknownKey", replaced("data_centre", "datacenter"), "node.toml:3",
                                 "is not known" },
                InvalidSetting { "UnknownTable", ValidText + "[agnet]\n", "agnet", "is not known" },
                InvalidSetting { "NoUnit", replaced("\"2s\"", "2"), "node.toml:17",
                                 "with its unit" },
                InvalidSetting { "WrongUnit", replaced("\"2s\"", "\"2sec\""), "node.toml:17",
                                 "with its unit" },
                InvalidSetting { "HugeDuration", replaced("\"2s\"", "\"99999999999999s\""),
                                 "node.toml:17", "with its unit" },
                InvalidSetting { "UnknownRole", replaced("\"agent\"]", "\"agnet\"]"), "node.toml:5",
                                 "accepts control, entry and agent" },
                InvalidSetting { "HostName", replaced("127.0.0.1:7000", "localhost:7000"),
                                 "node.toml:8", "IPv4 address" },
                InvalidSetting { "PortOutOfRange", replaced("127.0.0.1:7000", "127.0.0.1:70000"),
                                 "node.toml:8", "IPv4 address and a port" },
                InvalidSetting { "SamePorts", replaced("127.0.0.1:7000", "127.0.0.1:7100"),
                                 "listen", "different ports" },
                InvalidSetting { "ShortSecret", replaced("sixteen characters", "short"),
                                 "cluster.secret", "foxwing token" },
                InvalidSetting { "ControlWithoutDataFolder",
                                 replaced("data_folder = \"data\"\n", ""), "node", "data_folder" },
                InvalidSetting { "ControlNotInCluster",
                                 replaced("id = \"a\"\naddress", "id = \"b\"\naddress"), "cluster",
                                 "must name this node" },
                InvalidSetting { "AgentWithoutService", replaced("service = \"svc\"\n", ""),
                                 "agent.service", "must name the service" },
                InvalidSetting { "OfferIntervalTooLong",
                                 replaced("lease_span = \"2s\"", "lease_span = \"1s\""),
                                 "agent.offer_interval", "a third" },
                InvalidSetting {
                        "PlainTextOperatorToken",
                        replaced("0000000000000000000000000000000000000000000000000000000000000000",
                                 "secret"),
                        "control.operator_token_hash", "foxwing token" },
                InvalidSetting { "KeyWithoutCertificate",
                                 replaced("[cluster]", "key_file = \"k\"\n[cluster]"),
                                 "listen.certificate_file", "go together" },
                InvalidSetting { "EvenNumberOfControlHosts",
                                 replaced("[agent]",
                                          "[[cluster.control]]\nid = \"b\"\naddress = "
                                          "\"127.0.0.1:7200\"\n[agent]")
                                         + "bootstrap = true\n",
                                 "cluster", "even number" },
                InvalidSetting { "DeadAfterShorterThanLease", ValidText + "dead_after = \"1s\"\n",
                                 "control.dead_after", "master_lease" }),
        [](const testing::TestParamInfo<InvalidSetting> &given) { return given.param.name; });

} // namespace
} // namespace foxwing::settings
