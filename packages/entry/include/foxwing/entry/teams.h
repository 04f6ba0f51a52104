/*
    Teams and services as an entry knows them from the configuration in force.

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

    // Share of a busy service, relative to other teams.
    double weight = 1;

    // Tasks that may run at the same time over all entries; 0 for no limit.
    std::uint32_t concurrency = 0;
};

struct Service
{
    std::string name;

    // Limits on what one submission may ask for
    std::uint32_t mostTasks = 1000;
    std::uint32_t mostPayloadBytes = 1U << 20U;
    Milliseconds longestTime { 600000 };
};

struct Registry
{
    std::unordered_map<std::string, Team> teams;
    std::unordered_map<std::string, Service> services;
};

// [SECTION] Functions

// The team whose token this is, or nothing. Takes the same time for a wrong secret as for a right
// one, and the same answer for an unknown team as for a wrong secret.
std::optional<std::string> authenticate(const Registry &registry, const std::string &token,
                                        Error *reason);

// The salted hash under which a secret is kept.
std::string hashSecret(const std::string &salt, const std::string &secret);

} // namespace foxwing::entry
