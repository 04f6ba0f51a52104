/*
    Switches that break one safety guard each, for tests only.

    A test build defines FOXWING_BROKEN_GUARD as one of the names below; the schedules, or the
    fuzzing, must then find a violation. A proof that can't fail proves nothing. Shipped builds
   leave it undefined.

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

// Whether a guard is in place in this build.
constexpr bool isEnabled(Guard guard)
{
    return guard != BrokenGuard;
}

} // namespace foxwing
