/*
    Creates and parses version 7 UUIDs.

    [SECTION] Functions
*/
#include <foxwing/base/submissionid.h>

#include <cstdio>

namespace foxwing {

// [SECTION] Functions

std::string makeSubmissionId(WallTime now, std::mt19937_64 &random)
{
    const auto timestamp = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t high = random();
    const std::uint64_t low = random();
    char text[37];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-%04llx-%012llx",
                  static_cast<unsigned long long>((timestamp >> 16U) & 0xffffffffULL),
                  static_cast<unsigned long long>(timestamp & 0xffffULL),
                  static_cast<unsigned long long>(high & 0xfffULL),
                  static_cast<unsigned long long>(0x8000ULL | ((high >> 12U) & 0x3fffULL)),
                  static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return text;
}

std::optional<WallTime> submissionTime(const std::string &id, Error *reason)
{
    static const std::string pattern = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";
    static const std::string hexDigits = "0123456789abcdef";
    static const std::string variantDigits = "89ab";
    bool ok = id.size() == pattern.size();
    for (std::size_t i = 0; ok && i < id.size(); ++i) {
        if (pattern[i] == 'x')
            ok = hexDigits.find(id[i]) != std::string::npos;
        else if (pattern[i] == 'v')
            ok = variantDigits.find(id[i]) != std::string::npos;
        else
            ok = id[i] == pattern[i];
    }
    if (!ok)
        return fail(reason, ErrorKind::BadRequest,
                    "a submission id must be a version 7 UUID in lower case (RFC 9562); make a new "
                    "one for each submission and keep it for resubmissions");
    const std::string digits = id.substr(0, 8) + id.substr(9, 4);
    return WallTime(Milliseconds(std::stoll(digits, nullptr, 16)));
}

} // namespace foxwing
