/*
    The identity of a control host in its consensus group.

    Ids are "ADDRESS/DISK". The DISK part is stored on the disk at the first start: a host with an
    empty disk is a new member, since it has lost the record of its votes. The seeds of a fleet that
    starts for the first time have a fixed DISK part, so that they know each other's ids.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/fleet/settings.h>

namespace foxwing::fleet {

// [SECTION] Functions

// Reads the id from the data folder, or creates one and syncs it to disk.
std::optional<std::string> readIdentity(const FleetSettings &settings, Error *reason);

// The initial voters of the group if the host with this id is one of them, otherwise empty.
std::vector<std::string> initialVotersFor(const FleetSettings &settings, const std::string &id);

} // namespace foxwing::fleet
