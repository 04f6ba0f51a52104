/*
    Which catalogs are rejected, which one is in effect, and which queue a request goes to.

    [SECTION] Validation
    [SECTION] Versions
    [SECTION] Lookup
*/
#include <functional>
#include <gtest/gtest.h>

#include <foxwing/base/binary.h>
#include <foxwing/catalog/catalog.h>

namespace foxwing::catalog {
namespace {

QueueDeclaration makeQueue(const std::string &name, const std::string &host,
                           const std::string &prefix)
{
    QueueDeclaration queue;
    queue.name = name;
    queue.host = host;
    queue.prefix = prefix;
    queue.service = "align";
    queue.timeout = Milliseconds(1500);
    return queue;
}

Catalog makeCatalog()
{
    Catalog catalog;
    catalog.version = 7;
    catalog.services = { { "align", 64, false } };
    catalog.queues = { makeQueue("short", "a.example", "/x/"),
                       makeQueue("long", "a.example", "/x/y/"),
                       makeQueue("other", "b.example", "/x/") };
    return catalog;
}

// [SECTION] Validation

struct ValidationCase
{
    const char *name;
    std::function<void(Catalog &)> invalidate;
    const char *reason;
};

class Validation : public testing::TestWithParam<ValidationCase>
{ };

TEST_P(Validation, RejectsWithTheReason)
{
    Catalog catalog = makeCatalog();
    Error reason;
    ASSERT_TRUE(validate(catalog, &reason)) << reason.message;
    GetParam().invalidate(catalog);
    EXPECT_FALSE(validate(catalog, &reason));
    EXPECT_NE(reason.message.find(GetParam().reason), std::string::npos) << reason.message;
}

INSTANTIATE_TEST_SUITE_P(
        Catalog, Validation,
        testing::Values(
                ValidationCase { "NoVersion", [](Catalog &c) { c.version = 0; }, "version" },
                ValidationCase { "UnknownService", [](Catalog &c) { c.queues[0].service = "none"; },
                                 "not declared" },
                ValidationCase { "SameHostAndPrefix",
                                 [](Catalog &c) { c.queues[1].prefix = "/x/"; }, "another queue" },
                ValidationCase { "SameName", [](Catalog &c) { c.queues[1].name = "short"; },
                                 "twice" },
                ValidationCase { "NoTimeout",
                                 [](Catalog &c) { c.queues[2].timeout = Milliseconds(0); },
                                 "timeout" },
                ValidationCase { "NegativeTimeout",
                                 [](Catalog &c) { c.queues[2].timeout = Milliseconds(-5); },
                                 "timeout" },
                ValidationCase { "NoPrefix", [](Catalog &c) { c.queues[2].prefix = ""; },
                                 "prefix" },
                ValidationCase { "ServiceTwice",
                                 [](Catalog &c) { c.services.push_back(c.services[0]); },
                                 "twice" }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Versions

TEST(CatalogVersions, OnlyAHigherOneSupersedes)
{
    const Catalog current = makeCatalog();
    Catalog received = current;
    received.queues.clear();
    EXPECT_FALSE(supersedes(current, received));
    received.version = 6;
    EXPECT_FALSE(supersedes(current, received));
    received.version = 8;
    EXPECT_TRUE(supersedes(current, received));
}

TEST(CatalogVersions, SurviveABinaryRoundTrip)
{
    const DeclaredCatalog declared { makeCatalog(), "{\"any\": \"text\"}" };
    DeclaredCatalog read;
    Error reason;
    ASSERT_TRUE(fromBinary(toBinary(declared), &read, &reason));
    EXPECT_EQ(toBinary(read), toBinary(declared));
    EXPECT_EQ(read.catalog.queues[1].prefix, "/x/y/");
    EXPECT_EQ(read.text, declared.text);
}

// [SECTION] Lookup

struct LookupCase
{
    const char *name;
    const char *host;
    const char *path;
    const char *found;
};

class Lookup : public testing::TestWithParam<LookupCase>
{ };

TEST_P(Lookup, FindsTheLongestPrefixOfTheHost)
{
    const Catalog catalog = makeCatalog();
    const QueueDeclaration *queue = findQueue(catalog, GetParam().host, GetParam().path);
    EXPECT_EQ(queue ? queue->name : "", GetParam().found);
}

INSTANTIATE_TEST_SUITE_P(Catalog, Lookup,
                         testing::Values(LookupCase { "Short", "a.example", "/x/1", "short" },
                                         LookupCase { "Longest", "a.example", "/x/y/1", "long" },
                                         LookupCase { "OtherHost", "b.example", "/x/y/1", "other" },
                                         LookupCase { "NoHost", "c.example", "/x/1", "" },
                                         LookupCase { "NoPath", "a.example", "/z/1", "" }),
                         [](const auto &tested) { return tested.param.name; });

// Endpoints get work only while a queue of the current catalog names their service.
TEST(CatalogServices, AreInUseWhileAQueueNamesThem)
{
    Catalog catalog;
    EXPECT_FALSE(usesService(catalog, "align"));
    QueueDeclaration queue;
    queue.service = "align";
    catalog.queues = { queue };
    EXPECT_TRUE(usesService(catalog, "align"));
    EXPECT_FALSE(usesService(catalog, "tag"));
    EXPECT_FALSE(usesService(catalog, ""));
    catalog.queues[0].service = "tag";
    EXPECT_FALSE(usesService(catalog, "align"));
}

} // namespace
} // namespace foxwing::catalog
