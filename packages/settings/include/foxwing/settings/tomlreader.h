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
    void number(const char *key, double &value, double least, double most);

    // Durations are strings with a unit: "250ms", "3s", "5min".
    void duration(const char *key, Milliseconds &value);
    void duration(const char *key, Seconds &value);
    void list(const char *key, std::vector<std::string> &values);

    template<class Number>
    void integer(const char *key, Number &value, std::int64_t least, std::int64_t most)
    {
        std::int64_t read = static_cast<std::int64_t>(value);
        readWhole(key, read, least, most);
        value = static_cast<Number>(read);
    }

    // A table inside this one; empty if absent.
    TomlReader table(const char *key);
    std::vector<TomlReader> tables(const char *key);

    // Reports an error at the key, or at the table if the key is absent.
    void refuse(const char *key, const std::string &what);

    // Refuses keys of the table that were never read. True without any error so far.
    bool finish();

    bool ok() const;

private:
    const toml::node *take(const char *key);
    void readWhole(const char *key, std::int64_t &value, std::int64_t least, std::int64_t most);
    void refuseAt(const toml::source_region &where, const std::string &key,
                  const std::string &what);

    TomlReader(std::shared_ptr<const toml::table> document, const toml::table *table,
               std::string path, std::string prefix, Error *reason);

    // Keeps the document alive; copies of its tables would lose their line numbers.
    std::shared_ptr<const toml::table> m_document;
    const toml::table *m_table;
    std::string m_path;
    std::string m_prefix;
    Error *m_reason;
    std::vector<std::string> m_asked;
};

} // namespace foxwing::settings
