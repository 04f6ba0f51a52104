/*
    File format, recovery and writing of the journal.

    journal-INDEX holds the header and the records from INDEX + 1 on; snapshot-INDEX holds the
    header and one record with the state after INDEX. A record consists of payload length (4 bytes),
    index (8), checksum of index and payload (8), and payload. Numbers are little-endian.

    [SECTION] Records
    [SECTION] Files
    [SECTION] Recovery
    [SECTION] Journal
*/
#include <foxwing/journal/journal.h>

#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>
#include <xxhash.h>

namespace foxwing::journal {

namespace {

// [SECTION] Records

// Identifies the file format. The last digit is its version.
constexpr char Header[] = "FOXWJNL1";
constexpr std::size_t HeaderSize = 8;
constexpr std::size_t RecordHeadSize = 20;
constexpr std::uint32_t LongestPayload = 256U << 20U;

void putNumber(std::string &out, std::uint64_t number, int bytes)
{
    for (int i = 0; i < bytes; ++i)
        out.push_back(static_cast<char>((number >> (8 * i)) & 0xffU));
}

std::uint64_t takeNumber(const std::string &in, std::size_t at, int bytes)
{
    std::uint64_t number = 0;
    for (int i = 0; i < bytes; ++i)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[at + i])) << (8 * i);
    return number;
}

std::uint64_t checksum(std::uint64_t index, const char *data, std::size_t size)
{
    return XXH64(data, size, index);
}

void putRecord(std::string &out, std::uint64_t index, const std::string &payload)
{
    putNumber(out, payload.size(), 4);
    putNumber(out, index, 8);
    putNumber(out, checksum(index, payload.data(), payload.size()), 8);
    out += payload;
}

// The length of the valid record at an offset, or nothing.
std::optional<std::size_t> recordAt(const std::string &content, std::size_t at)
{
    if (at + RecordHeadSize > content.size())
        return std::nullopt;
    const std::uint64_t length = takeNumber(content, at, 4);
    if (length > LongestPayload || at + RecordHeadSize + length > content.size())
        return std::nullopt;
    const std::uint64_t index = takeNumber(content, at + 4, 8);
    const std::uint64_t sum = takeNumber(content, at + 12, 8);
    if (checksum(index, content.data() + at + RecordHeadSize, length) != sum)
        return std::nullopt;
    return RecordHeadSize + length;
}

// Whether there is a valid record anywhere after an invalid one. Tries every offset, since the
// length of an invalid record can't be trusted. Zeros don't pass as records of length 0, because
// their checksum is wrong.
bool goodRecordAfter(const std::string &content, std::size_t at)
{
    for (std::size_t place = at + 1; place + RecordHeadSize <= content.size(); ++place) {
        if (recordAt(content, place))
            return true;
    }
    return false;
}

// [SECTION] Files

std::string problem(const std::string &what)
{
    return what + ": " + std::strerror(errno);
}

bool syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return false;
    const bool ok = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return ok;
}

bool writeAll(int file, const std::string &content)
{
    std::size_t done = 0;
    while (done < content.size()) {
        const ssize_t written = ::write(file, content.data() + done, content.size() - done);
        if (written < 0 && errno != EINTR)
            return false;
        if (written > 0)
            done += static_cast<std::size_t>(written);
    }
    return true;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file)
        return std::nullopt;
    return content.str();
}

// The highest index among the files of a folder that are named prefix + INDEX.
std::optional<std::uint64_t> newestFile(const std::string &folder, const std::string &prefix)
{
    std::optional<std::uint64_t> newest;
    DIR *directory = ::opendir(folder.c_str());
    if (!directory)
        return newest;
    while (const dirent *item = ::readdir(directory)) {
        const std::string name = item->d_name;
        const std::string digits = name.compare(0, prefix.size(), prefix) == 0
                ? name.substr(prefix.size())
                : "";
        if (digits.empty() || digits.find_first_not_of("0123456789") != std::string::npos)
            continue;
        const std::uint64_t index = std::stoull(digits);
        newest = std::max(newest.value_or(0), index);
    }
    ::closedir(directory);
    return newest;
}

