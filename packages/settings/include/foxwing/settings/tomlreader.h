/*
    Typed access to the tables of a TOML document. Keys that were never read are reported as errors.

        TomlReader root(std::move(document), path, &reason);
        root.text("name", name);
        if (!root.finish())
            ...

    [SECTION] Reader
*/
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>
#include <foxwing/settings/toml.h>

namespace foxwing::settings {

// [SECTION] Reader

// Reads one table. The first error is stored in the reason; nothing is read after it. Values of
// absent keys stay as they are.
class TomlReader
{
public:
    TomlReader(toml::table document, std::string path, Error *reason);

    void text(const char *key, std::string &value);
    void boolean(const char *key, bool &value);
    void number(const char *key, double &value, double min, double max);

    // Durations are strings with a unit: "250ms", "3s", "5min".
    void duration(const char *key, Milliseconds &value);
    void duration(const char *key, Seconds &value);
    void list(const char *key, std::vector<std::string> &values);

    template<class Number>
    void integer(const char *key, Number &value, std::int64_t min, std::int64_t max)
    {
        std::int64_t read = static_cast<std::int64_t>(value);
        readInteger(key, read, min, max);
        value = static_cast<Number>(read);
    }

    // A table inside this one; empty if absent.
    TomlReader table(const char *key);
    std::vector<TomlReader> tables(const char *key);

    // Reports an error at the key, or at the table if the key is absent.
    void refuse(const char *key, const std::string &problem);

    // Reports an error if the table has keys that were never read. False if there was any error.
    bool finish();

    bool ok() const;

private:
    const toml::node *findNode(const char *key);
    void readInteger(const char *key, std::int64_t &value, std::int64_t min, std::int64_t max);
    void refuseAt(const toml::source_region &region, const std::string &key,
                  const std::string &problem);

    TomlReader(std::shared_ptr<const toml::table> document, const toml::table *table,
               std::string path, std::string prefix, Error *reason);

    // Keeps the document alive; copies of its tables would lose their line numbers.
    std::shared_ptr<const toml::table> m_document;
    const toml::table *m_table;
    std::string m_path;
    std::string m_prefix;
    Error *m_reason;
    std::vector<std::string> m_readKeys;
};

} // namespace foxwing::settings
