/*
    Names of run outcomes and refusal reasons, for logs.

    [SECTION] Names
*/
#include <foxwing/jobs/messages.h>

namespace foxwing::jobs {

// [SECTION] Names

const char *toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Lost:
        return "lost";
    case RunEnd::Crashed:
        return "crashed";
    case RunEnd::NeverBegan:
        break;
    }
    return "never-began";
}

const char *toString(RefusedStart why)
{
    switch (why) {
    case RefusedStart::None:
        return "none";
    case RefusedStart::NoRoom:
        return "no-room";
    case RefusedStart::Leaving:
        return "leaving";
    case RefusedStart::NotReady:
        return "not-ready";
    case RefusedStart::OldRun:
        return "old-run";
    case RefusedStart::Cordoned:
        return "cordoned";
    case RefusedStart::Endpoint:
        break;
    }
    return "endpoint";
}

} // namespace foxwing::jobs
