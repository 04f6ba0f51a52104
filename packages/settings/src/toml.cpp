/*
    Turns toml++'s exceptions into errors.

    [SECTION] Function
*/
#include <foxwing/settings/toml.h>

#include <fstream>
#include <sstream>

namespace foxwing::settings {

// [SECTION] Function

std::optional<toml::table> parseToml(const std::string &text, const std::string &path,
                                     Error *reason)
{
    try {
        return toml::parse(text, path);
    } catch (const toml::parse_error &error) {
        return fail(reason, ErrorKind::BadRequest,
                    path + ":" + std::to_string(error.source().begin.line) + ": "
                            + std::string(error.description()) + "; correct the TOML text");
    } catch (const std::exception &error) {
        return fail(reason, ErrorKind::BadRequest,
                    path + ": " + error.what() + "; correct the TOML text");
    }
}

std::optional<std::string> readSettingsText(const std::string &path, Error *reason)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return fail(reason, ErrorKind::NotFound,
                    path + ": can't be read; name an existing settings file");
    return text.str();
}

} // namespace foxwing::settings
