/*
    Authentication of teams.

    [SECTION] Functions
*/
#include <foxwing/entry/teams.h>

#include <foxwing/base/digest.h>

namespace foxwing::entry {

// [SECTION] Functions

std::string hashSecret(const std::string &salt, const std::string &secret)
{
    return sha256Hex(salt + ":" + secret);
}

std::optional<std::string> authenticate(const Registry &registry, const std::string &token,
                                        Error *reason)
{
    static const Team dummyTeam { "", "no salt", std::string(64, '0'), 1, 0 };
    const std::size_t dot = token.find('.');
    const std::string name = token.substr(0, dot);
    const std::string secret = dot == std::string::npos ? std::string() : token.substr(dot + 1);
    const auto found = registry.teams.find(name);
    const Team &team = found == registry.teams.end() ? dummyTeam : found->second;
    const bool same = equalInConstantTime(hashSecret(team.salt, secret), team.tokenHash);
    if (!same || found == registry.teams.end())
        return fail(reason, ErrorKind::Unauthenticated,
                    "no team has this token; send the header \"Authorization: Bearer TOKEN\" with "
                    "the token that the operator gave to your team");
    return name;
}

} // namespace foxwing::entry
