/*
    What an entry refuses before anything is done about it, and whom it knows.

    [SECTION] Helpers
    [SECTION] Refusals
    [SECTION] Tokens
    [SECTION] Placement
*/
#include <foxwing/entry/entry.h>

#include <foxwing/base/submissionid.h>
#include <gtest/gtest.h>

namespace foxwing::entry {
namespace {

// [SECTION] Helpers

constexpr Time Begin { Milliseconds(1000) };
const WallTime Wall { Milliseconds(1'796'000'000'000) };

EntryState configuredEntry()
{
    EntrySettings settings;
    settings.self = { "entry-a", 1 };
    EntryState entry = makeEntry(settings);
    entry.directory.services["svc"] = { "svc", 10, 100, Milliseconds(5000) };
    entry.directory.teams["team"] = { "team", "salt-salt", hashSecret("salt-salt", "secret"), 1,
                                      0 };
    claims::renewControlLease(entry.claims, Begin);
    return entry;
}

SubmitRequest goodRequest()
{
    SubmitRequest request;
    request.waiter = 7;
    request.team = "team";
    request.service = "svc";
    request.payloads = { "payload" };
    request.timeLeft = Seconds(2);
    request.request = true;
    return request;
}

// [SECTION] Refusals

struct BadSubmission
{
    const char *name;
    void (*spoil)(EntryState &, SubmitRequest &);
    ErrorKind kind;
    const char *remedy;
};

class Refused : public testing::TestWithParam<BadSubmission>
{ };

TEST_P(Refused, AtOnceAndWithTheRemedy)
{
    EntryState entry = configuredEntry();
    SubmitRequest request = goodRequest();
    GetParam().spoil(entry, request);
    const EntryActions actions = submit(entry, request, Begin, Wall);
    EXPECT_TRUE(actions.sends.empty());
    ASSERT_EQ(actions.replies.size(), 1U);
    const dispatch::Answer &answer = actions.replies[0].answer;
    EXPECT_EQ(actions.replies[0].waiter, 7U);
    EXPECT_EQ(answer.outcome, Outcome::NotRun);
    EXPECT_EQ(answer.error.kind, GetParam().kind);
    EXPECT_NE(answer.error.message.find(GetParam().remedy), std::string::npos)
            << answer.error.message;
    EXPECT_TRUE(entry.pending.empty() && entry.dispatcher.jobs.empty()) << "nothing is kept";
}

INSTANTIATE_TEST_SUITE_P(
        Table, Refused,
        testing::Values(
                BadSubmission {
                        "UnknownService",
                        [](EntryState &, SubmitRequest &request) { request.service = "no"; },
                        ErrorKind::NotFound, "foxwing show service" },
                BadSubmission { "HugeTaskCount",
                                [](EntryState &, SubmitRequest &request) {
                                    request.payloads.assign(100000, "payload");
                                },
                                ErrorKind::CanNeverRun, "split the job" },
                BadSubmission {
                        "NoTasks",
                        [](EntryState &, SubmitRequest &request) { request.payloads.clear(); },
                        ErrorKind::CanNeverRun, "1 to 10 tasks" },
                BadSubmission { "HugePayload",
                                [](EntryState &, SubmitRequest &request) {
                                    request.payloads[0].assign(101, 'x');
                                },
                                ErrorKind::CanNeverRun, "pass a reference" },
                BadSubmission { "DeclaredTooLong",
                                [](EntryState &, SubmitRequest &request) {
                                    request.declaredTime = Seconds(6);
                                    request.timeLeft = Seconds(60);
                                },
                                ErrorKind::CanNeverRun, "at most 5000 ms" },
                BadSubmission { "DeclaredBeyondDeadline",
                                [](EntryState &, SubmitRequest &request) {
                                    request.declaredTime = Seconds(3);
                                },
                                ErrorKind::DeadlineUnreachable, "allow more time" },
                BadSubmission {
                        "IdIsNoUuid",
                        [](EntryState &, SubmitRequest &request) { request.submission = "job-1"; },
                        ErrorKind::BadRequest, "version 7 UUID" },
                BadSubmission { "IdFromTheFuture",
                                [](EntryState &, SubmitRequest &request) {
                                    std::mt19937_64 random(1);
                                    request.submission = makeSubmissionId(Wall + Seconds(10),
                                                                          random);
                                },
                                ErrorKind::BadRequest, "set the clock" },
                BadSubmission { "NotConfigured",
                                [](EntryState &entry, SubmitRequest &) {
                                    entry.claims.controlHeard = false;
                                },
                                ErrorKind::NotReady, "another one" },
                BadSubmission { "Leaving",
                                [](EntryState &entry, SubmitRequest &) { entry.leaving = true; },
                                ErrorKind::Leaving, "another one" }),
        [](const testing::TestParamInfo<BadSubmission> &given) { return given.param.name; });

// Work with an id may be running elsewhere: an entry that can't ask must not say "not run".
TEST(Entry, WithoutItsClaimsNothingIsSaidOfWorkWithAnId)
{
    for (const bool leaving : { true, false }) {
        EntryState entry = configuredEntry();
        entry.leaving = leaving;
        entry.claims.controlHeard = leaving;
        SubmitRequest request = goodRequest();
        std::mt19937_64 random(1);
        request.submission = makeSubmissionId(Wall, random);
        const EntryActions actions = submit(entry, request, Begin, Wall);
        ASSERT_EQ(actions.replies.size(), 1U);
        EXPECT_EQ(actions.replies[0].answer.outcome, Outcome::Unknown);
    }
}

// In the first rolling restart all entries were unready at each change of view.
TEST(Entry, StaysReadyWhileClaimsMove)
{
    EntryState entry = configuredEntry();
    EXPECT_FALSE(ready(entry, Begin));
    claims::View view;
    view.number = 1;
    view.members = { { { "entry-a", 1 }, "", "" } };
    view.bases.resize(claims::ShardCount);
    for (claims::ShardBase &base : view.bases)
        base.lastActiveView = 1;
    setView(entry, view, Begin);
    tick(entry, Begin, Wall);
    EXPECT_TRUE(ready(entry, Begin));
    view.number = 2;
    setView(entry, view, Begin);
    tick(entry, Begin, Wall);
    EXPECT_TRUE(ready(entry, Begin)) << "no shard is in service in the new view yet";
    EXPECT_FALSE(ready(entry, Begin + Seconds(11))) << "control was not heard from";
}

// [SECTION] Tokens

class Token : public testing::TestWithParam<const char *>
{ };

TEST_P(Token, OfNobodyIsRefusedAlike)
{
    Error reason;
    EXPECT_FALSE(authenticate(configuredEntry().directory, GetParam(), &reason));
    EXPECT_EQ(reason.kind, ErrorKind::Unauthenticated);
    Error unknownTeam;
    authenticate(configuredEntry().directory, "nobody.secret", &unknownTeam);
    EXPECT_EQ(reason.message, unknownTeam.message) << "does not tell whether the team exists";
}

INSTANTIATE_TEST_SUITE_P(Table, Token,
                         testing::Values("", "team", "team.", "team.wrong", "team.secret ",
                                         "TEAM.secret", ".secret", "nobody.secret",
                                         "team.secret.secret"));

TEST(Tokens, AReplacedTokenIsOver)
{
    Error reason;
    EntryState entry = configuredEntry();
    EXPECT_EQ(authenticate(entry.directory, "team.secret", &reason), "team");
    entry.directory.teams["team"].tokenHash = hashSecret("salt-salt", "newer");
    EXPECT_FALSE(authenticate(entry.directory, "team.secret", &reason));
    EXPECT_EQ(authenticate(entry.directory, "team.newer", &reason), "team");
}

// [SECTION] Placement

struct Choice
{
    const char *name;
    dispatch::ServiceLoad own;
    ReportedLoad peer;
    Milliseconds age;
    const char *expected;
};

class Owner : public testing::TestWithParam<Choice>
{ };

TEST_P(Owner, IsWhereTheJobWaitsLeast)
{
    Placement placement;
    placement.settings.self = "entry-a";
    takeLoadReport(placement, { "entry-b", "", false, { GetParam().peer } }, Begin);
    EXPECT_EQ(chooseOwner(placement, "svc", GetParam().own, 4, Begin + GetParam().age),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Table, Owner,
                         testing::Values(Choice { "OwnSlotsFree",
                                                  { 8, 4, 0 },
                                                  { "svc", 80, 0, 0 },
                                                  Milliseconds(0),
                                                  "entry-a" },
                                         Choice { "OwnFullPeerFree",
                                                  { 8, 8, 0 },
                                                  { "svc", 8, 0, 0 },
                                                  Milliseconds(0),
                                                  "entry-b" },
                                         Choice { "BothFullPeerWorse",
                                                  { 8, 8, 0 },
                                                  { "svc", 8, 8, 9 },
                                                  Milliseconds(0),
                                                  "entry-a" },
                                         Choice { "NoWorkerHere",
                                                  { 0, 0, 0 },
                                                  { "svc", 8, 8, 40 },
                                                  Milliseconds(0),
                                                  "entry-b" },
                                         Choice { "NoWorkerAnywhere",
                                                  { 0, 0, 0 },
                                                  { "svc", 0, 0, 0 },
                                                  Milliseconds(0),
                                                  "entry-a" },
                                         Choice { "OldReport",
                                                  { 8, 8, 0 },
                                                  { "svc", 8, 0, 0 },
                                                  Milliseconds(3000),
                                                  "entry-a" }),
                         [](const testing::TestParamInfo<Choice> &given) {
                             return given.param.name;
                         });

TEST(Placement, ABurstDoesNotAllGoToOnePeer)
{
    Placement placement;
    placement.settings.self = "entry-a";
    for (const char *peer : { "entry-b", "entry-c" })
        takeLoadReport(placement, { peer, "", false, { { "svc", 8, 0, 0 } } }, Begin);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 4; ++i)
        ++chosen[chooseOwner(placement, "svc", { 8, 8, 8 }, 4, Begin)];
    EXPECT_EQ(chosen["entry-b"], 2);
    EXPECT_EQ(chosen["entry-c"], 2);
}

} // namespace
} // namespace foxwing::entry
