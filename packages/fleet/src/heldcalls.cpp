/*
    Calls held until the catalog arrives.

    [SECTION] Functions
*/
#include "heldcalls.h"

#include <iterator>

namespace foxwing::fleet {

// [SECTION] Functions

bool hold(HeldCalls &held, const fabric::ExchangePtr &exchange, Time now)
{
    if (now >= held.startedAt + held.settings.startupGrace
        || held.calls.size() >= held.settings.maxCalls)
        return false;
    held.calls.push_back({ exchange, now });
    return true;
}

std::vector<HeldCall> takeExpired(HeldCalls &held, Time now)
{
    std::vector<HeldCall> expired;
    while (!held.calls.empty()
           && now >= held.calls.front().receivedAt + held.settings.holdTimeout) {
        expired.push_back(std::move(held.calls.front()));
        held.calls.pop_front();
    }
    return expired;
}

std::vector<HeldCall> takeAll(HeldCalls &held)
{
    std::vector<HeldCall> all(std::make_move_iterator(held.calls.begin()),
                              std::make_move_iterator(held.calls.end()));
    held.calls.clear();
    return all;
}

} // namespace foxwing::fleet
