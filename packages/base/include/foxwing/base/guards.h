/*
    Disables one safety guard at a time, for tests only.

    A test build defines FOXWING_BROKEN_GUARD as one of the enumerators below; the tests that check
    the guard must then find a violation, which proves that they can. Release builds leave the macro
    undefined.

    [SECTION] Guards
*/
#pragma once

namespace foxwing {

// [SECTION] Guards

enum class Guard {
    None,
    Fence,
    Incarnation,
    Claim,
    Void,
    Sync,
    QuorumCheck,
    CatchUp,
    WholeReport,
    WholeList,
};

#ifdef FOXWING_BROKEN_GUARD
constexpr Guard BrokenGuard = Guard::FOXWING_BROKEN_GUARD;
#else
constexpr Guard BrokenGuard = Guard::None;
#endif

// Whether a guard is enabled in this build.
constexpr bool isEnabled(Guard guard)
{
    return guard != BrokenGuard;
}

} // namespace foxwing
