/*
    Structured log lines on Boost.Log.

    [SECTION] Functions
*/
#include <foxwing/node/log.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace foxwing::node {

namespace trivial = boost::log::trivial;

// [SECTION] Functions

namespace {

trivial::severity_level severity(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return trivial::debug;
    case LogLevel::Info:
        return trivial::info;
    case LogLevel::Warning:
        return trivial::warning;
    case LogLevel::Error:
        break;
    }
    return trivial::error;
}

std::string &nodeName()
{
    static std::string name;
    return name;
}

// Quotes values with blanks, quotes, equals signs or line breaks, so that lines can be parsed.
std::string quoted(const std::string &value)
{
    if (value.find_first_of(" \"=\n") == std::string::npos && !value.empty())
        return value;
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text.push_back('\\');
        text += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return text + "\"";
}

} // namespace

void initLog(const std::string &level, const std::string &node)
{
    nodeName() = node;
    trivial::severity_level minSeverity = trivial::info;
    trivial::from_string(level.c_str(), level.size(), minSeverity);
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::cerr,
                                boost::log::keywords::format = "%TimeStamp% %Severity% %Message%",
                                boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(trivial::severity >= minSeverity);
}

void logEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields)
{
    std::string line = "node=" + quoted(nodeName()) + " event=" + event;
    for (const LogField &field : fields)
        line += std::string(" ") + field.name + "=" + quoted(field.value);
    boost::log::sources::severity_logger_mt<trivial::severity_level> &logger =
            trivial::logger::get();
    BOOST_LOG_SEV(logger, severity(level)) << line;
}

} // namespace foxwing::node
