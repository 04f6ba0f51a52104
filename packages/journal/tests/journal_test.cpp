/*
    Durability, truncation of incomplete records, and detection of damage.

    [SECTION] Helpers
    [SECTION] Tests
*/
#include <foxwing/journal/journal.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/resource.h>

namespace foxwing::journal {
namespace {

// [SECTION] Helpers

class JournalTest : public testing::Test
{
protected:
    void SetUp() override
    {
        char name[] = "/tmp/foxwing-journal-XXXXXX";
        ASSERT_NE(mkdtemp(name), nullptr);
        m_folder = name;
    }

    Journal openJournal()
    {
        Error reason;
        auto journal = Journal::open(m_folder, &reason);
        EXPECT_TRUE(journal) << reason.message;
        return std::move(*journal);
    }

    void writeThreeEntries()
    {
        Journal journal = openJournal();
        Error reason;
        for (const char *text : { "one", "two", "three" })
            journal.append(text);
        ASSERT_TRUE(journal.sync(&reason)) << reason.message;
    }

    std::string content() const
    {
        std::ifstream file(m_folder + "/journal-0", std::ios::binary);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    void setContent(const std::string &text) const
    {
        std::ofstream(m_folder + "/journal-0", std::ios::binary | std::ios::trunc) << text;
    }

    std::string m_folder;
};

// [SECTION] Tests

TEST_F(JournalTest, SyncedEntriesAreRecoveredInOrder)
{
    writeThreeEntries();
    Journal journal = openJournal();
    const Recovered found = journal.takeRecovered();
    ASSERT_EQ(found.entries.size(), 3U);
    EXPECT_EQ(found.entries[2].payload, "three");
    EXPECT_EQ(found.entries[2].index, 3U);
    EXPECT_EQ(journal.append("four"), 4U);
}

TEST_F(JournalTest, UnsyncedEntriesAreNotRecovered)
{
    openJournal().append("never synced");
    EXPECT_TRUE(openJournal().takeRecovered().entries.empty());
}

TEST_F(JournalTest, IncompleteRecordIsTruncatedAtEveryLength)
{
    writeThreeEntries();
    const std::string intact = content();
    const std::size_t lastStart = intact.size() - 20 - 5;
    for (std::size_t size = lastStart + 1; size < intact.size(); ++size) {
        setContent(intact.substr(0, size));
        const Recovered found = openJournal().takeRecovered();
        ASSERT_EQ(found.entries.size(), 2U) << size;
        EXPECT_EQ(found.truncatedBytes, size - lastStart);
    }
}

TEST_F(JournalTest, DamageBeforeTheEndIsAnErrorWithItsOffset)
{
    writeThreeEntries();
    const std::string intact = content();
    const std::size_t firstPayload = 8 + 20;
    for (const std::size_t offset : { std::size_t { 8 }, firstPayload, firstPayload + 3 + 21 }) {
        std::string corrupted = intact;
        corrupted[offset] = static_cast<char>(corrupted[offset] ^ 0x40);
        setContent(corrupted);
        Error reason;
        EXPECT_FALSE(Journal::open(m_folder, &reason)) << offset;
        EXPECT_NE(reason.message.find("journal-0: damaged at offset"), std::string::npos)
                << reason.message;
    }
}

TEST_F(JournalTest, SnapshotReplacesEntries)
{
    writeThreeEntries();
    Error reason;
    {
        Journal journal = openJournal();
        ASSERT_TRUE(journal.replaceWithSnapshot("state after three", &reason)) << reason.message;
        journal.append("four");
        ASSERT_TRUE(journal.sync(&reason));
        ASSERT_TRUE(journal.replaceWithSnapshot("state after four", &reason));
        journal.append("five");
        ASSERT_TRUE(journal.sync(&reason));
    }
    const Recovered found = openJournal().takeRecovered();
    EXPECT_EQ(found.snapshot, "state after four");
    EXPECT_EQ(found.snapshotIndex, 4U);
    ASSERT_EQ(found.entries.size(), 1U);
    EXPECT_EQ(found.entries[0].payload, "five");
}

TEST_F(JournalTest, CrashBetweenSnapshotAndNewFileLosesNoData)
{
    writeThreeEntries();
    Error reason;
    const std::string oldContent = content();
    ASSERT_TRUE(openJournal().replaceWithSnapshot("state", &reason));
    std::remove((m_folder + "/journal-3").c_str());
    setContent(oldContent);
    const Recovered found = openJournal().takeRecovered();
    EXPECT_EQ(found.snapshot, "state");
    EXPECT_TRUE(found.entries.empty());
}

// A file size limit simulates a full disk: write() fails in the same way.
TEST_F(JournalTest, FullDiskFailsTheJournalPermanently)
{
    Error reason;
    Journal journal = openJournal();
    rlimit original {};
    ASSERT_EQ(getrlimit(RLIMIT_FSIZE, &original), 0);
    std::signal(SIGXFSZ, SIG_IGN);
    const rlimit limited { 1000, original.rlim_max };
    ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &limited), 0);
    journal.append(std::string(5000, 'x'));
    EXPECT_FALSE(journal.sync(&reason));
    ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &original), 0);
    EXPECT_NE(reason.message.find("disk has space"), std::string::npos) << reason.message;
    EXPECT_FALSE(journal.sync(&reason));
    EXPECT_TRUE(journal.failed());
    EXPECT_TRUE(openJournal().takeRecovered().entries.empty());
}

} // namespace
} // namespace foxwing::journal
