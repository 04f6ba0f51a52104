/*
    Tests of the binary codec: round trips and rejected bytes.

    [SECTION] Messages
    [SECTION] Refusals
*/
#include <foxwing/base/binary.h>

#include <gtest/gtest.h>

namespace foxwing {
namespace {

// [SECTION] Messages

enum class Colour {
    Red,
    Green,
};
constexpr Colour lastOf(Colour)
{
    return Colour::Green;
}

struct Mixed
{
    std::uint32_t small = 0;
    bool flag = false;
    Colour colour = Colour::Red;
    std::string text;
    std::vector<std::uint64_t> numbers;
};
template<class Fields>
void describe(Fields &fields, Mixed &mixed)
{
    fields("small", mixed.small);
    fields("flag", mixed.flag);
    fields("colour", mixed.colour);
    fields("text", mixed.text);
    fields("numbers", mixed.numbers);
}

using AnyMixed = std::variant<Mixed>;

std::string bytesOf(std::initializer_list<unsigned> values)
{
    std::string bytes;
    for (const unsigned value : values)
        bytes += static_cast<char>(value);
    return bytes;
}

TEST(Binary, MessageSurvivesTheWire)
{
    const Mixed mixed {
        4294967295U, true, Colour::Green, std::string("a\0b", 3), { 1, 1ULL << 63U }
    };
    Error reason;
    const auto read = decodeFrame<AnyMixed>(encodeFrame(AnyMixed(mixed)), &reason);
    ASSERT_TRUE(read) << reason.message;
    EXPECT_EQ(encodeFrame(*read), encodeFrame(AnyMixed(mixed)));
}

// [SECTION] Refusals

struct RefusalCase
{
    const char *name;
    std::string bytes;
};

std::ostream &operator<<(std::ostream &out, const RefusalCase &tested)
{
    return out << tested.name;
}

class BinaryRefusals : public testing::TestWithParam<RefusalCase>
{ };

// A value that is out of its field's range must be rejected, not truncated.
TEST_P(BinaryRefusals, NameNoMessage)
{
    Error reason;
    EXPECT_FALSE(decodeFrame<AnyMixed>(GetParam().bytes, &reason));
    EXPECT_FALSE(reason.message.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Base, BinaryRefusals,
        testing::Values(
                RefusalCase { "Nothing", "" }, RefusalCase { "UnknownMessage", bytesOf({ 1 }) },
                RefusalCase { "NumberTooLarge", bytesOf({ 0, 0x80, 0x80, 0x80, 0x80, 0x10 }) },
                RefusalCase { "NumberCutShort", bytesOf({ 0, 0x80 }) },
                RefusalCase { "NumberBeyond64Bits",
                              bytesOf({ 0, 1, 1, 1, 0, 1, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80,
                                        0x80, 0x80, 0x02 }) },
                RefusalCase { "FlagOfTwo", bytesOf({ 0, 1, 2 }) },
                RefusalCase { "UnknownEnumerator", bytesOf({ 0, 1, 1, 2 }) },
                RefusalCase { "TextLongerThanTheRest", bytesOf({ 0, 1, 1, 1, 5, 'a' }) },
                RefusalCase { "ListLongerThanTheRest", bytesOf({ 0, 1, 1, 1, 0, 0x7f, 1 }) }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing
