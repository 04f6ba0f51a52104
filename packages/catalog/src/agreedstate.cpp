/*
    Commands of the consensus group, applied in the order of its log.

    [SECTION] Functions
*/
#include <foxwing/catalog/agreedstate.h>

#include <algorithm>

namespace foxwing::catalog {

// [SECTION] Functions

namespace {

ApplyResult applyCatalog(AgreedState &state, const DeclaredCatalog &declared)
{
    if (!supersedes(state.declared.catalog, declared.catalog))
        return ApplyResult::Unchanged;
    state.declared = declared;
    return ApplyResult::Changed;
}

ApplyResult applyOrder(Cordons &cordons, const CordonCommand &order)
{
    const bool same = isCordoned(cordons, order.dataCentre) == order.cordoned;
    if (order.basedOn != cordons.revision)
        return same ? ApplyResult::Unchanged : ApplyResult::Outdated;
    // Also if the cordon itself does not change: an earlier opposite command that is still in
    // flight must not undo this one.
    ++cordons.revision;
    if (same)
        return ApplyResult::Changed;
    std::vector<std::string> &names = cordons.dataCentres;
    const auto place = std::lower_bound(names.begin(), names.end(), order.dataCentre);
    if (order.cordoned)
        names.insert(place, order.dataCentre);
    else
        names.erase(place);
    return ApplyResult::Changed;
}

} // namespace

ApplyResult apply(AgreedState &state, const Command &command)
{
    if (const auto *declared = std::get_if<DeclaredCatalog>(&command))
        return applyCatalog(state, *declared);
    return applyOrder(state.cordons, std::get<CordonCommand>(command));
}

bool isCordoned(const Cordons &cordons, const std::string &dataCentre)
{
    const std::vector<std::string> &names = cordons.dataCentres;
    return std::find(names.begin(), names.end(), dataCentre) != names.end();
}

} // namespace foxwing::catalog
