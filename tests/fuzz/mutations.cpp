/*
    Seeded mutation of messages, see mutations.h.

    [SECTION] Settings
    [SECTION] Values
    [SECTION] Mutator
*/
#include "mutations.h"

#include <cstdlib>

namespace foxwing::test {

// [SECTION] Settings

namespace {

std::uint64_t fromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

std::uint64_t fuzzMessages()
{
    return fromEnvironment("FOXWING_FUZZ_MESSAGES", 20000);
}

std::uint64_t fuzzSeed()
{
    return fromEnvironment("FOXWING_FIRST_SEED", 1);
}

// [SECTION] Values

namespace {

// Replacements for a value: other types, limits of number types, and empty values
const std::vector<std::string> OddValues {
    "null",       "true", "[]",    "{}",   R"("")",      R"("x")",           "-1",
    "0",          "1.5",  "1e300", "1e-9", "4294967296", "9007199254740993", "18446744073709551616",
    "\"\\u0000\""
};

// Deeper than any valid message
constexpr std::size_t Nesting = 3000;

// The end of the JSON value that starts at a position. Only brackets and strings are parsed.
std::size_t endOfValue(const std::string &text, std::size_t at)
{
    int depth = 0;
    bool inText = false;
    for (; at < text.size(); ++at) {
        const char sign = text[at];
        if (sign == '"' && (at == 0 || text[at - 1] != '\\'))
            inText = !inText;
        if (inText)
            continue;
        if ((sign == ',' || sign == '}' || sign == ']') && depth == 0)
            return at;
        depth += sign == '{' || sign == '[' ? 1 : 0;
        depth -= sign == '}' || sign == ']' ? 1 : 0;
    }
    return at;
}

} // namespace

// [SECTION] Mutator

Mutator::Mutator(std::uint64_t seed, std::vector<std::string> golden)
    : m_random(seed)
    , m_golden(std::move(golden))
{ }

std::size_t Mutator::below(std::size_t bound)
{
    return bound == 0 ? 0 : m_random() % bound;
}

std::string Mutator::next()
{
    constexpr std::size_t MostDamages = 3;
    std::string text = m_golden[below(m_golden.size())];
    for (std::size_t i = 1 + below(MostDamages); i > 0; --i)
        damage(text);
    return text;
}

void Mutator::damage(std::string &text)
{
    using Way = void (Mutator::*)(std::string &);
    static const std::vector<Way> ways { &Mutator::replaceValue, &Mutator::replaceValue,
                                         &Mutator::dropMember,   &Mutator::dropMember,
                                         &Mutator::cutSpan,      &Mutator::repeatSpan,
                                         &Mutator::changeByte,   &Mutator::splice,
                                         &Mutator::nest };
    (this->*ways[below(ways.size())])(text);
}

void Mutator::replaceValue(std::string &text)
{
    const std::size_t colon = text.find(':', below(text.size()));
    if (colon == std::string::npos)
        return;
    const std::size_t end = endOfValue(text, colon + 1);
    text.replace(colon + 1, end - colon - 1, OddValues[below(OddValues.size())]);
}

void Mutator::dropMember(std::string &text)
{
    const std::size_t comma = text.find(",\"", below(text.size()));
    if (comma == std::string::npos)
        return;
    text.erase(comma, endOfValue(text, comma + 1) - comma);
}

void Mutator::cutSpan(std::string &text)
{
    const std::size_t at = below(text.size());
    text.erase(at, below(2) == 0 ? std::string::npos : 1 + below(8));
}

void Mutator::repeatSpan(std::string &text)
{
    const std::size_t at = below(text.size());
    text.insert(at, text.substr(at, 1 + below(40)));
}

void Mutator::changeByte(std::string &text)
{
    if (!text.empty())
        text[below(text.size())] = static_cast<char>(below(256));
}

void Mutator::splice(std::string &text)
{
    const std::string &other = m_golden[below(m_golden.size())];
    text = text.substr(0, below(text.size())) + other.substr(below(other.size()));
}

void Mutator::nest(std::string &text)
{
    text.insert(below(text.size()), std::string(Nesting, below(2) == 0 ? '[' : '{'));
}

} // namespace foxwing::test
