/*
    Parses TOML text without aborting the process on malformed input.

    Some malformed texts violate assertions inside toml++ 3.3. Here these throw and become errors
    like all others. Include this header instead of toml++ itself.

        std::optional<toml::table> document = parseToml(text, "node.toml", &reason);

    [SECTION] Library
    [SECTION] Function
*/
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include <foxwing/base/error.h>

// [SECTION] Library

#define TOML_ASSERT(condition)                                                                     \
    ((condition) ? static_cast<void>(0) : throw std::logic_error("malformed text"))
#if defined(__GNUC__) && !defined(__clang__)
// A violated assertion in a noexcept function still terminates the process.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wterminate"
#endif
#include <toml++/toml.h>
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic pop
#endif

namespace foxwing::settings {

// [SECTION] Function

// The document, or nothing and a reason that names path and line.
std::optional<toml::table> parseToml(const std::string &text, const std::string &path,
                                     Error *reason);

// The text of a settings file, or nothing and a reason that names the file.
std::optional<std::string> readSettingsText(const std::string &path, Error *reason);

} // namespace foxwing::settings
