/*
    Digests and hashes.

    Use sha256Hex() where collisions must not occur (bodies, tokens); rendezvousWeight() and
    hash64() are not cryptographic and only distribute keys.

    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxwing {

// [SECTION] Functions

// The SHA-256 digest of text, as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

// Compares two strings in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

// The weight of a node for a key in rendezvous hashing: the node with the highest weight owns it.
// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

// A 64-bit hash of a key, the same in every process.
std::uint64_t hash64(std::string_view key);

} // namespace foxwing
