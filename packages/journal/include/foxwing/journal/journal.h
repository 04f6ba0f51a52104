/*
    A journal of records under one folder, with snapshots.

    The folder holds one snapshot and the records that follow it. Nothing counts as written before
    sync() has returned true; files are synced with fdatasync, new and renamed files with a sync of
    the folder too. Each record carries its index and a checksum. When a journal is opened, an
    unfinished record at the end is cut off; a bad record with others behind it is damage, and an
    error that names file and offset.

        Error reason;
        std::optional<Journal> journal = Journal::open("data/journal", &reason);
        journal->append("first");
        if (!journal->sync(&reason))
            ...

    [SECTION] Types
    [SECTION] Journal
*/
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <foxwing/base/error.h>

namespace foxwing::journal {

// [SECTION] Types

struct Entry
{
    std::uint64_t index = 0;
    std::string payload;
};

// What was found when a journal was opened.
struct Recovered
{
    // The newest snapshot and the index of the last entry that is in it; 0 and empty if none.
    std::uint64_t snapshotIndex = 0;
    std::string snapshot;

    // All entries after it.
    std::vector<Entry> entries;

    // Bytes of an unfinished record that were cut from the end.
    std::uint64_t cutBytes = 0;
};

// [SECTION] Journal

class Journal
{
public:
    // Opens the journal in a folder, made if it is not there.
    static std::optional<Journal> open(const std::string &folder, Error *reason);

    // Reads without changing anything: for looking at the journal of a stopped process.
    static std::optional<Recovered> inspect(const std::string &folder, Error *reason);

    Journal(Journal &&other) noexcept;
    Journal &operator=(Journal &&other) noexcept;
    ~Journal();

    // What open() found; empty after the first call.
    Recovered takeRecovered();

    // Adds an entry with the next index, in memory until sync().
    std::uint64_t append(const std::string &payload);

    // Writes and syncs all that was appended. After an error the journal takes nothing more, since
    // what the disk holds is not known: the process must be started anew.
    bool sync(Error *reason);

    // Replaces all entries up to lastIndex() by a snapshot that holds their effect. Everything must
    // be synced.
    bool replaceBySnapshot(const std::string &snapshot, Error *reason);

    std::uint64_t lastIndex() const { return m_lastIndex; }
    bool failed() const { return m_failed; }

private:
    Journal() = default;
    bool recover(Error *reason);
    bool openFile(std::uint64_t firstIndex, Error *reason);
    bool failWith(const std::string &what, Error *reason);
    void close();

    std::string m_folder;
    std::string m_fileName;
    int m_file = -1;
    std::uint64_t m_lastIndex = 0;
    std::string m_unsynced;
    bool m_failed = false;
    Recovered m_recovered;
};

} // namespace foxwing::journal
