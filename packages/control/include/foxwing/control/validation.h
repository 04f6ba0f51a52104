/*
    What operators may declare: the kinds of resources and the fields of each.

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

// Reads a spec; fields that are not there keep their defaults, unknown ones are errors.
std::optional<TeamSpec> parseTeamSpec(const std::string &spec, Error *reason);
std::optional<ServiceSpec> parseServiceSpec(const std::string &spec, Error *reason);

// Whether a change can be accepted as far as its own content goes; the reason names the field and
// the remedy.
bool validateChange(const ChangeRequest &change, Error *reason);

} // namespace foxwing::control
