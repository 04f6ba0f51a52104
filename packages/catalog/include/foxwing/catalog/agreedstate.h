/*
    The state that operators declare and the consensus group replicates: the catalog and the
    cordoned data centres. It is one state, changed by the commands of one log, so that a host that
    joins late or restarts gets all of it in one snapshot.

    The endpoints of a cordoned data centre get no new tasks; what runs there is not stopped.

    A late catalog is recognized by its version. A cordon command has no version; it names the
    revision of the cordons that it is based on, and changes nothing if they have changed since. So
    a delayed command can't undo a later one.

        AgreedState state;
        if (apply(state, command) == ApplyResult::Outdated)
            ... if the operator still wants it, reissue the command on the newest revision ...

    [SECTION] Cordons
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <variant>

#include <foxwing/catalog/catalog.h>

namespace foxwing::catalog {

// [SECTION] Cordons

struct Cordons
{
    // Incremented by each cordon command that is based on the current revision
    std::uint64_t revision = 0;

    // Sorted by name
    std::vector<std::string> dataCentres;
};
template<class Fields>
void describe(Fields &fields, Cordons &cordons)
{
    fields("revision", cordons.revision);
    fields("dataCentres", cordons.dataCentres);
}

// Cordons or uncordons a data centre.
struct CordonCommand
{
    static constexpr const char *Type = "cordon-order";
    std::string dataCentre;
    bool cordoned = true;

    // Revision of the cordons when the command was issued
    std::uint64_t basedOn = 0;
};
template<class Fields>
void describe(Fields &fields, CordonCommand &command)
{
    fields("dataCentre", command.dataCentre);
    fields("cordoned", command.cordoned);
    fields("basedOn", command.basedOn);
}

// [SECTION] State

struct AgreedState
{
    DeclaredCatalog declared;
    Cordons cordons;
};
template<class Fields>
void describe(Fields &fields, AgreedState &state)
{
    fields("declared", state.declared);
    fields("cordons", state.cordons);
}

// A command of the group's log.
using Command = std::variant<DeclaredCatalog, CordonCommand>;

enum class ApplyResult {
    Changed,

    // The state was already as requested, by a newer cordon command, or has a newer catalog.
    Unchanged,

    // The cordon command was based on an older revision: nothing was changed.
    Outdated,
};

// [SECTION] Functions

ApplyResult apply(AgreedState &state, const Command &command);
bool isCordoned(const Cordons &cordons, const std::string &dataCentre);

} // namespace foxwing::catalog
