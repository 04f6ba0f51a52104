/*
    Structured log on Boost.Log: one line of key=value pairs for each change of state.

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

// Log lines go to standard error. The level is "debug", "info", "warning" or "error".
void initLog(const std::string &level, const std::string &node);

void logEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields);

} // namespace foxwing::node
