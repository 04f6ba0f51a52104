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
constexpr std::size_t RecordHeaderSize = 20;
constexpr std::uint32_t MaxPayloadSize = 256U << 20U;

void appendNumber(std::string &out, std::uint64_t number, int bytes)
{
    for (int i = 0; i < bytes; ++i)
        out.push_back(static_cast<char>((number >> (8 * i)) & 0xffU));
}

std::uint64_t readNumber(const std::string &in, std::size_t offset, int bytes)
{
    std::uint64_t number = 0;
    for (int i = 0; i < bytes; ++i)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[offset + i])) << (8 * i);
    return number;
}

std::uint64_t checksum(std::uint64_t index, const char *data, std::size_t size)
{
    return XXH64(data, size, index);
}

void appendRecord(std::string &out, std::uint64_t index, const std::string &payload)
{
    appendNumber(out, payload.size(), 4);
    appendNumber(out, index, 8);
    appendNumber(out, checksum(index, payload.data(), payload.size()), 8);
    out += payload;
}

// The length of the valid record at an offset, or nothing.
std::optional<std::size_t> validRecordSize(const std::string &content, std::size_t offset)
{
    if (offset + RecordHeaderSize > content.size())
        return std::nullopt;
    const std::uint64_t length = readNumber(content, offset, 4);
    if (length > MaxPayloadSize || offset + RecordHeaderSize + length > content.size())
        return std::nullopt;
    const std::uint64_t index = readNumber(content, offset + 4, 8);
    const std::uint64_t sum = readNumber(content, offset + 12, 8);
    if (checksum(index, content.data() + offset + RecordHeaderSize, length) != sum)
        return std::nullopt;
    return RecordHeaderSize + length;
}

// Whether there is a valid record anywhere after an invalid one. Tries every offset, since the
// length of an invalid record can't be trusted. Zeros don't pass as records of length 0, because
// their checksum is wrong.
bool hasValidRecordAfter(const std::string &content, std::size_t start)
{
    for (std::size_t offset = start + 1; offset + RecordHeaderSize <= content.size(); ++offset) {
        if (validRecordSize(content, offset))
            return true;
    }
    return false;
}

// [SECTION] Files

std::string systemError(const std::string &what)
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
    std::size_t total = 0;
    while (total < content.size()) {
        const ssize_t written = ::write(file, content.data() + total, content.size() - total);
        if (written < 0 && errno != EINTR)
            return false;
        if (written > 0)
            total += static_cast<std::size_t>(written);
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
std::optional<std::uint64_t> newestIndex(const std::string &folder, const std::string &prefix)
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

void removeOtherSnapshots(const std::string &folder, std::uint64_t index)
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

std::nullopt_t failDamaged(const std::string &path, std::size_t offset, Error *reason)
{
    return fail(reason, ErrorKind::Internal,
                path + ": damaged at offset " + std::to_string(offset)
                        + "; do not truncate it by hand: empty this host's data folder and let it "
                          "catch up from the others, or restore the folder from a backup",
                Outcome::Unknown);
}

// Reads the entries of a journal file. Sets validSize to the length of its valid part, and excess
// to the length of the rest.
std::optional<std::vector<Entry>> readEntries(const std::string &path, std::uint64_t firstIndex,
                                              std::size_t *validSize, std::size_t *excess,
                                              Error *reason)
{
    std::vector<Entry> entries;
    const std::optional<std::string> content = readFile(path);
    if (!content)
        return fail(reason, ErrorKind::Internal, systemError(path), Outcome::Unknown);
    *validSize = std::min(content->size(), HeaderSize);
    *excess = 0;
    if (content->size() < HeaderSize)
        return entries; // created, but the process stopped before the header was synced
    if (content->compare(0, HeaderSize, Header) != 0)
        return failDamaged(path, 0, reason);
    while (*validSize < content->size()) {
        const std::optional<std::size_t> size = validRecordSize(*content, *validSize);
        if (!size && hasValidRecordAfter(*content, *validSize))
            return failDamaged(path, *validSize, reason);
        if (!size)
            break;
        const std::uint64_t index = readNumber(*content, *validSize + 4, 8);
        if (index != firstIndex + entries.size() + 1)
            return failDamaged(path, *validSize, reason);
        entries.push_back(
                { index,
                  content->substr(*validSize + RecordHeaderSize, *size - RecordHeaderSize) });
        *validSize += *size;
    }
    *excess = content->size() - *validSize;
    return entries;
}

std::optional<Recovered> readFolder(const std::string &folder, std::size_t *validSize,
                                    Error *reason)
{
    Recovered found;
    const std::optional<std::uint64_t> snapshot = newestIndex(folder, "snapshot-");
    if (snapshot) {
        const std::string path = pathOf(folder, "snapshot", *snapshot);
        const std::optional<std::string> content = readFile(path);
        const std::optional<std::size_t> size = content ? validRecordSize(*content, HeaderSize)
                                                        : std::nullopt;
        if (!size || content->compare(0, HeaderSize, Header) != 0
            || HeaderSize + *size != content->size())
            return failDamaged(path, 0, reason);
        found.snapshotIndex = *snapshot;
        found.snapshot = content->substr(HeaderSize + RecordHeaderSize);
    }
    const std::string path = pathOf(folder, "journal", found.snapshotIndex);
    *validSize = 0;
    if (::access(path.c_str(), F_OK) != 0)
        return found;
    std::size_t excess = 0;
    auto entries = readEntries(path, found.snapshotIndex, validSize, &excess, reason);
    if (!entries)
        return std::nullopt;
    found.entries = std::move(*entries);
    found.truncatedBytes = excess;
    return found;
}

} // namespace

// [SECTION] Journal

std::optional<Journal> Journal::open(const std::string &folder, Error *reason)
{
    Journal journal;
    journal.m_folder = folder;
    if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
        return fail(reason, ErrorKind::Internal,
                    systemError(folder) + "; create its parent folder");
    if (!journal.recover(reason))
        return std::nullopt;
    return journal;
}

std::optional<Recovered> Journal::inspect(const std::string &folder, Error *reason)
{
    std::size_t validSize = 0;
    return readFolder(folder, &validSize, reason);
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
         systemError(what)
                 + "; make sure that the disk has space and works, then start this host again",
         Outcome::Unknown);
    return false;
}

bool Journal::recover(Error *reason)
{
    std::size_t validSize = 0;
    auto found = readFolder(m_folder, &validSize, reason);
    if (!found)
        return false;
    m_recovered = std::move(*found);
    m_lastIndex = m_recovered.snapshotIndex + m_recovered.entries.size();
    if (!openFile(m_recovered.snapshotIndex, reason))
        return false;
    if (validSize >= HeaderSize && ::ftruncate(m_file, static_cast<off_t>(validSize)) != 0)
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
    const bool created = ::ftruncate(m_file, 0) == 0 && writeAll(m_file, Header)
            && ::fdatasync(m_file) == 0 && syncFolder(m_folder);
    return created || failWith(m_fileName, reason);
}

Recovered Journal::takeRecovered()
{
    return std::exchange(m_recovered, Recovered {});
}

std::uint64_t Journal::append(const std::string &payload)
{
    appendRecord(m_unsynced, ++m_lastIndex, payload);
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
    appendRecord(content, m_lastIndex, snapshot);
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
    removeOtherSnapshots(m_folder, m_lastIndex);
    return true;
}

} // namespace foxwing::journal
