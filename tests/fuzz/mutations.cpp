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

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

std::uint64_t fuzzMessages()
{
    return numberFromEnvironment("FOXWING_FUZZ_MESSAGES", 20000);
}

std::uint64_t fuzzSeed()
{
    return numberFromEnvironment("FOXWING_FIRST_SEED", 1);
}

// [SECTION] Values

namespace {

// Replacements for a value: other types, limits of number types, and empty values
const std::vector<std::string> ReplacementValues {
    "null",       "true", "[]",    "{}",   R"("")",      R"("x")",           "-1",
    "0",          "1.5",  "1e300", "1e-9", "4294967296", "9007199254740993", "18446744073709551616",
    "\"\\u0000\""
};

// Deeper than any valid message
constexpr std::size_t NestingDepth = 3000;

// The end of the JSON value that starts at a position. Only brackets and strings are parsed.
std::size_t endOfValue(const std::string &text, std::size_t at)
{
    int depth = 0;
    bool inString = false;
    for (; at < text.size(); ++at) {
        const char character = text[at];
        if (character == '"' && (at == 0 || text[at - 1] != '\\'))
            inString = !inString;
        if (inString)
            continue;
        if ((character == ',' || character == '}' || character == ']') && depth == 0)
            return at;
        depth += character == '{' || character == '[' ? 1 : 0;
        depth -= character == '}' || character == ']' ? 1 : 0;
    }
    return at;
}

} // namespace

// [SECTION] Mutator

Mutator::Mutator(std::uint64_t seed, std::vector<std::string> corpus)
    : m_random(seed)
    , m_corpus(std::move(corpus))
{ }

std::size_t Mutator::randomBelow(std::size_t bound)
{
    return bound == 0 ? 0 : m_random() % bound;
}

std::string Mutator::next()
{
    constexpr std::size_t MaxMutations = 3;
    std::string text = m_corpus[randomBelow(m_corpus.size())];
    for (std::size_t i = 1 + randomBelow(MaxMutations); i > 0; --i)
        mutate(text);
    return text;
}

void Mutator::mutate(std::string &text)
{
    using Mutation = void (Mutator::*)(std::string &);
    static const std::vector<Mutation> mutations { &Mutator::replaceValue, &Mutator::replaceValue,
                                                   &Mutator::dropMember,   &Mutator::dropMember,
                                                   &Mutator::eraseRange,   &Mutator::duplicateRange,
                                                   &Mutator::replaceByte,  &Mutator::splice,
                                                   &Mutator::insertNesting };
    (this->*mutations[randomBelow(mutations.size())])(text);
}

void Mutator::replaceValue(std::string &text)
{
    const std::size_t colon = text.find(':', randomBelow(text.size()));
    if (colon == std::string::npos)
        return;
    const std::size_t end = endOfValue(text, colon + 1);
    text.replace(colon + 1, end - colon - 1,
                 ReplacementValues[randomBelow(ReplacementValues.size())]);
}

void Mutator::dropMember(std::string &text)
{
    const std::size_t comma = text.find(",\"", randomBelow(text.size()));
    if (comma == std::string::npos)
        return;
    text.erase(comma, endOfValue(text, comma + 1) - comma);
}

void Mutator::eraseRange(std::string &text)
{
    const std::size_t at = randomBelow(text.size());
    text.erase(at, randomBelow(2) == 0 ? std::string::npos : 1 + randomBelow(8));
}

void Mutator::duplicateRange(std::string &text)
{
    const std::size_t at = randomBelow(text.size());
    text.insert(at, text.substr(at, 1 + randomBelow(40)));
}

void Mutator::replaceByte(std::string &text)
{
    if (!text.empty())
        text[randomBelow(text.size())] = static_cast<char>(randomBelow(256));
}

void Mutator::splice(std::string &text)
{
    const std::string &other = m_corpus[randomBelow(m_corpus.size())];
    text = text.substr(0, randomBelow(text.size())) + other.substr(randomBelow(other.size()));
}

void Mutator::insertNesting(std::string &text)
{
    text.insert(randomBelow(text.size()),
                std::string(NestingDepth, randomBelow(2) == 0 ? '[' : '{'));
}

} // namespace foxwing::test
