/*
    Messages between entries: joins, answers, handed-off work and load reports.

    [SECTION] Messages
    [SECTION] Variant
*/
#pragma once

#include <string>
#include <variant>
#include <vector>

#include <foxwing/base/codec.h>

namespace foxwing::entry {

// [SECTION] Messages

// A caller of the sender waits for this job's answer. Repeated until answered.
struct Join
{
    static constexpr const char *Type = "join";
    std::string from;
    std::string job;

    // The caller wants the job cancelled.
    bool cancel = false;
};
template<class Fields>
void describe(Fields &fields, Join &join)
{
    fields("from", join.from);
    fields("job", join.job);
    fields("cancel", join.cancel);
}

struct JoinAnswer
{
    static constexpr const char *Type = "join-answer";
    std::string job;
    Outcome outcome = Outcome::Pending;
    std::vector<std::string> results;
    ErrorKind kind = ErrorKind::None;
    std::string message;
};
template<class Fields>
void describe(Fields &fields, JoinAnswer &answer)
{
    fields("job", answer.job);
    fields("outcome", answer.outcome);
    fields("results", answer.results);
    fields("kind", answer.kind);
    fields("message", answer.message);
}

// A submission that the receiver should run because it has more free slots. Repeated until
// answered with JoinAnswer.
struct Handoff
{
    static constexpr const char *Type = "handoff";
    std::string from;

    // The submission
    std::string team;
    std::string submission;
    std::string digest;
    std::string service;
    std::string workClass;
    std::vector<std::string> payloads;
    Microseconds declaredTime { 0 };
    Microseconds timeLeft { 0 };
    bool repeatable = false;
    bool request = false;
};
template<class Fields>
void describe(Fields &fields, Handoff &handoff)
{
    fields("from", handoff.from);
    fields("team", handoff.team);
    fields("submission", handoff.submission);
    fields("digest", handoff.digest);
    fields("service", handoff.service);
    fields("workClass", handoff.workClass);
    fields("payloads", handoff.payloads);
    fields("declaredTime", handoff.declaredTime);
    fields("timeLeft", handoff.timeLeft);
    fields("repeatable", handoff.repeatable);
    fields("request", handoff.request);
}

// Load of one service at the sender.
struct ReportedLoad
{
    std::string service;
    std::uint32_t slots = 0;
    std::uint32_t busy = 0;
    std::uint32_t waiting = 0;
};
template<class Fields>
void describe(Fields &fields, ReportedLoad &load)
{
    fields("service", load.service);
    fields("slots", load.slots);
    fields("busy", load.busy);
    fields("waiting", load.waiting);
}

// Sent to all other entries on change, at a limited rate.
struct LoadReport
{
    static constexpr const char *Type = "load";
    std::string from;
    std::string dataCentre;
    bool leaving = false;
    std::vector<ReportedLoad> loads;
};
template<class Fields>
void describe(Fields &fields, LoadReport &report)
{
    fields("from", report.from);
    fields("dataCentre", report.dataCentre);
    fields("leaving", report.leaving);
    fields("loads", report.loads);
}

// [SECTION] Variant

using EntryMessage = std::variant<Join, JoinAnswer, Handoff, LoadReport>;

} // namespace foxwing::entry
