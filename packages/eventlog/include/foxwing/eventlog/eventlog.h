/*
    Structured lines on standard output that never hold up the process.

        EventLog log("front-1", EventLogSettings());
        writeEvent(log, now, Event("job-answered").with("request", id).with("waited_ms", 12));
        flush(log);   // now and then, from the loop

    Each line is a JSON object: time, node, event, then the fields. Lines wait in a bounded buffer
    until flush() hands them to the kernel without blocking. A process may write a bounded number
    of lines a second; what comes beyond, or does not fit the buffer, is counted by event and told
    in one line "lines-left-out" a second later. Lines of the kind Change (start, stop, reload, a
    lost or regained dependency) have a reserve of their own, so that a flood of requests can't
    hide them.

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
    // Lines of requests a second. An entry of the largest site answers 70 jobs a second, 130 in a
    // burst, with one line each and one for each thing out of the ordinary.
    std::uint32_t requestLinesPerSecond = 250;

    // Lines of changes a second.
    std::uint32_t changeLinesPerSecond = 100;

    // Lines that the kernel has not taken yet.
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
    Event &with(const char *field, Microseconds span);

    const char *name() const { return m_name; }
    EventKind kind() const { return m_kind; }
    const std::string &fields() const { return m_fields; }

private:
    const char *m_name;
    EventKind m_kind;
    std::string m_fields;
};

// An event that changes what the process believes of itself or of others.
inline Event change(const char *name)
{
    return Event(name, EventKind::Change);
}

// [SECTION] Log

struct EventLog
{
    EventLog(std::string nodeName, EventLogSettings with, int descriptor = 1);

    std::string node;
    EventLogSettings settings;

    // Where lines go; made non-blocking.
    int output;

    std::string buffer;
    Time secondBegan {};
    std::uint32_t requestLines = 0;
    std::uint32_t changeLines = 0;

    // Lines left out in this second, by event, and in all.
    std::map<std::string, std::uint64_t> dropped;
    std::uint64_t droppedTotal = 0;
    std::uint64_t written = 0;
};

void writeEvent(EventLog &log, Time now, WallTime date, const Event &event);

// The same, with the clocks read here; for shells.
void writeEvent(EventLog &log, const Event &event);

// Hands to the kernel what it takes without blocking.
void flush(EventLog &log);

} // namespace foxwing::eventlog
