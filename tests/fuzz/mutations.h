/*
    Seeded damage to messages, for fuzzing.

        Mutator mutator(seed, goldenTexts);
        std::string odd = mutator.next();

    [SECTION] Settings
    [SECTION] Mutator
*/
#pragma once

#include <random>
#include <string>
#include <vector>

namespace foxwing::test {

// [SECTION] Settings

// How many messages a reader gets (FOXWING_FUZZ_MESSAGES, or 20,000), and the seed
// (FOXWING_FIRST_SEED, or 1).
std::uint64_t fuzzMessages();
std::uint64_t fuzzSeed();

// [SECTION] Mutator

// Takes one of the golden messages and damages it up to three times: members dropped, repeated or
// written otherwise, spans cut, two messages spliced, odd bytes, deep nesting.
class Mutator
{
public:
    Mutator(std::uint64_t seed, std::vector<std::string> golden);

    std::string next();

private:
    std::size_t below(std::size_t bound);
    void damage(std::string &text);
    void replaceValue(std::string &text);
    void dropMember(std::string &text);
    void cutSpan(std::string &text);
    void repeatSpan(std::string &text);
    void changeByte(std::string &text);
    void splice(std::string &text);
    void nest(std::string &text);

    std::mt19937_64 m_random;
    std::vector<std::string> m_golden;
};

} // namespace foxwing::test
