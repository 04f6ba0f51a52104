/*
    Seeded mutation of messages, for fuzzing.

        Mutator mutator(seed, corpus);
        std::string mutated = mutator.next();

    [SECTION] Settings
    [SECTION] Mutator
*/
#pragma once

#include <random>
#include <string>
#include <vector>

namespace foxwing::test {

// [SECTION] Settings

// Number of messages for each reader (FOXWING_FUZZ_MESSAGES, default 20,000), and the seed
// (FOXWING_FIRST_SEED, default 1).
std::uint64_t fuzzMessages();
std::uint64_t fuzzSeed();

// [SECTION] Mutator

// Applies one to three mutations to a message of the corpus: replaces values and bytes, drops
// members, erases or duplicates ranges, splices two messages, inserts deep nesting.
class Mutator
{
public:
    Mutator(std::uint64_t seed, std::vector<std::string> corpus);

    std::string next();

private:
    std::size_t randomBelow(std::size_t bound);
    void mutate(std::string &text);
    void replaceValue(std::string &text);
    void dropMember(std::string &text);
    void eraseRange(std::string &text);
    void duplicateRange(std::string &text);
    void replaceByte(std::string &text);
    void splice(std::string &text);
    void insertNesting(std::string &text);

    std::mt19937_64 m_random;
    std::vector<std::string> m_corpus;
};

} // namespace foxwing::test
