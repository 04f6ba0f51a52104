/*
    Tests of submission ids: the creation time is read back, and other texts are rejected.

    [SECTION] Tests
*/
#include <foxwing/base/submissionid.h>

#include <gtest/gtest.h>

namespace foxwing {
namespace {

// [SECTION] Tests

TEST(SubmissionId, ContainsCreationTime)
{
    std::mt19937_64 random(7);
    const WallTime createdAt(Milliseconds(1'790'000'000'123));
    Error reason;
    const std::string id = makeSubmissionId(createdAt, random);
    EXPECT_EQ(submissionTime(id, &reason), createdAt) << id << reason.message;
    EXPECT_NE(id, makeSubmissionId(createdAt, random));
}

class InvalidId : public testing::TestWithParam<const char *>
{ };

TEST_P(InvalidId, IsRejected)
{
    Error reason;
    EXPECT_FALSE(submissionTime(GetParam(), &reason));
    EXPECT_NE(reason.message.find("version 7 UUID"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidId,
                         testing::Values("", "job-1", "01926d1e-7b2a-4c3d-8e4f-0123456789ab",
                                         "01926D1E-7B2A-7C3D-8E4F-0123456789AB",
                                         "01926d1e-7b2a-7c3d-8e4f-0123456789ab0",
                                         "01926d1e-7b2a-7c3d-0e4f-0123456789ab"));

} // namespace
} // namespace foxwing
