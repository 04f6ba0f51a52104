/*
    JSON encoding of typed messages, over jsoncpp.

    A message is a plain struct with a constant Type and a describe() that names each field once:

        struct Ping
        {
            static constexpr const char *Type = "ping";
            std::uint64_t number = 0;
        };
        template<class Fields>
        void describe(Fields &fields, Ping &ping)
        {
            fields("number", ping.number);
        }

    This enables toJson(message) and fromJson(json, &message, &reason), and encodeMessage() and
    decodeMessage() for a std::variant of such messages. Unknown members are ignored, so that a
    newer process can talk to an older one; missing members and members of the wrong type are errors
    that name the field.

    [SECTION] Writer
    [SECTION] Ranges
    [SECTION] Reader
    [SECTION] Structs
    [SECTION] Variants
    [SECTION] Text
*/
#pragma once

#include <chrono>
#include <cstdint>
#include <json/json.h>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing {

// [SECTION] Writer

class JsonWriter
{
public:
    template<class T>
    void operator()(const char *name, const T &value)
    {
        m_json[name] = write(value);
    }

    Json::Value take() { return std::move(m_json); }

    template<class T>
    static Json::Value write(const T &value);

private:
    Json::Value m_json { Json::objectValue };
};

// [SECTION] Ranges

// Whether a received number is a valid value of type T. An enumeration that is used in a message
// needs an overload of lastOf() in its namespace that returns its last enumerator:
//
//     constexpr Role lastOf(Role) { return Role::Agent; }
template<class T>
constexpr bool isValueOf(std::uint64_t number)
{
    if constexpr (std::is_enum_v<T>)
        return number <= static_cast<std::uint64_t>(lastOf(T {}));
    else
        return number <= static_cast<std::uint64_t>(std::numeric_limits<T>::max());
}

// [SECTION] Reader

class JsonReader
{
public:
    // Reads from an object. The first error is stored in reason; after it nothing more is read.
    JsonReader(const Json::Value &json, std::string path, Error *reason);

    template<class T>
    void operator()(const char *name, T &value)
    {
        const Json::Value *member = find(name);
        if (member)
            read(*member, m_path + name, value);
    }

    bool ok() const { return m_ok; }

private:
    const Json::Value *find(const char *name);
    void expect(const std::string &path, const char *what);
    void read(const Json::Value &json, const std::string &path, std::string &value);
    void read(const Json::Value &json, const std::string &path, bool &value);
    void read(const Json::Value &json, const std::string &path, double &value);
    void readInteger(const Json::Value &json, const std::string &path, std::int64_t &value);
    void readUnsigned(const Json::Value &json, const std::string &path, std::uint64_t &value);

    template<class T>
    void read(const Json::Value &json, const std::string &path, T &value);
    template<class T>
    void read(const Json::Value &json, const std::string &path, std::vector<T> &value);
    template<class Rep, class Period>
    void read(const Json::Value &json, const std::string &path,
              std::chrono::duration<Rep, Period> &value);

    const Json::Value &m_json;
    std::string m_path;
    Error *m_reason;
    bool m_ok = true;
};

// [SECTION] Structs

template<class T>
Json::Value toJson(const T &message)
{
    JsonWriter writer;
    describe(writer, const_cast<T &>(message));
    return writer.take();
}

template<class T>
bool fromJson(const Json::Value &json, T *message, Error *reason, const std::string &path = {})
{
    JsonReader reader(json, path, reason);
    if (reader.ok())
        describe(reader, *message);
    return reader.ok();
}

template<class T>
struct IsVector : std::false_type
{ };
template<class T>
struct IsVector<std::vector<T>> : std::true_type
{ };
template<class T>
struct IsDuration : std::false_type
{ };
template<class Rep, class Period>
struct IsDuration<std::chrono::duration<Rep, Period>> : std::true_type
{ };

