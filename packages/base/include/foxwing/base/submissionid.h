/*
    Submission ids: version 7 UUIDs (RFC 9562), chosen by the caller.

    The first 48 bits are the time the id was made. That lets foxwing forget: an id older than the
    retention of claims is answered "unknown" and never started, so forgetting an old submission can
    not start it a second time.

    [SECTION] Functions
*/
#pragma once

#include <optional>
#include <random>
#include <string>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing {

// [SECTION] Functions

// A new id for a submission made now.
std::string makeSubmissionId(WallTime now, std::mt19937_64 &random);

// When an id was made, or nothing with the reason if it is no version 7 UUID.
std::optional<WallTime> submissionTime(const std::string &id, Error *reason);

} // namespace foxwing
