/*
    Control hosts that hold the same tell it in the same bytes: what was read from one need not be
    read again from the others.

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

std::string pushOf(const catalog::AgreedState &state)
{
    return encodeFrame(Frame(AgreedPush { state.declared.catalog, state.cordons }));
}

TEST(AgreedPush, IsTheSameFromAHostThatReadItsSnapshot)
{
    const catalog::AgreedState state = makeState(260);
    Error reason;
    const auto json = parseJson(writeJson(toJson(state)), &reason);
    ASSERT_TRUE(json) << reason.message;
    catalog::AgreedState read;
    ASSERT_TRUE(fromJson(*json, &read, &reason)) << reason.message;
    EXPECT_EQ(pushOf(read), pushOf(state));
}

TEST(AgreedPush, DiffersOnceAnythingHasChanged)
{
    const catalog::AgreedState state = makeState(3);
    catalog::AgreedState changed = state;
    changed.cordons.revision = 4;
    EXPECT_NE(pushOf(changed), pushOf(state));
    changed = state;
    changed.declared.catalog.queues[1].timeout += Milliseconds(1);
    EXPECT_NE(pushOf(changed), pushOf(state));
}

} // namespace
} // namespace foxwing::fleet
