/*
    Commands of the consensus group, applied in the order of its log.

    [SECTION] Functions
*/
#include <foxwing/catalog/agreed.h>

#include <algorithm>

namespace foxwing::catalog {

// [SECTION] Functions

namespace {

Applied applyCatalog(AgreedState &state, const DeclaredCatalog &declared)
{
    if (!supersedes(state.declared.catalog, declared.catalog))
        return Applied::Unchanged;
    state.declared = declared;
    return Applied::Changed;
}

Applied applyOrder(Cordons &cordons, const CordonOrder &order)
{
    const bool same = isCordoned(cordons, order.dataCentre) == order.cordoned;
    if (order.basedOn != cordons.revision)
        return same ? Applied::Unchanged : Applied::Outdated;
    // Also if the cordon itself does not change: an earlier opposite command that is still in
    // flight must not undo this one.
    ++cordons.revision;
    if (same)
        return Applied::Changed;
    std::vector<std::string> &names = cordons.dataCentres;
    const auto place = std::lower_bound(names.begin(), names.end(), order.dataCentre);
    if (order.cordoned)
        names.insert(place, order.dataCentre);
    else
        names.erase(place);
    return Applied::Changed;
}

} // namespace

Applied apply(AgreedState &state, const Command &command)
{
    if (const auto *declared = std::get_if<DeclaredCatalog>(&command))
        return applyCatalog(state, *declared);
    return applyOrder(state.cordons, std::get<CordonOrder>(command));
}

bool isCordoned(const Cordons &cordons, const std::string &dataCentre)
{
    const std::vector<std::string> &names = cordons.dataCentres;
    return std::find(names.begin(), names.end(), dataCentre) != names.end();
}

} // namespace foxwing::catalog
