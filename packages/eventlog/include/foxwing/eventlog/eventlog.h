/*
    Structured log on standard output that never blocks the process.

        EventLog log("front-1", EventLogSettings());
        writeEvent(log, Event("job-answered").with("request", id).with("waited_ms", 12));
        flush(log);   // regularly, from the event loop

    Each line is a JSON object: time, node, event, then the fields. Lines wait in a bounded buffer
    until flush() writes them without blocking. The number of lines per second is limited. Lines
    above the limit, or that don't fit the buffer, are dropped; they are counted by event and
    reported in one line "lines-left-out" in the next second with output. Lines of the kind Change
    (start, stop, reload, a lost or regained dependency) have a separate limit, so that a flood of
    requests can't suppress them.

    [SECTION] Settings
    [SECTION] Event
    [SECTION] Log
*/
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <foxwing/base/time.h>

namespace foxwing::eventlog {

// [SECTION] Settings

struct EventLogSettings
{
    // Lines of the kind Request per second. The most loaded entry answers 70 jobs per second, 130
    // in a burst, and writes one line for each job and one more for each anomaly.
    std::uint32_t requestLinesPerSecond = 250;

    std::uint32_t changeLinesPerSecond = 100;

    // Limit of the output that is not written yet
    std::size_t maxBufferedBytes = 256U << 10U;
};

// [SECTION] Event

enum class EventKind {
    Request,
    Change,
};

class Event
{
public:
    explicit Event(const char *name, EventKind kind = EventKind::Request);

    Event &with(const char *field, const std::string &value);
    Event &with(const char *field, const char *value);
    Event &with(const char *field, std::int64_t value);
    Event &with(const char *field, std::uint64_t value);
    Event &with(const char *field, int value) { return with(field, std::int64_t { value }); }
    Event &with(const char *field, unsigned value) { return with(field, std::uint64_t { value }); }
    Event &with(const char *field, Microseconds duration);

    const char *name() const { return m_name; }
    EventKind kind() const { return m_kind; }
    const std::string &fields() const { return m_fields; }

private:
    const char *m_name;
    EventKind m_kind;
    std::string m_fields;
};

// An event that reports a change in the state of this process or of another.
inline Event change(const char *name)
{
    return Event(name, EventKind::Change);
}

// [SECTION] Log

struct EventLog
{
    EventLog(std::string nodeName, EventLogSettings initialSettings, int descriptor = 1);

    std::string node;
    EventLogSettings settings;

    // File descriptor of the output, set to non-blocking
    int output;

    std::string buffer;
    Time secondStart {};
    std::uint32_t requestLines = 0;
    std::uint32_t changeLines = 0;

    // Lines dropped in this second by event, and in total
    std::map<std::string, std::uint64_t> dropped;
    std::uint64_t droppedTotal = 0;
    std::uint64_t written = 0;
};

void writeEvent(EventLog &log, Time now, WallTime date, const Event &event);

// Reads the clocks itself; for code that does I/O.
void writeEvent(EventLog &log, const Event &event);

// Writes as much of the buffer as possible without blocking.
void flush(EventLog &log);

} // namespace foxwing::eventlog
