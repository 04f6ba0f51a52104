/*
    Validation of declared resources.

    [SECTION] Fields
    [SECTION] Functions
*/
#include <foxwing/control/validation.h>

#include <algorithm>

namespace foxwing::control {

// [SECTION] Fields

namespace {

constexpr std::size_t MaxNameLength = 63;

// Reads the present members of a spec and reports unknown ones.
class SpecReader
{
public:
    SpecReader(const std::string &spec, const char *kind, Error *reason)
        : m_kind(kind)
        , m_reason(reason)
    {
        const auto json = parseJson(spec, reason);
        m_ok = json.has_value();
        if (!m_ok)
            return;
        m_json = *json;
        if (!m_json.isObject())
            reject("spec", "must be an object");
    }

    void text(const char *name, std::string &value)
    {
        if (const Json::Value *member = takeMember(name)) {
            if (member->isString())
                value = member->asString();
            else
                reject(name, "must be a string");
        }
    }

    template<class Number>
    void integer(const char *name, Number &value, std::uint64_t min, std::uint64_t max)
    {
        if (const Json::Value *member = takeMember(name)) {
            if (member->isUInt64() && member->asUInt64() >= min && member->asUInt64() <= max)
                value = static_cast<Number>(member->asUInt64());
            else
                reject(name,
                       "must be a whole number from " + std::to_string(min) + " to "
                               + std::to_string(max));
        }
    }

    void number(const char *name, double &value)
    {
        if (const Json::Value *member = takeMember(name)) {
            const bool isValid = member->isNumeric() && member->asDouble() >= 0.01
                    && member->asDouble() <= 1000;
            if (isValid)
                value = member->asDouble();
            else
                reject(name, "must be a number from 0.01 to 1000");
        }
    }

    bool finish()
    {
        if (m_ok && !m_json.empty())
            reject(m_json.getMemberNames().front(), "is not known; remove it or correct its name");
        return m_ok;
    }

private:
    const Json::Value *takeMember(const char *name)
    {
        if (!m_ok || !m_json.isMember(name))
            return nullptr;
        m_json.removeMember(name, &m_member);
        return &m_member;
    }

    void reject(const std::string &field, const std::string &problem)
    {
        m_ok = false;
        fail(m_reason, ErrorKind::BadRequest,
             std::string(m_kind) + ": \"" + field + "\" " + problem);
    }

    const char *m_kind;
    Error *m_reason;
    Json::Value m_json;
    Json::Value m_member;
    bool m_ok = true;
};

bool validName(const std::string &name)
{
    const auto isValid = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !name.empty() && name.size() <= MaxNameLength && name.front() != '-'
            && std::all_of(name.begin(), name.end(), isValid);
}

} // namespace

// [SECTION] Functions

std::optional<TeamSpec> parseTeamSpec(const std::string &spec, Error *reason)
{
    TeamSpec team;
    SpecReader reader(spec, "team", reason);
    reader.text("salt", team.salt);
    reader.text("tokenHash", team.tokenHash);
    reader.number("weight", team.weight);
    reader.integer("concurrency", team.concurrency, 0, 1000000);
    if (!reader.finish())
        return std::nullopt;
    if (team.salt.size() < 8 || team.tokenHash.size() != 64)
        return fail(reason, ErrorKind::BadRequest,
                    "team: \"salt\" and \"tokenHash\" must be as printed by: foxwing token");
    return team;
}

std::optional<ServiceSpec> parseServiceSpec(const std::string &spec, Error *reason)
{
    ServiceSpec service;
    SpecReader reader(spec, "service", reason);
    reader.integer("mostTasks", service.maxTasks, 1, 10000);
    reader.integer("mostPayloadBytes", service.maxPayloadBytes, 1, 16U << 20U);
    reader.integer("longestTimeMs", service.maxTimeMs, 1, std::uint64_t { 24 } * 3600 * 1000);
    if (!reader.finish())
        return std::nullopt;
    return service;
}

bool validateChange(const ChangeRequest &change, Error *reason)
{
    if (!validName(change.name)) {
        fail(reason, ErrorKind::BadRequest,
             "\"name\" must have 1 to 63 lower-case letters, digits or dashes and not start with a "
             "dash");
        return false;
    }
    if (change.kind == "team")
        return change.remove || parseTeamSpec(change.spec, reason).has_value();
    if (change.kind == "service")
        return change.remove || parseServiceSpec(change.spec, reason).has_value();
    fail(reason, ErrorKind::BadRequest,
         "there is no kind \"" + change.kind + "\"; use team or service");
    return false;
}

} // namespace foxwing::control
