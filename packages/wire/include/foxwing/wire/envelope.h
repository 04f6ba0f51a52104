/*
    A batch of messages that one process delivers to another in one call.

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
    // Name of the sender, and the address on which it receives messages.
    std::string from;
    std::string address;

    // Shared by all processes of a cluster; a call with another secret is refused.
    std::string secret;

    // Encoded by encodeMessage().
    std::vector<Json::Value> messages;
};

} // namespace foxwing::wire
