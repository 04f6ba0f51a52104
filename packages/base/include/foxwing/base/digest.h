/*
    Digests and hashes.

    sha256Hex() stands for content that must not be confused (bodies, tokens); rendezvousWeight()
    only spreads keys over nodes.

    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxwing {

// [SECTION] Functions

// The SHA-256 of text, as 64 hexadecimal digits.
std::string sha256Hex(std::string_view text);

// Whether two strings are equal, in a time that depends on their lengths only.
bool equalInConstantTime(std::string_view left, std::string_view right);

// The weight of a node for a key in rendezvous hashing: the node with the highest weight has it.
// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

// A plain 64-bit hash of a key.
std::uint64_t hash64(std::string_view key);

} // namespace foxwing
