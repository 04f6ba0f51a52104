/*
    Log lines over Boost.Log: one line for each change of state, as key=value pairs.

        logEvent(LogLevel::Info, "view", { { "number", "7" }, { "entries", "3" } });

    [SECTION] Functions
*/
#pragma once

#include <initializer_list>
#include <string>

namespace foxwing::node {

// [SECTION] Functions

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogField
{
    const char *name;
    std::string value;
};

// Lines go to standard error; level is one of the names that settings know.
void initLog(const std::string &level, const std::string &node);

void logEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields);

} // namespace foxwing::node
