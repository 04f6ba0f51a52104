/*
    Kinds of declared resources, their fields and their validation.

    [SECTION] Specs
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <string>

#include <foxwing/base/codec.h>
#include <foxwing/control/resources.h>

namespace foxwing::control {

// [SECTION] Specs

// kind "team"
struct TeamSpec
{
    std::string salt;
    std::string tokenHash;
    double weight = 1;
    std::uint32_t concurrency = 0;
};

// kind "service"
struct ServiceSpec
{
    std::uint32_t maxTasks = 1000;
    std::uint32_t maxPayloadBytes = 1U << 20U;
    std::uint64_t maxTimeMs = 600000;
};

// [SECTION] Functions

// Parse a spec. Absent fields keep their defaults; unknown ones are errors.
std::optional<TeamSpec> parseTeamSpec(const std::string &spec, Error *reason);
std::optional<ServiceSpec> parseServiceSpec(const std::string &spec, Error *reason);

// Checks the content of a change, without the store. The reason names the field and the remedy.
bool validateChange(const ChangeRequest &change, Error *reason);

} // namespace foxwing::control
