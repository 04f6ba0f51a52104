/*
    Who a control host is in its agreement group.

    Ids are "ADDRESS/DISK". The disk's part is written to it at the first start: a host that comes
    back with an empty disk is another member, and can't vote as its old self, whose votes it has
    forgotten. Seeds of a fleet that starts for the first time know each other's ids beforehand.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/fleet/settings.h>

namespace foxwing::fleet {

// [SECTION] Functions

// Reads the id from the data folder, or makes one and syncs it there.
std::optional<std::string> readIdentity(const FleetSettings &settings, Error *reason);

// The voters that found the group, if the host with this id is one of them.
std::vector<std::string> firstVotersFor(const FleetSettings &settings, const std::string &id);

} // namespace foxwing::fleet
