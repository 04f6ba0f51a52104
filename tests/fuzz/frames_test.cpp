/*
    Mutated frames between processes: the decoder must not crash, hang or allocate more memory than
    the frame's size calls for, and a decoded frame must survive another round trip unchanged.

    [SECTION] Frames
*/
#include <gtest/gtest.h>

#include <foxwing/base/binary.h>

#include "../../packages/fleet/src/messages.h"
#include "mutations.h"

namespace foxwing::test {
namespace {

// [SECTION] Frames

jobs::EndpointView makeView()
{
    jobs::EndpointView view;
    view.endpointIncarnation = "i-1";
    view.service = "s";
    view.labels = { "a", "b" };
    view.capacity = { 16000, 32768, 1 };
    return view;
}

std::vector<std::string> corpusFrames()
{
    jobs::AgentUpdate update;
    update.endpoint = { makeView() };
    update.ended = { { { { "job", 0, 1, 2 }, 3 }, jobs::RunOutcome::Lost, {}, Milliseconds(5) } };
    update.crashed = { { { "job", 0, 1, 2 }, 3 } };
    jobs::StartTasks start;
    start.job = "5c0e7a21d94b36f8";
    start.payload = "(text)";
    start.starts = { { 1, 2 }, { 3, 4 } };
    fleet::AgreedPush push;
    push.cordons = { 7, { "north", "south" } };
    jobs::SessionAccepted sessionAccepted;
    sessionAccepted.endpoint = makeView();
    sessionAccepted.crashed = update.crashed;
    directory::NodeInfo node;
    node.name = "n";
    node.role = directory::Role::Agent;
    node.address = "10.0.0.1:1";
    node.incarnation = 9;
    node.dataCentre = "north";
    node.service = "render";
    node.labels = { "rack-1" };
    node.capacity = { 16000, 32768, 0 };
    std::vector<std::string> frames;
    for (const fleet::Frame &frame :
         { fleet::Frame(update), fleet::Frame(start), fleet::Frame(push),
           fleet::Frame(sessionAccepted), fleet::Frame(directory::Announce { node }),
           fleet::Frame(fleet::OpenSession { "entry-1", { push.cordons } }),
           fleet::Frame(jobs::StopRuns { { { { "job", 0, 0, 1 }, 1 } } }),
           fleet::Frame(
                   fleet::ForwardedAnswer { 3, fleet::OperatorOutcome::Unconfirmed, "r", {} }) })
        frames.push_back(encodeFrame(frame));
    return frames;
}

// A decoded frame stays the same when encoded and decoded again: the decoder invents no values.
TEST(Fuzz, DecodedFramesSurviveARoundTrip)
{
    Mutator mutator(fuzzSeed(), corpusFrames());
    std::uint64_t decoded = 0;
    for (std::uint64_t i = 0; i < fuzzMessages(); ++i) {
        const std::string bytes = mutator.next();
        Error reason;
        const auto frame = decodeFrame<fleet::Frame>(bytes, &reason);
        if (!frame) {
            EXPECT_FALSE(reason.message.empty());
            continue;
        }
        ++decoded;
        const std::string written = encodeFrame(*frame);
        const auto again = decodeFrame<fleet::Frame>(written, &reason);
        ASSERT_TRUE(again) << reason.message;
        ASSERT_EQ(encodeFrame(*again), written);
    }
    EXPECT_GT(decoded, fuzzMessages() / 1000);
}

} // namespace
} // namespace foxwing::test
