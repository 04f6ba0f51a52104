/*
    Control hosts with the same committed state encode the same bytes, so that receivers can skip
    decoding the pushes of the others.

    [SECTION] Tests
*/
#include <gtest/gtest.h>

#include "../src/messages.h"

#include <foxwing/base/codec.h>

namespace foxwing::fleet {
namespace {

// [SECTION] Tests

catalog::AgreedState makeState(std::size_t queues)
{
    catalog::AgreedState state;
    state.cordons = { 3, { "north", "south" } };
    state.declared.catalog.version = 25;
    for (std::size_t i = 0; i < queues; ++i) {
        catalog::QueueDeclaration queue;
        queue.name = "queue-" + std::to_string(i);
        queue.host = "example";
        queue.prefix = "/" + std::to_string(i) + "/";
        queue.service = "render";
        queue.stretch = 1.6;
        state.declared.catalog.queues.push_back(queue);
    }
    return state;
}

std::string encodePush(const catalog::AgreedState &state)
{
    return encodeFrame(Frame(AgreedPush { state.declared.catalog, state.cordons }));
}

TEST(AgreedPush, IsIdenticalAfterASnapshotWasRead)
{
    const catalog::AgreedState state = makeState(260);
    Error reason;
    const auto json = parseJson(writeJson(toJson(state)), &reason);
    ASSERT_TRUE(json) << reason.message;
    catalog::AgreedState read;
    ASSERT_TRUE(fromJson(*json, &read, &reason)) << reason.message;
    EXPECT_EQ(encodePush(read), encodePush(state));
}

TEST(AgreedPush, DiffersAfterAnyChange)
{
    const catalog::AgreedState state = makeState(3);
    catalog::AgreedState changed = state;
    changed.cordons.revision = 4;
    EXPECT_NE(encodePush(changed), encodePush(state));
    changed = state;
    changed.declared.catalog.queues[1].timeout += Milliseconds(1);
    EXPECT_NE(encodePush(changed), encodePush(state));
}

} // namespace
} // namespace foxwing::fleet