void removeSnapshotsBut(const std::string &folder, std::uint64_t index)
{
    const std::string kept = "snapshot-" + std::to_string(index);
    DIR *directory = ::opendir(folder.c_str());
    if (!directory)
        return;
    while (const dirent *item = ::readdir(directory)) {
        const std::string name = item->d_name;
        if (name.compare(0, 9, "snapshot-") == 0 && name != kept)
            ::unlink(std::string(folder).append("/").append(name).c_str());
    }
    ::closedir(directory);
}

std::string pathOf(const std::string &folder, const char *kind, std::uint64_t index)
{
    return folder + "/" + kind + "-" + std::to_string(index);
}

// [SECTION] Recovery

std::nullopt_t damaged(const std::string &path, std::size_t offset, Error *reason)
{
    return fail(reason, ErrorKind::Internal,
                path + ": damaged at offset " + std::to_string(offset)
                        + "; do not truncate it by hand: empty this host's data folder and let it "
                          "catch up from the others, or restore the folder from a backup",
                Outcome::Unknown);
}

// Reads the entries of a journal file. Sets goodSize to the length of its valid part, and cut to
// the length of the rest.
std::optional<std::vector<Entry>> readEntries(const std::string &path, std::uint64_t firstIndex,
                                              std::size_t *goodSize, std::size_t *cut,
                                              Error *reason)
{
    std::vector<Entry> entries;
    const std::optional<std::string> content = readFile(path);
    if (!content)
        return fail(reason, ErrorKind::Internal, problem(path), Outcome::Unknown);
    *goodSize = std::min(content->size(), HeaderSize);
    *cut = 0;
    if (content->size() < HeaderSize)
        return entries; // created, but the process stopped before the header was synced
    if (content->compare(0, HeaderSize, Header) != 0)
        return damaged(path, 0, reason);
    while (*goodSize < content->size()) {
        const std::optional<std::size_t> size = recordAt(*content, *goodSize);
        if (!size && goodRecordAfter(*content, *goodSize))
            return damaged(path, *goodSize, reason);
        if (!size)
            break;
        const std::uint64_t index = takeNumber(*content, *goodSize + 4, 8);
        if (index != firstIndex + entries.size() + 1)
            return damaged(path, *goodSize, reason);
        entries.push_back(
                { index, content->substr(*goodSize + RecordHeadSize, *size - RecordHeadSize) });
        *goodSize += *size;
    }
    *cut = content->size() - *goodSize;
    return entries;
}

std::optional<Recovered> readFolder(const std::string &folder, std::size_t *goodSize, Error *reason)
{
    Recovered found;
    const std::optional<std::uint64_t> snapshot = newestFile(folder, "snapshot-");
    if (snapshot) {
        const std::string path = pathOf(folder, "snapshot", *snapshot);
        const std::optional<std::string> content = readFile(path);
        const std::optional<std::size_t> size = content ? recordAt(*content, HeaderSize)
                                                        : std::nullopt;
        if (!size || content->compare(0, HeaderSize, Header) != 0
            || HeaderSize + *size != content->size())
            return damaged(path, 0, reason);
        found.snapshotIndex = *snapshot;
        found.snapshot = content->substr(HeaderSize + RecordHeadSize);
    }
    const std::string path = pathOf(folder, "journal", found.snapshotIndex);
    *goodSize = 0;
    if (::access(path.c_str(), F_OK) != 0)
        return found;
    std::size_t cut = 0;
    auto entries = readEntries(path, found.snapshotIndex, goodSize, &cut, reason);
    if (!entries)
        return std::nullopt;
    found.entries = std::move(*entries);
    found.truncatedBytes = cut;
    return found;
}

} // namespace

// [SECTION] Journal

std::optional<Journal> Journal::open(const std::string &folder, Error *reason)
{
    Journal journal;
    journal.m_folder = folder;
    if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
        return fail(reason, ErrorKind::Internal, problem(folder) + "; create its parent folder");
    if (!journal.recover(reason))
        return std::nullopt;
    return journal;
}

