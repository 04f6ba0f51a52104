/*
    The parts of the JSON codec that are not templates.

    [SECTION] Reader
    [SECTION] Text
*/
#include <foxwing/base/codec.h>

#include <memory>

namespace foxwing {

namespace {

// No message needs deeper nesting.
constexpr int MaxNestingDepth = 32;

} // namespace

// [SECTION] Reader

JsonReader::JsonReader(const Json::Value &json, std::string path, Error *reason)
    : m_json(json)
    , m_path(std::move(path))
    , m_reason(reason)
{
    if (!json.isObject())
        expect(m_path.empty() ? "the document" : m_path, "an object");
}

const Json::Value *JsonReader::find(const char *name)
{
    if (!m_ok)
        return nullptr;
    const Json::Value *member = m_json.find(name, name + std::char_traits<char>::length(name));
    if (!member)
        expect(m_path + name, "present");
    return member;
}

void JsonReader::expect(const std::string &path, const char *what)
{
    m_ok = false;
    fail(m_reason, ErrorKind::BadRequest, "\"" + path + "\" must be " + what);
}

void JsonReader::read(const Json::Value &json, const std::string &path, std::string &value)
{
    if (!json.isString())
        return expect(path, "a string");
    value = json.asString();
}

void JsonReader::read(const Json::Value &json, const std::string &path, bool &value)
{
    if (!json.isBool())
        return expect(path, "true or false");
    value = json.asBool();
}

void JsonReader::read(const Json::Value &json, const std::string &path, double &value)
{
    if (!json.isNumeric())
        return expect(path, "a number");
    value = json.asDouble();
}

void JsonReader::readInteger(const Json::Value &json, const std::string &path, std::int64_t &value)
{
    if (!json.isInt64())
        return expect(path, "a 64-bit integer");
    value = json.asInt64();
}

void JsonReader::readUnsigned(const Json::Value &json, const std::string &path,
                              std::uint64_t &value)
{
    if (!json.isUInt64())
        return expect(path, "an integer that is not negative");
    value = json.asUInt64();
}

// [SECTION] Text

std::string writeJson(const Json::Value &json)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        settings["emitUTF8"] = true;
        return settings;
    }();
    return Json::writeString(builder, json);
}

bool hasMoreValues(const std::string &json, std::size_t maxValues)
{
    std::size_t values = 1;
    bool inString = false;
    for (std::size_t at = 0; at < json.size() && values <= maxValues; ++at) {
        const char letter = json[at];
        if (letter == '"')
            inString = !inString;
        else if (inString)
            at += letter == '\\' ? 1 : 0;
        else if (letter == ',' || letter == '[' || letter == '{')
            ++values;
    }
    return values > maxValues;
}

std::optional<Json::Value> parseJson(const std::string &text, Error *reason)
{
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder settings;
        Json::CharReaderBuilder::strictMode(&settings.settings_);
        settings["stackLimit"] = MaxNestingDepth;
        settings["strictRoot"] = false;
        return settings;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &json, &errors))
            return json;
    } catch (const std::exception &exception) {
        errors = exception.what(); // jsoncpp throws when the nesting is too deep
    }
    return fail(reason, ErrorKind::BadRequest,
                "the JSON text can't be read; correct it: " + errors);
}

} // namespace foxwing
