/*
    Journal (write-ahead log) with snapshots in one folder.

    The folder holds the latest snapshot and the records after it. Nothing is durable until sync()
    has returned true. Files are synced with fdatasync; for new and renamed files the folder is
    synced too. Each record has an index and a checksum. Opening a journal truncates an incomplete
    record at the end; an invalid record followed by valid ones is reported as damage, with file and
    offset.

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

// Content of a journal when it was opened.
struct Recovered
{
    // The latest snapshot and the index of the last entry it includes; empty and 0 if none.
    std::uint64_t snapshotIndex = 0;
    std::string snapshot;

    // All entries after the snapshot.
    std::vector<Entry> entries;

    // Size of the incomplete record at the end, which open() truncates.
    std::uint64_t truncatedBytes = 0;
};

// [SECTION] Journal

class Journal
{
public:
    // Opens the journal in a folder, which is created if it doesn't exist.
    static std::optional<Journal> open(const std::string &folder, Error *reason);

    // Reads a journal without changing it, for inspection while its process is stopped.
    static std::optional<Recovered> inspect(const std::string &folder, Error *reason);

    Journal(Journal &&other) noexcept;
    Journal &operator=(Journal &&other) noexcept;
    ~Journal();

    // The content found by open(); empty after the first call.
    Recovered takeRecovered();

    // Buffers an entry in memory until sync(). Returns its index.
    std::uint64_t append(const std::string &payload);

    // Writes and syncs the appended entries. Fails for good after the first error, since the state
    // of the disk is then unknown: the process must be restarted.
    bool sync(Error *reason);

    // Replaces all entries up to lastIndex() with a snapshot that includes their effect. All
    // entries must be synced.
    bool replaceWithSnapshot(const std::string &snapshot, Error *reason);

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
