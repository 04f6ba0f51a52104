/*
    Tests of the JSON codec: round trips and rejected documents.

    [SECTION] Messages
    [SECTION] Round trips
    [SECTION] Refusals
*/
#include <foxwing/base/codec.h>

#include <gtest/gtest.h>

namespace foxwing {
namespace {

// [SECTION] Messages

struct Leaf
{
    std::string name;
    std::vector<std::uint32_t> numbers;
};
template<class Fields>
void describe(Fields &fields, Leaf &leaf)
{
    fields("name", leaf.name);
    fields("numbers", leaf.numbers);
}

struct Tree
{
    static constexpr const char *Type = "tree";
    Microseconds span { 0 };
    bool tall = false;
    std::vector<Leaf> leaves;
};
template<class Fields>
void describe(Fields &fields, Tree &tree)
{
    fields("span", tree.span);
    fields("tall", tree.tall);
    fields("leaves", tree.leaves);
}

using AnyMessage = std::variant<Tree>;

// [SECTION] Round trips

TEST(Codec, MessageSurvivesTheWire)
{
    Tree tree;
    tree.span = Microseconds(1500);
    tree.tall = true;
    tree.leaves.push_back(Leaf { "a \"quoted\" leaf", { 1, 4294967295U } });
    Error reason;
    const auto json = parseJson(writeJson(encodeMessage(AnyMessage(tree))), &reason);
    ASSERT_TRUE(json) << reason.message;
    const auto read = decodeMessage<AnyMessage>(*json, &reason);
    ASSERT_TRUE(read) << reason.message;
    const Tree &copy = std::get<Tree>(*read);
    EXPECT_EQ(copy.span, tree.span);
    EXPECT_TRUE(copy.tall);
    ASSERT_EQ(copy.leaves.size(), 1U);
    EXPECT_EQ(copy.leaves[0].name, tree.leaves[0].name);
    EXPECT_EQ(copy.leaves[0].numbers, tree.leaves[0].numbers);
}

// [SECTION] Refusals

struct BadText
{
    const char *name;
    const char *text;
    const char *expected;
};

class RefusedMessage : public testing::TestWithParam<BadText>
{ };

TEST_P(RefusedMessage, NamesTheField)
{
    Error reason;
    const auto json = parseJson(GetParam().text, &reason);
    if (json) {
        EXPECT_FALSE(decodeMessage<AnyMessage>(*json, &reason));
    }
    EXPECT_EQ(reason.kind, ErrorKind::BadRequest);
    EXPECT_NE(reason.message.find(GetParam().expected), std::string::npos) << reason.message;
}

INSTANTIATE_TEST_SUITE_P(
        Table, RefusedMessage,
        testing::Values(
                BadText { "Broken", "{\"type\":", "can't be read" },
                BadText { "Trailing", "{} {}", "can't be read" },
                BadText { "NoType", "{\"body\":{}}", "\"type\"" },
                BadText { "UnknownType", R"({"type":"shrub","body":{}})", "shrub" },
                BadText { "Missing", R"({"type":"tree","body":{"span":1,"tall":true}})", "leaves" },
                BadText { "WrongType",
                          R"({"type":"tree","body":{"span":"1","tall":true,"leaves":[]}})",
                          "span" },
                BadText { "Nested",
                          R"({"type":"tree","body":{"span":1,"tall":true,"leaves":[{"name":1}]}})",
                          "leaves[0].name" },
                BadText {
                        "Negative",
                        R"({"type":"tree","body":{"span":1,"tall":true,"leaves":[{"name":"a","numbers":[-1]}]}})",
                        "not negative" }),
        [](const testing::TestParamInfo<BadText> &given) { return given.param.name; });

TEST(Codec, DeepNestingIsRefused)
{
    Error reason;
    EXPECT_FALSE(parseJson(std::string(10000, '['), &reason));
    EXPECT_EQ(reason.kind, ErrorKind::BadRequest);
}

} // namespace
} // namespace foxwing
