/*
    Formatting, limits and buffer of log lines.

    [SECTION] Event
    [SECTION] Log
*/
#include <foxwing/eventlog/eventlog.h>

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

#include <foxwing/base/clock.h>

namespace foxwing::eventlog {

// [SECTION] Event

namespace {

void appendQuoted(std::string &line, const std::string &text)
{
    line.push_back('"');
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
            line.push_back(c);
        } else if (static_cast<unsigned char>(c) < 0x20) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(c));
            line += escaped;
        } else {
            line.push_back(c);
        }
    }
    line.push_back('"');
}

void appendName(std::string &line, const char *field)
{
    line += ",\"";
    line += field;
    line += "\":";
}

} // namespace

Event::Event(const char *name, EventKind kind)
    : m_name(name)
    , m_kind(kind)
{ }

Event &Event::with(const char *field, const std::string &value)
{
    appendName(m_fields, field);
    appendQuoted(m_fields, value);
    return *this;
}

Event &Event::with(const char *field, const char *value)
{
    return with(field, std::string(value));
}

Event &Event::with(const char *field, std::int64_t value)
{
    appendName(m_fields, field);
    m_fields += std::to_string(value);
    return *this;
}

Event &Event::with(const char *field, std::uint64_t value)
{
    appendName(m_fields, field);
    m_fields += std::to_string(value);
    return *this;
}

Event &Event::with(const char *field, Microseconds duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", toMilliseconds(duration));
    appendName(m_fields, field);
    m_fields += text;
    return *this;
}

// [SECTION] Log

EventLog::EventLog(std::string nodeName, EventLogSettings initialSettings, int descriptor)
    : node(std::move(nodeName))
    , settings(initialSettings)
    , output(descriptor)
{
    const int flags = ::fcntl(output, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(output, F_SETFL, flags | O_NONBLOCK);
}

namespace {

void append(EventLog &log, WallTime date, const Event &event)
{
    std::string line = "{\"time_ms\":" + std::to_string(date.time_since_epoch().count());
    appendName(line, "node");
    appendQuoted(line, log.node);
    appendName(line, "event");
    appendQuoted(line, event.name());
    line += event.fields();
    line += "}\n";
    log.buffer += line;
    ++log.written;
}

// Resets the limits and reports the lines that were dropped in the previous second.
void startSecond(EventLog &log, Time now, WallTime date)
{
    log.secondStart = now;
    log.requestLines = 0;
    log.changeLines = 0;
    if (log.dropped.empty())
        return;
    Event report = change("lines-left-out");
    for (const auto &[name, count] : log.dropped)
        report.with(name.c_str(), count);
    log.dropped.clear();
    append(log, date, report);
}

} // namespace

void writeEvent(EventLog &log, Time now, WallTime date, const Event &event)
{
    if (now >= log.secondStart + Seconds(1))
        startSecond(log, now, date);
    const bool isChange = event.kind() == EventKind::Change;
    std::uint32_t &lines = isChange ? log.changeLines : log.requestLines;
    const std::uint32_t limit = isChange ? log.settings.changeLinesPerSecond
                                         : log.settings.requestLinesPerSecond;
    if (lines >= limit || log.buffer.size() >= log.settings.maxBufferedBytes) {
        ++log.dropped[event.name()];
        ++log.droppedTotal;
        return;
    }
    ++lines;
    append(log, date, event);
}

void writeEvent(EventLog &log, const Event &event)
{
    writeEvent(log, steadyNow(), wallClockNow(), event);
}

void flush(EventLog &log)
{
    while (!log.buffer.empty()) {
        const auto count = ::write(log.output, log.buffer.data(), log.buffer.size());
        if (count <= 0)
            return;
        log.buffer.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace foxwing::eventlog
