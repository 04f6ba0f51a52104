/*
    What one process delivers to another in one call: a batch of messages with the sender's name.

    [SECTION] Types
*/
#pragma once

#include <json/json.h>
#include <string>
#include <vector>

namespace foxwing::wire {

// [SECTION] Types

struct Envelope
{
    // Who sent it, and where that process listens for answers.
    std::string from;
    std::string address;

    // Shared by the processes of one cluster; others are turned away.
    std::string secret;

    // Encoded by encodeMessage().
    std::vector<Json::Value> messages;
};

} // namespace foxwing::wire
