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
        || held.calls.size() >= held.settings.mostCalls)
        return false;
    held.calls.push_back({ exchange, now });
    return true;
}

std::vector<HeldCall> expired(HeldCalls &held, Time now)
{
    std::vector<HeldCall> over;
    while (!held.calls.empty() && now >= held.calls.front().receivedAt + held.settings.mostHold) {
        over.push_back(std::move(held.calls.front()));
        held.calls.pop_front();
    }
    return over;
}

std::vector<HeldCall> release(HeldCalls &held)
{
    std::vector<HeldCall> all(std::make_move_iterator(held.calls.begin()),
                              std::make_move_iterator(held.calls.end()));
    held.calls.clear();
    return all;
}

} // namespace foxwing::fleet
