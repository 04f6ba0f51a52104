/*
    Names of run outcomes and refusal reasons, for logs.

    [SECTION] Names
*/
#include <foxwing/jobs/messages.h>

namespace foxwing::jobs {

// [SECTION] Names

const char *toString(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::LeaseExpired:
        return "lapsed";
    case RunOutcome::Lost:
        return "lost";
    case RunOutcome::Crashed:
        return "crashed";
    case RunOutcome::NeverStarted:
        break;
    }
    return "never-began";
}

const char *toString(StartRefusal refusal)
{
    switch (refusal) {
    case StartRefusal::None:
        return "none";
    case StartRefusal::NoCapacity:
        return "no-room";
    case StartRefusal::Leaving:
        return "leaving";
    case StartRefusal::NotReady:
        return "not-ready";
    case StartRefusal::StaleRun:
        return "old-run";
    case StartRefusal::Cordoned:
        return "cordoned";
    case StartRefusal::Endpoint:
        break;
    }
    return "endpoint";
}

} // namespace foxwing::jobs
