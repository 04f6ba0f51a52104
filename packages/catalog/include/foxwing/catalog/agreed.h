/*
    Everything that operators declare and the agreement group keeps: the catalog, and the data
    centres that are cordoned. One state, changed by the commands of one log, so that whoever joins
    late or restarts gets all of it at once.

    The endpoints of a cordoned data centre get nothing new; what runs there ends by itself.

    A catalog has a version, so that one which arrives late is known as old. An order to cordon or
    uncordon has none. Each one therefore says which revision of the cordons it was given upon, and
    changes nothing if they have changed since: an order that was held up on its way can't undo what
    an operator has ordered after it.

        AgreedState state;
        if (apply(state, command) == Applied::Outdated)
            ... ask again whether the order still stands, and give it anew ...

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
    // Rises with each order that was given upon the newest; the highest is the newest.
    std::uint64_t revision = 0;

    // In the order of their names
    std::vector<std::string> dataCentres;
};
template<class Fields>
void describe(Fields &fields, Cordons &cordons)
{
    fields("revision", cordons.revision);
    fields("dataCentres", cordons.dataCentres);
}

// An order to cordon a data centre or to take the cordon away.
struct CordonCommand
{
    static constexpr const char *Type = "cordon-order";
    std::string dataCentre;
    bool cordoned = true;

    // Revision of the cordons that were in force when the order was given
    std::uint64_t basedOn = 0;
};
template<class Fields>
void describe(Fields &fields, CordonCommand &order)
{
    fields("dataCentre", order.dataCentre);
    fields("cordoned", order.cordoned);
    fields("basedOn", order.basedOn);
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

// What the group's log holds.
using Command = std::variant<DeclaredCatalog, CordonCommand>;

enum class ApplyResult {
    Changed,

    // What was asked for is so already, by a newer order or another catalog.
    Unchanged,

    // The order was given upon cordons that are not in force any more: nothing was changed.
    Outdated,
};

// [SECTION] Functions

ApplyResult apply(AgreedState &state, const Command &command);
bool isCordoned(const Cordons &cordons, const std::string &dataCentre);

} // namespace foxwing::catalog
