/*
    Teams and services from the active configuration, and authentication of teams.

    [SECTION] Types
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::entry {

// [SECTION] Types

struct Team
{
    std::string name;

    // Tokens are "team.secret"; only a salted SHA-256 of the secret is kept.
    std::string salt;
    std::string tokenHash;

    // Share of a saturated service, relative to other teams
    double weight = 1;

    // Maximum of concurrent tasks over all entries; 0 for no limit
    std::uint32_t concurrency = 0;
};

struct Service
{
    std::string name;

    // Limits for one submission
    std::uint32_t maxTasks = 1000;
    std::uint32_t maxPayloadBytes = 1U << 20U;
    Milliseconds maxTaskTime { 600000 };
};

struct Registry
{
    std::unordered_map<std::string, Team> teams;
    std::unordered_map<std::string, Service> services;
};

// [SECTION] Functions

// Returns the team of a token. Compares in constant time, and fails alike for an unknown team and a
// wrong secret, so that team names can't be probed.
std::optional<std::string> authenticate(const Registry &registry, const std::string &token,
                                        Error *reason);

// Salted hash of a secret, as stored in Team::tokenHash.
std::string hashSecret(const std::string &salt, const std::string &secret);

} // namespace foxwing::entry
