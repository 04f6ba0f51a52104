/*
    Ids of control hosts on their disks.

    [SECTION] Files
    [SECTION] Functions
*/
#include "identity.h"

#include <algorithm>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <unistd.h>

namespace foxwing::fleet {

// [SECTION] Files

namespace {

// DISK part of the id of an initial voter
constexpr const char *InitialDisk = "first";

// Marks the end of the text, to detect a partly written file.
constexpr char EndMark = '.';

bool syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
    if (descriptor < 0)
        return false;
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
}

bool writeSynced(const std::string &path, const std::string &text)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    if (descriptor < 0)
        return false;
    const bool written = ::write(descriptor, text.data(), text.size())
            == static_cast<ssize_t>(text.size());
    const bool synced = written && ::fsync(descriptor) == 0;
    return (::close(descriptor) == 0) && synced;
}

// Returns nothing if the file is missing or partly written; this host then has not voted yet.
std::optional<std::string> readDisk(const std::string &path)
{
    std::ifstream file(path);
    std::string disk;
    if (!std::getline(file, disk) || disk.empty() || disk.back() != EndMark)
        return std::nullopt;
    disk.pop_back();
    return disk;
}

std::string randomDisk()
{
    std::random_device device;
    return std::to_string((std::uint64_t { device() } << 32U) | device());
}

std::vector<std::string> seedMemberIds(const FleetSettings &settings)
{
    std::vector<std::string> ids;
    if (!settings.firstStart)
        return ids;
    for (const std::string &seed : seedAddresses(settings))
        ids.push_back(seed + "/" + InitialDisk);
    return ids;
}

} // namespace

// [SECTION] Functions

std::vector<std::string> initialVotersFor(const FleetSettings &settings, const std::string &id)
{
    const auto ids = seedMemberIds(settings);
    const bool isInitialVoter = std::find(ids.begin(), ids.end(), id) != ids.end();
    return isInitialVoter ? ids : std::vector<std::string>();
}

std::optional<std::string> readIdentity(const FleetSettings &settings, Error *reason)
{
    const std::string path = settings.dataFolder + "/identity";
    const std::string address = innerAddress(settings) + "/";
    if (const auto disk = readDisk(path))
        return address + *disk;
    const bool isInitialVoter = !initialVotersFor(settings, address + InitialDisk).empty();
    const std::string disk = isInitialVoter ? InitialDisk : randomDisk();
    if (!writeSynced(path, disk + EndMark + "\n") || !syncFolder(settings.dataFolder))
        return fail(reason, ErrorKind::Unavailable,
                    path + ": can't be written; check the disk and the folder's rights");
    return address + disk;
}

} // namespace foxwing::fleet
