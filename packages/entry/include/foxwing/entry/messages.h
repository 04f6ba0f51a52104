/*
    What entries tell each other about answers.

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

// A caller of another entry waits for this job's answer. Repeated until it is answered.
struct Join
{
    static constexpr const char *Type = "join";
    std::string from;
    std::string job;

    // The caller wants it cancelled.
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

// [SECTION] Variant

using EntryMessage = std::variant<Join, JoinAnswer>;

} // namespace foxwing::entry
