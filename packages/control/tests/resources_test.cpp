/*
    Versions, request ids, watches and validation of declared resources.

    [SECTION] Store
    [SECTION] Validation
*/
#include <foxwing/control/resources.h>
#include <foxwing/control/validation.h>

#include <gtest/gtest.h>

namespace foxwing::control {
namespace {

ChangeRequest change(const std::string &id, const std::string &name, std::int64_t version)
{
    return { id, "service", name, "{}", false, version };
}

// [SECTION] Store

TEST(ResourceStore, OneOfTwoChangesOfOneVersionIsAccepted)
{
    ResourceStore store;
    EXPECT_EQ(applyChange(store, change("1", "svc", 0)).kind, ErrorKind::None);
    EXPECT_EQ(applyChange(store, change("2", "svc", 1)).version, 2U);
    const ChangeResult rejected = applyChange(store, change("3", "svc", 1));
    EXPECT_EQ(rejected.kind, ErrorKind::StaleVersion);
    EXPECT_EQ(rejected.version, 2U);
    EXPECT_EQ(store.revision, 2U);
}

TEST(ResourceStore, ResentChangeGetsFirstAnswer)
{
    ResourceStore store;
    const ChangeResult first = applyChange(store, change("1", "svc", 0));
    applyChange(store, change("2", "svc", 1));
    const ChangeResult again = applyChange(store, change("1", "svc", 0));
    EXPECT_EQ(again.kind, ErrorKind::None);
    EXPECT_EQ(again.version, first.version);
    EXPECT_EQ(store.revision, 2U);
    ResourceStore copy;
    Error reason;
    ASSERT_TRUE(loadStore(saveStore(store), &copy, &reason)) << reason.message;
    EXPECT_EQ(applyChange(copy, change("1", "svc", 0)).revision, first.revision)
            << "also after a snapshot";
}

TEST(ResourceStore, RequestIdsAndChangesAreBounded)
{
    ResourceStore store;
    for (std::size_t i = 0; i < MaxRetainedRequests + 100; ++i)
        applyChange(store, change(std::to_string(i), "svc", -1));
    EXPECT_EQ(store.answered.size(), MaxRetainedRequests);
    EXPECT_EQ(store.answeredById.size(), MaxRetainedRequests);
    EXPECT_EQ(store.changes.size(), MaxRetainedChanges);
}

TEST(ResourceStore, WatchSeesEachChangeOnceOrExpires)
{
    ResourceStore store;
    std::uint64_t seen = 0;
    std::uint64_t count = 0;
    for (int i = 0; i < 500; ++i) {
        applyChange(store, change(std::to_string(i), "svc" + std::to_string(i % 7), -1));
        if (i % 13 != 0)
            continue;
        Error reason;
        const auto missed = changesSince(store, seen, &reason);
        ASSERT_TRUE(missed);
        for (const Resource &resource : *missed) {
            EXPECT_EQ(resource.revision, ++seen);
            ++count;
        }
    }
    EXPECT_EQ(count, seen);
    for (std::size_t i = 0; i < MaxRetainedChanges; ++i)
        applyChange(store, change("more" + std::to_string(i), "svc", -1));
    Error reason;
    EXPECT_FALSE(changesSince(store, 1, &reason));
    EXPECT_EQ(reason.kind, ErrorKind::Expired);
    EXPECT_FALSE(changesSince(store, store.revision + 1, &reason));
    EXPECT_TRUE(changesSince(store, store.revision, &reason)->empty());
}

TEST(ResourceStore, DeletionIsAVersionedChange)
{
    ResourceStore store;
    applyChange(store, change("1", "svc", 0));
    const ChangeRequest removal { "2", "service", "svc", {}, true, 1 };
    EXPECT_EQ(applyChange(store, removal).revision, 2U);
    EXPECT_TRUE(store.resources.empty());
    EXPECT_TRUE(store.changes.back().deleted);
    const ChangeRequest again { "3", "service", "svc", {}, true, -1 };
    EXPECT_EQ(applyChange(store, again).kind, ErrorKind::NotFound);
}

// [SECTION] Validation

struct InvalidChange
{
    const char *name;
    const char *kind;
    const char *resource;
    const char *spec;
    const char *expected;
};

class RejectedChange : public testing::TestWithParam<InvalidChange>
{ };

TEST_P(RejectedChange, NamesFieldAndRemedy)
{
    Error reason;
    const ChangeRequest request { "1", GetParam().kind, GetParam().resource, GetParam().spec, false,
                                  -1 };
    EXPECT_FALSE(validateChange(request, &reason));
    EXPECT_NE(reason.message.find(GetParam().expected), std::string::npos) << reason.message;
}

INSTANTIATE_TEST_SUITE_P(
        Table, RejectedChange,
        testing::Values(InvalidChange { "Kind", "serbice", "svc", "{}", "use team or service" },
                        InvalidChange { "EmptyName", "service", "", "{}", "\"name\"" },
                        InvalidChange { "NameWithSlash", "service", "a/b", "{}", "\"name\"" },
                        InvalidChange { "UpperCase", "service", "Svc", "{}", "\"name\"" },
                        InvalidChange { "NotJson", "service", "svc", "{", "can't be read" },
                        InvalidChange { "NotAnObject", "service", "svc", "[]",
                                        "must be an object" },
                        InvalidChange { "UnknownField", "service", "svc", R"({"tasks":1})",
                                        "\"tasks\" is not known" },
                        InvalidChange { "OutOfRange", "service", "svc", R"({"mostTasks":0})",
                                        "\"mostTasks\" must be a whole number from 1" },
                        InvalidChange { "Negative", "service", "svc", R"({"mostTasks":-1})",
                                        "\"mostTasks\"" },
                        InvalidChange { "PlainToken", "team", "a", R"({"tokenHash":"secret"})",
                                        "foxwing token" },
                        InvalidChange { "Weight", "team", "a", R"({"weight":"2"})", "\"weight\"" }),
        [](const testing::TestParamInfo<InvalidChange> &given) { return given.param.name; });

} // namespace
} // namespace foxwing::control
