/*
    Refusals, readiness, authentication and placement of an entry.

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

constexpr Time StartTime { Milliseconds(1000) };
const WallTime Wall { Milliseconds(1'796'000'000'000) };

EntryState configuredEntry()
{
    EntrySettings settings;
    settings.self = { "entry-a", 1 };
    EntryState entry = makeEntry(settings);
    entry.registry.services["svc"] = { "svc", 10, 100, Milliseconds(5000) };
    entry.registry.teams["team"] = { "team", "salt-salt", hashSecret("salt-salt", "secret"), 1, 0 };
    claims::renewControlLease(entry.claims, StartTime);
    return entry;
}

SubmitRequest validRequest()
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
    void (*mutate)(EntryState &, SubmitRequest &);
    ErrorKind kind;
    const char *remedy;
};

class InvalidSubmission : public testing::TestWithParam<BadSubmission>
{ };

TEST_P(InvalidSubmission, IsRefusedWithARemedy)
{
    EntryState entry = configuredEntry();
    SubmitRequest request = validRequest();
    GetParam().mutate(entry, request);
    const EntryActions actions = submit(entry, request, StartTime, Wall);
    EXPECT_TRUE(actions.sends.empty());
    ASSERT_EQ(actions.replies.size(), 1U);
    const dispatch::Answer &answer = actions.replies[0].answer;
    EXPECT_EQ(actions.replies[0].waiter, 7U);
    EXPECT_EQ(answer.outcome, Outcome::NotRun);
    EXPECT_EQ(answer.error.kind, GetParam().kind);
    EXPECT_NE(answer.error.message.find(GetParam().remedy), std::string::npos)
            << answer.error.message;
    EXPECT_TRUE(entry.pending.empty() && entry.dispatcher.jobs.empty())
            << "state of a refused submission was kept";
}

INSTANTIATE_TEST_SUITE_P(
        Table, InvalidSubmission,
        testing::Values(
                BadSubmission {
                        "UnknownService",
                        [](EntryState &, SubmitRequest &request) { request.service = "no"; },
                        ErrorKind::NotFound, "foxwing show service" },
                BadSubmission { "TooManyTasks",
                                [](EntryState &, SubmitRequest &request) {
                                    request.payloads.assign(100000, "payload");
                                },
                                ErrorKind::CanNeverRun, "split the job" },
                BadSubmission {
                        "NoTasks",
                        [](EntryState &, SubmitRequest &request) { request.payloads.clear(); },
                        ErrorKind::CanNeverRun, "1 to 10 tasks" },
                BadSubmission { "PayloadTooLarge",
                                [](EntryState &, SubmitRequest &request) {
                                    request.payloads[0].assign(101, 'x');
                                },
                                ErrorKind::CanNeverRun, "pass a reference" },
                BadSubmission { "DeclaredTimeTooLong",
                                [](EntryState &, SubmitRequest &request) {
                                    request.declaredTime = Seconds(6);
                                    request.timeLeft = Seconds(60);
                                },
                                ErrorKind::CanNeverRun, "at most 5000 ms" },
                BadSubmission { "DeclaredTimeBeyondDeadline",
                                [](EntryState &, SubmitRequest &request) {
                                    request.declaredTime = Seconds(3);
                                },
                                ErrorKind::DeadlineUnreachable, "allow more time" },
                BadSubmission {
                        "IdNotAUuid",
                        [](EntryState &, SubmitRequest &request) { request.submission = "job-1"; },
                        ErrorKind::BadRequest, "version 7 UUID" },
                BadSubmission { "IdInTheFuture",
                                [](EntryState &, SubmitRequest &request) {
                                    std::mt19937_64 random(1);
                                    request.submission = makeSubmissionId(Wall + Seconds(10),
                                                                          random);
                                },
                                ErrorKind::BadRequest, "set the clock" },
                BadSubmission { "NotConfigured",
                                [](EntryState &entry, SubmitRequest &) {
                                    entry.claims.controlConfirmed = false;
                                },
                                ErrorKind::NotReady, "another one" },
                BadSubmission { "Leaving",
                                [](EntryState &entry, SubmitRequest &) { entry.leaving = true; },
                                ErrorKind::Leaving, "another one" }),
        [](const testing::TestParamInfo<BadSubmission> &given) { return given.param.name; });

// Work with an id may run on another entry, so an entry that can't check must not answer "not run".
TEST(Entry, AnswersUnknownForAnIdThatItCannotCheck)
{
    for (const bool leaving : { true, false }) {
        EntryState entry = configuredEntry();
        entry.leaving = leaving;
        entry.claims.controlConfirmed = leaving;
        SubmitRequest request = validRequest();
        std::mt19937_64 random(1);
        request.submission = makeSubmissionId(Wall, random);
        const EntryActions actions = submit(entry, request, StartTime, Wall);
        ASSERT_EQ(actions.replies.size(), 1U);
        EXPECT_EQ(actions.replies[0].answer.outcome, Outcome::Unknown);
    }
}

// Guards against all entries turning unready at once when the view changes.
TEST(Entry, StaysReadyWhileShardsMove)
{
    EntryState entry = configuredEntry();
    EXPECT_FALSE(ready(entry, StartTime));
    claims::View view;
    view.number = 1;
    view.members = { { { "entry-a", 1 }, "", "" } };
    view.bases.resize(claims::ShardCount);
    for (claims::ShardBase &base : view.bases)
        base.lastActiveView = 1;
    setView(entry, view, StartTime);
    tick(entry, StartTime, Wall);
    EXPECT_TRUE(ready(entry, StartTime));
    view.number = 2;
    setView(entry, view, StartTime);
    tick(entry, StartTime, Wall);
    EXPECT_TRUE(ready(entry, StartTime)) << "unready although only the shards move";
    EXPECT_FALSE(ready(entry, StartTime + Seconds(11)))
            << "ready after the configuration lease expired";
}

// [SECTION] Tokens

class Token : public testing::TestWithParam<const char *>
{ };

TEST_P(Token, IsRejectedWithTheSameMessage)
{
    Error reason;
    EXPECT_FALSE(authenticate(configuredEntry().registry, GetParam(), &reason));
    EXPECT_EQ(reason.kind, ErrorKind::Unauthenticated);
    Error unknownTeam;
    authenticate(configuredEntry().registry, "nobody.secret", &unknownTeam);
    EXPECT_EQ(reason.message, unknownTeam.message) << "the message reveals whether the team exists";
}

INSTANTIATE_TEST_SUITE_P(Table, Token,
                         testing::Values("", "team", "team.", "team.wrong", "team.secret ",
                                         "TEAM.secret", ".secret", "nobody.secret",
                                         "team.secret.secret"));

TEST(Tokens, ReplacedTokenIsRejected)
{
    Error reason;
    EntryState entry = configuredEntry();
    EXPECT_EQ(authenticate(entry.registry, "team.secret", &reason), "team");
    entry.registry.teams["team"].tokenHash = hashSecret("salt-salt", "newer");
    EXPECT_FALSE(authenticate(entry.registry, "team.secret", &reason));
    EXPECT_EQ(authenticate(entry.registry, "team.newer", &reason), "team");
}

// [SECTION] Placement

struct OwnerCase
{
    const char *name;
    dispatch::ServiceLoad own;
    ReportedLoad peer;
    Milliseconds age;
    const char *expected;
};

class Owner : public testing::TestWithParam<OwnerCase>
{ };

TEST_P(Owner, IsTheEntryWithTheShortestWait)
{
    Placement placement;
    placement.settings.self = "entry-a";
    handleLoadReport(placement, { "entry-b", "", false, { GetParam().peer } }, StartTime);
    EXPECT_EQ(chooseOwner(placement, "svc", GetParam().own, 4, StartTime + GetParam().age),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Table, Owner,
                         testing::Values(OwnerCase { "OwnSlotsFree",
                                                     { 8, 4, 0 },
                                                     { "svc", 80, 0, 0 },
                                                     Milliseconds(0),
                                                     "entry-a" },
                                         OwnerCase { "OwnFullPeerFree",
                                                     { 8, 8, 0 },
                                                     { "svc", 8, 0, 0 },
                                                     Milliseconds(0),
                                                     "entry-b" },
                                         OwnerCase { "BothFullPeerWorse",
                                                     { 8, 8, 0 },
                                                     { "svc", 8, 8, 9 },
                                                     Milliseconds(0),
                                                     "entry-a" },
                                         OwnerCase { "NoLocalWorker",
                                                     { 0, 0, 0 },
                                                     { "svc", 8, 8, 40 },
                                                     Milliseconds(0),
                                                     "entry-b" },
                                         OwnerCase { "NoWorkerAnywhere",
                                                     { 0, 0, 0 },
                                                     { "svc", 0, 0, 0 },
                                                     Milliseconds(0),
                                                     "entry-a" },
                                         OwnerCase { "StaleReport",
                                                     { 8, 8, 0 },
                                                     { "svc", 8, 0, 0 },
                                                     Milliseconds(3000),
                                                     "entry-a" }),
                         [](const testing::TestParamInfo<OwnerCase> &given) {
                             return given.param.name;
                         });

TEST(Placement, BurstIsSpreadOverPeers)
{
    Placement placement;
    placement.settings.self = "entry-a";
    for (const char *peer : { "entry-b", "entry-c" })
        handleLoadReport(placement, { peer, "", false, { { "svc", 8, 0, 0 } } }, StartTime);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 4; ++i)
        ++chosen[chooseOwner(placement, "svc", { 8, 8, 8 }, 4, StartTime)];
    EXPECT_EQ(chosen["entry-b"], 2);
    EXPECT_EQ(chosen["entry-c"], 2);
}

} // namespace
} // namespace foxwing::entry