std::optional<Recovered> Journal::inspect(const std::string &folder, Error *reason)
{
    std::size_t goodSize = 0;
    return readFolder(folder, &goodSize, reason);
}

Journal::Journal(Journal &&other) noexcept
{
    *this = std::move(other);
}

Journal &Journal::operator=(Journal &&other) noexcept
{
    if (this == &other)
        return *this;
    close();
    m_folder = std::move(other.m_folder);
    m_fileName = std::move(other.m_fileName);
    m_file = std::exchange(other.m_file, -1);
    m_lastIndex = other.m_lastIndex;
    m_unsynced = std::move(other.m_unsynced);
    m_failed = other.m_failed;
    m_recovered = std::move(other.m_recovered);
    return *this;
}

Journal::~Journal()
{
    close();
}

void Journal::close()
{
    if (m_file >= 0)
        ::close(m_file);
    m_file = -1;
}

bool Journal::failWith(const std::string &what, Error *reason)
{
    m_failed = true;
    fail(reason, ErrorKind::Internal,
         problem(what)
                 + "; make sure that the disk has space and works, then start this host again",
         Outcome::Unknown);
    return false;
}

bool Journal::recover(Error *reason)
{
    std::size_t goodSize = 0;
    auto found = readFolder(m_folder, &goodSize, reason);
    if (!found)
        return false;
    m_recovered = std::move(*found);
    m_lastIndex = m_recovered.snapshotIndex + m_recovered.entries.size();
    if (!openFile(m_recovered.snapshotIndex, reason))
        return false;
    if (goodSize >= HeaderSize && ::ftruncate(m_file, static_cast<off_t>(goodSize)) != 0)
        return failWith(m_fileName, reason);
    return ::fdatasync(m_file) == 0 || failWith(m_fileName, reason);
}

bool Journal::openFile(std::uint64_t firstIndex, Error *reason)
{
    close();
    m_fileName = pathOf(m_folder, "journal", firstIndex);
    m_file = ::open(m_fileName.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    struct stat status
    { };
    if (m_file < 0 || ::fstat(m_file, &status) != 0)
        return failWith(m_fileName, reason);
    if (static_cast<std::size_t>(status.st_size) >= HeaderSize)
        return true;
    const bool made = ::ftruncate(m_file, 0) == 0 && writeAll(m_file, Header)
            && ::fdatasync(m_file) == 0 && syncFolder(m_folder);
    return made || failWith(m_fileName, reason);
}

Recovered Journal::takeRecovered()
{
    return std::exchange(m_recovered, Recovered {});
}

std::uint64_t Journal::append(const std::string &payload)
{
    putRecord(m_unsynced, ++m_lastIndex, payload);
    return m_lastIndex;
}

bool Journal::sync(Error *reason)
{
    if (m_failed) {
        fail(reason, ErrorKind::Internal,
             m_fileName + ": a write failed before; start this host again", Outcome::Unknown);
        return false;
    }
    if (!writeAll(m_file, m_unsynced) || ::fdatasync(m_file) != 0)
        return failWith(m_fileName, reason);
    m_unsynced.clear();
    return true;
}

bool Journal::replaceWithSnapshot(const std::string &snapshot, Error *reason)
{
    const std::string oldFile = m_fileName;
    const std::string path = pathOf(m_folder, "snapshot", m_lastIndex);
    const std::string partial = path + ".partial";
    std::string content = Header;
    putRecord(content, m_lastIndex, snapshot);
    const int file = ::open(partial.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const bool written = file >= 0 && writeAll(file, content) && ::fdatasync(file) == 0;
    if (file >= 0)
        ::close(file);
    if (!written || ::rename(partial.c_str(), path.c_str()) != 0 || !syncFolder(m_folder))
        return failWith(path, reason);
    if (!openFile(m_lastIndex, reason))
        return false;
    // The old files are obsolete. Their removal need not be synced.
    if (oldFile != m_fileName)
        ::unlink(oldFile.c_str());
    removeSnapshotsBut(m_folder, m_lastIndex);
    return true;
}

} // namespace foxwing::journal
