/*
    Typed reading of TOML tables, with line numbers in errors.

    [SECTION] Values
    [SECTION] Tables
    [SECTION] Errors
*/
#include <foxwing/settings/tomlreader.h>

#include <algorithm>
#include <array>

namespace foxwing::settings {

// [SECTION] Values

namespace {

const toml::table &emptyTable()
{
    static const toml::table empty;
    return empty;
}

} // namespace

TomlReader::TomlReader(toml::table document, std::string path, Error *reason)
    : m_document(std::make_shared<const toml::table>(std::move(document)))
    , m_table(m_document.get())
    , m_path(std::move(path))
    , m_reason(reason)
{ }

TomlReader::TomlReader(std::shared_ptr<const toml::table> document, const toml::table *table,
                       std::string path, std::string prefix, Error *reason)
    : m_document(std::move(document))
    , m_table(table)
    , m_path(std::move(path))
    , m_prefix(std::move(prefix))
    , m_reason(reason)
{ }

bool TomlReader::ok() const
{
    return m_reason->kind == ErrorKind::None;
}

const toml::node *TomlReader::findNode(const char *key)
{
    m_readKeys.emplace_back(key);
    return ok() ? m_table->get(key) : nullptr;
}

void TomlReader::text(const char *key, std::string &value)
{
    const toml::node *node = findNode(key);
    if (node && !node->is_string())
        refuse(key, "must be a string in quotes");
    else if (node)
        value = node->as_string()->get();
}

void TomlReader::boolean(const char *key, bool &value)
{
    const toml::node *node = findNode(key);
    if (node && !node->is_boolean())
        refuse(key, "must be true or false");
    else if (node)
        value = node->as_boolean()->get();
}

void TomlReader::number(const char *key, double &value, double min, double max)
{
    const toml::node *node = findNode(key);
    if (!node)
        return;
    const std::optional<double> read = node->value<double>();
    if (!read || *read < min || *read > max)
        refuse(key, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
    else
        value = *read;
}

void TomlReader::readInteger(const char *key, std::int64_t &value, std::int64_t min,
                             std::int64_t max)
{
    const toml::node *node = findNode(key);
    if (!node)
        return;
    const bool fits = node->is_integer() && node->as_integer()->get() >= min
            && node->as_integer()->get() <= max;
    if (fits)
        value = node->as_integer()->get();
    else
        refuse(key,
               "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
}

namespace {

struct Unit
{
    const char *name;
    std::int64_t milliseconds;
};

constexpr std::array<Unit, 4> Units { {
        { "ms", 1 },
        { "s", 1000 },
        { "min", 60000 },
        { "h", 3600000 },
} };

// Durations with more digits are rejected as mistakes.
constexpr std::size_t MaxDurationDigits = 9;

std::optional<Milliseconds> parseDuration(const std::string &text)
{
    const std::size_t digits = text.find_first_not_of("0123456789");
    if (digits == 0 || digits == std::string::npos || digits > MaxDurationDigits)
        return std::nullopt;
    const std::string unit = text.substr(digits);
    const auto found = std::find_if(Units.begin(), Units.end(),
                                    [&](const Unit &known) { return unit == known.name; });
    if (found == Units.end())
        return std::nullopt;
    return Milliseconds(std::stoll(text.substr(0, digits)) * found->milliseconds);
}

} // namespace

void TomlReader::duration(const char *key, Milliseconds &value)
{
    const toml::node *node = findNode(key);
    if (!node)
        return;
    const auto read = node->is_string() ? parseDuration(node->as_string()->get()) : std::nullopt;
    if (read)
        value = *read;
    else
        refuse(key,
               "must be a duration with its unit in quotes, such as \"250ms\", \"3s\" or \"5min\"");
}

void TomlReader::duration(const char *key, Seconds &value)
{
    Milliseconds read = std::chrono::duration_cast<Milliseconds>(value);
    duration(key, read);
    if (read.count() % 1000 != 0)
        refuse(key, "must be a whole number of seconds");
    value = std::chrono::duration_cast<Seconds>(read);
}

void TomlReader::list(const char *key, std::vector<std::string> &values)
{
    const toml::node *node = findNode(key);
    if (!node)
        return;
    values.clear();
    const toml::array *array = node->as_array();
    if (!array)
        return refuse(key, "must be a list of strings");
    for (const toml::node &item : *array) {
        if (!item.is_string())
            return refuse(key, "must be a list of strings");
        values.push_back(item.as_string()->get());
    }
}

// [SECTION] Tables

TomlReader TomlReader::table(const char *key)
{
    const toml::node *node = findNode(key);
    if (node && !node->is_table())
        refuse(key, std::string("must be a table: [") + key + "]");
    const toml::table *inner = node && node->is_table() ? node->as_table() : &emptyTable();
    return { m_document, inner, m_path, m_prefix + key + ".", m_reason };
}

std::vector<TomlReader> TomlReader::tables(const char *key)
{
    std::vector<TomlReader> readers;
    const toml::node *node = findNode(key);
    if (!node)
        return readers;
    const toml::array *array = node->as_array();
    if (!array || !array->is_homogeneous(toml::node_type::table)) {
        refuse(key, "must be a list of tables: [[" + m_prefix + key + "]]");
        return readers;
    }
    for (const toml::node &item : *array)
        readers.push_back({ m_document, item.as_table(), m_path, m_prefix + key + ".", m_reason });
    return readers;
}

bool TomlReader::finish()
{
    for (const auto &item : *m_table) {
        const std::string key(item.first.str());
        if (std::find(m_readKeys.begin(), m_readKeys.end(), key) != m_readKeys.end())
            continue;
        refuseAt(item.first.source(), key, "is not known; remove it or correct its name");
    }
    return ok();
}

// [SECTION] Errors

void TomlReader::refuse(const char *key, const std::string &problem)
{
    const toml::node *node = m_table->get(key);
    refuseAt(node ? node->source() : m_table->source(), key, problem);
}

void TomlReader::refuseAt(const toml::source_region &region, const std::string &key,
                          const std::string &problem)
{
    if (!ok())
        return;
    std::string location = m_path;
    if (region.begin.line > 0)
        location += ":" + std::to_string(region.begin.line);
    fail(m_reason, ErrorKind::BadRequest, location + ": \"" + m_prefix + key + "\" " + problem);
}

} // namespace foxwing::settings
