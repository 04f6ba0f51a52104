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

ApplyResult applyCordon(Cordons &cordons, const CordonCommand &command)
{
    const bool unchanged = isCordoned(cordons, command.dataCentre) == command.cordoned;
    if (command.basedOn != cordons.revision)
        return unchanged ? ApplyResult::Unchanged : ApplyResult::Outdated;
    // Also if the cordon itself does not change: an earlier opposite command that is still in
    // flight must not undo this one.
    ++cordons.revision;
    if (unchanged)
        return ApplyResult::Changed;
    std::vector<std::string> &names = cordons.dataCentres;
    const auto position = std::lower_bound(names.begin(), names.end(), command.dataCentre);
    if (command.cordoned)
        names.insert(position, command.dataCentre);
    else
        names.erase(position);
    return ApplyResult::Changed;
}

} // namespace

ApplyResult apply(AgreedState &state, const Command &command)
{
    if (const auto *declared = std::get_if<DeclaredCatalog>(&command))
        return applyCatalog(state, *declared);
    return applyCordon(state.cordons, std::get<CordonCommand>(command));
}

bool isCordoned(const Cordons &cordons, const std::string &dataCentre)
{
    const std::vector<std::string> &names = cordons.dataCentres;
    return std::find(names.begin(), names.end(), dataCentre) != names.end();
}

} // namespace foxwing::catalog