template<class T>
Json::Value JsonWriter::write(const T &value)
{
    if constexpr (std::is_enum_v<T>) {
        return Json::Value(static_cast<Json::Int>(value));
    } else if constexpr (IsDuration<T>::value) {
        return Json::Value(static_cast<Json::Int64>(value.count()));
    } else if constexpr (
            std::is_same_v<T,
                           bool> || std::is_same_v<T, double> || std::is_same_v<T, std::string>) {
        return Json::Value(value);
    } else if constexpr (std::is_integral_v<T> && std::is_unsigned_v<T>) {
        return Json::Value(static_cast<Json::UInt64>(value));
    } else if constexpr (std::is_integral_v<T>) {
        return Json::Value(static_cast<Json::Int64>(value));
    } else if constexpr (IsVector<T>::value) {
        Json::Value array(Json::arrayValue);
        for (const auto &item : value)
            array.append(write(item));
        return array;
    } else {
        return toJson(value);
    }
}

template<class T>
void JsonReader::read(const Json::Value &json, const std::string &path, T &value)
{
    if constexpr (std::is_integral_v<T> && std::is_signed_v<T>) {
        static_assert(sizeof(T) == sizeof(std::int64_t),
                      "narrower signed types need a range check");
        std::int64_t number = 0;
        readInteger(json, path, number);
        if (m_ok)
            value = static_cast<T>(number);
    } else if constexpr (std::is_enum_v<T> || std::is_integral_v<T>) {
        std::uint64_t number = 0;
        readUnsigned(json, path, number);
        if (m_ok && !isValueOf<T>(number))
            expect(path, "a value that this version knows");
        if (m_ok)
            value = static_cast<T>(number);
    } else {
        m_ok = m_ok && fromJson(json, &value, m_reason, path + ".");
    }
}

template<class T>
void JsonReader::read(const Json::Value &json, const std::string &path, std::vector<T> &value)
{
    if (!json.isArray())
        return expect(path, "an array");
    value.clear();
    value.reserve(json.size());
    for (Json::ArrayIndex i = 0; i < json.size() && m_ok; ++i) {
        value.emplace_back();
        read(json[i], path + "[" + std::to_string(i) + "]", value.back());
    }
}

template<class Rep, class Period>
void JsonReader::read(const Json::Value &json, const std::string &path,
                      std::chrono::duration<Rep, Period> &value)
{
    std::int64_t count = 0;
    readInteger(json, path, count);
    if (m_ok)
        value = std::chrono::duration<Rep, Period>(count);
}

// [SECTION] Variants

// {"type": ..., "body": ...} for the message that the variant contains.
template<class... Messages>
Json::Value encodeMessage(const std::variant<Messages...> &message)
{
    Json::Value json(Json::objectValue);
    std::visit(
            [&json](const auto &alternative) {
                json["type"] = std::decay_t<decltype(alternative)>::Type;
                json["body"] = toJson(alternative);
            },
            message);
    return json;
}

template<class Variant, std::size_t Index = 0>
std::optional<Variant> decodeMessage(const Json::Value &json, Error *reason)
{
    if constexpr (Index == 0) {
        if (!json.isObject() || !json["type"].isString())
            return fail(reason, ErrorKind::BadRequest,
                        "a message needs a member \"type\"; check that both processes run the same "
                        "version");
    }
    if constexpr (Index == std::variant_size_v<Variant>) {
        return fail(reason, ErrorKind::BadRequest,
                    "unknown message type \"" + json["type"].asString()
                            + "\"; upgrade the process that received it");
    } else {
        using Message = std::variant_alternative_t<Index, Variant>;
        if (json["type"].asString() != Message::Type)
            return decodeMessage<Variant, Index + 1>(json, reason);
        Message message;
        if (!fromJson(json["body"], &message, reason))
            return std::nullopt;
        return Variant(std::move(message));
    }
}

// [SECTION] Text

// Writes JSON without white space.
std::string writeJson(const Json::Value &json);

// Whether the text has more values than this, counted without parsing it. A parsed value takes many
// times its text in memory.
bool hasMoreValues(const std::string &json, std::size_t maxValues);

// Parses one JSON document. Duplicate keys, trailing text and deep nesting are errors; the reason
// contains line and column.
std::optional<Json::Value> parseJson(const std::string &text, Error *reason);

} // namespace foxwing
