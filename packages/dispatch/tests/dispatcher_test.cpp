/*
    Tests of the dispatcher with lost, late and unexpected messages. Each step between the start of
    a task and its settlement fails once. The outcome must be "not run" only if no task can have
    started.

    [SECTION] Helpers
    [SECTION] Failures of single steps
    [SECTION] Answers
    [SECTION] Limits
*/
#include <foxwing/dispatch/dispatcher.h>

#include <gtest/gtest.h>

namespace foxwing::dispatch {
namespace {

// [SECTION] Helpers

constexpr Time StartTime { Milliseconds(1000) };

struct Fixture
{
    Dispatcher dispatcher;
    std::vector<agent::Start> starts;
    std::vector<std::string> ended;
    Time now = StartTime;
    std::uint32_t slots = 2;

    Fixture()
    {
        DispatchSettings settings;
        settings.id = "entry-a";
        settings.incarnation = 1;
        dispatcher = makeDispatcher(settings);
        offer("worker-1", 1);
    }

    void record(Actions &&actions)
    {
        for (Outgoing &send : actions.sends) {
            if (const auto *start = std::get_if<agent::Start>(&send.message))
                starts.push_back(*start);
        }
        ended.insert(ended.end(), actions.ended.begin(), actions.ended.end());
    }

    void offer(const std::string &id, std::uint64_t incarnation)
    {
        agent::LeaseOffer offer;
        offer.agent = id;
        offer.agentIncarnation = incarnation;
        offer.leaseEpoch = 1;
        offer.service = "svc";
        offer.slots = slots;
        record(handle(dispatcher, offer, now));
    }

    void submit(const std::string &key, std::size_t tasks, bool request = false,
                bool repeatable = false)
    {
        JobSpec spec;
        spec.key = key;
        spec.team = "team";
        spec.service = "svc";
        spec.payloads.assign(tasks, "payload");
        spec.deadline = now + Seconds(10);
        spec.request = request;
        spec.repeatable = repeatable;
        record(submitJob(dispatcher, spec, 1, now));
    }

    void finish(const agent::Start &start, const std::string &body,
                agent::TaskEnd end = agent::TaskEnd::Succeeded)
    {
        agent::Finished finished;
        finished.ref = start.ref;
        finished.agent = "worker-1";
        finished.agentIncarnation = start.agentIncarnation;
        finished.body = body;
        finished.end = end;
        record(handle(dispatcher, finished, now));
    }

    // Advances the clock in ticks; the worker renews its lease or not.
    void advance(Milliseconds duration, bool renew)
    {
        const Time until = now + duration;
        while (now < until) {
            now += Milliseconds(50);
            if (renew)
                offer("worker-1", 1);
            record(tick(dispatcher, now));
        }
    }

    const Answer &answer(const std::string &key) const { return findJob(dispatcher, key)->answer; }
};

// [SECTION] Failures of single steps

struct FailureCase
{
    const char *name;
    void (*run)(Fixture &);
    Outcome expected;
    std::size_t starts;
};

class SingleFailure : public testing::TestWithParam<FailureCase>
{ };

TEST_P(SingleFailure, HasTheRightOutcome)
{
    Fixture fixture;
    GetParam().run(fixture);
    EXPECT_EQ(fixture.answer("team/job").outcome, GetParam().expected);
    EXPECT_EQ(fixture.starts.size(), GetParam().starts);
}

agent::NotStarted refusal(const agent::Start &start, agent::RefusalCause cause)
{
    return { start.ref, "worker-1", start.agentIncarnation, cause };
}

INSTANTIATE_TEST_SUITE_P(
        Table, SingleFailure,
        testing::Values(
                FailureCase { "NoWorkerUntilTheDeadline",
                              [](Fixture &fixture) {
                                  fixture.advance(Milliseconds(2000), false);
                                  fixture.submit("team/job", 1);
                                  fixture.advance(Milliseconds(10050), false);
                              },
                              Outcome::NotRun, 0 },
                FailureCase { "CancelledBeforeAnyStart",
                              [](Fixture &fixture) {
                                  fixture.advance(Milliseconds(2000), false);
                                  fixture.submit("team/job", 1);
                                  fixture.record(
                                          cancelJob(fixture.dispatcher, "team/job", fixture.now));
                              },
                              Outcome::NotRun, 0 },
                FailureCase { "StartLostWithItsWorker",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1);
                                  fixture.advance(Milliseconds(5000), false);
                              },
                              Outcome::Failed, 1 },
                FailureCase { "WorkerRestarted",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1);
                                  fixture.offer("worker-1", 2);
                              },
                              Outcome::Failed, 1 },
                FailureCase {
                        "RefusalOfAnotherIncarnationIsNoProof",
                        [](Fixture &fixture) {
                            fixture.submit("team/job", 1);
                            agent::NotStarted late = refusal(fixture.starts[0],
                                                             agent::RefusalCause::WrongIncarnation);
                            late.agentIncarnation = 2;
                            fixture.record(handle(fixture.dispatcher, late, fixture.now));
                            fixture.record(cancelJob(fixture.dispatcher, "team/job", fixture.now));
                        },
                        Outcome::Failed, 1 },
                FailureCase { "RefusedThenCancelled",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1);
                                  fixture.record(handle(fixture.dispatcher,
                                                        refusal(fixture.starts[0],
                                                                agent::RefusalCause::NoFreeSlot),
                                                        fixture.now));
                                  fixture.record(
                                          cancelJob(fixture.dispatcher, "team/job", fixture.now));
                              },
                              Outcome::NotRun, 1 },
                FailureCase { "RefusedThenStartedElsewhere",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1);
                                  fixture.record(handle(fixture.dispatcher,
                                                        refusal(fixture.starts[0],
                                                                agent::RefusalCause::WrongLease),
                                                        fixture.now));
                                  fixture.advance(Milliseconds(100), true);
                                  fixture.finish(fixture.starts.back(), "result");
                              },
                              Outcome::Complete, 2 },
                FailureCase { "FencedByAnotherOwner",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1);
                                  fixture.record(handle(fixture.dispatcher,
                                                        refusal(fixture.starts[0],
                                                                agent::RefusalCause::Fenced),
                                                        fixture.now));
                              },
                              Outcome::Failed, 1 },
                FailureCase { "EndpointReportsFailure",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 2);
                                  fixture.finish(fixture.starts[0], "no", agent::TaskEnd::Failed);
                              },
                              Outcome::Failed, 2 },
                FailureCase { "DeadlineWhileItRuns",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1);
                                  fixture.advance(Milliseconds(10050), true);
                              },
                              Outcome::Failed, 1 },
                FailureCase { "ResultArrivesTwice",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 2);
                                  fixture.finish(fixture.starts[0], "result");
                                  fixture.finish(fixture.starts[0], "result");
                                  fixture.finish(fixture.starts[1], "result");
                              },
                              Outcome::Complete, 2 },
                FailureCase { "RepeatableRequestIsRetried",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1, true, true);
                                  fixture.offer("worker-1", 2);
                                  fixture.finish(fixture.starts.back(), "result");
                              },
                              Outcome::Complete, 2 },
                FailureCase { "UnrepeatableRequestIsNotRetried",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1, true, false);
                                  fixture.offer("worker-1", 2);
                              },
                              Outcome::Failed, 1 },
                FailureCase { "RepeatableJobIsNotRetried",
                              [](Fixture &fixture) {
                                  fixture.submit("team/job", 1, false, true);
                                  fixture.offer("worker-1", 2);
                              },
                              Outcome::Failed, 1 }),
        [](const testing::TestParamInfo<FailureCase> &given) { return given.param.name; });

// [SECTION] Answers

TEST(Dispatcher, AnswersAreCompleteAndInOrder)
{
    Fixture fixture;
    fixture.slots = 3;
    fixture.offer("worker-1", 1);
    fixture.submit("team/job", 3);
    ASSERT_EQ(fixture.starts.size(), 3U);
    for (const int task : { 2, 0, 1 }) {
        EXPECT_TRUE(fixture.ended.empty());
        fixture.finish(fixture.starts[static_cast<std::size_t>(task)], std::to_string(task));
    }
    EXPECT_EQ(fixture.answer("team/job").results, (std::vector<std::string> { "0", "1", "2" }));
}

TEST(Dispatcher, UnexpectedResultsAreDropped)
{
    Fixture fixture;
    fixture.submit("team/job", 1);
    agent::Start unexpected = fixture.starts[0];
    unexpected.ref.attempt = 1;
    fixture.finish(unexpected, "unexpected");
    unexpected = fixture.starts[0];
    unexpected.ref.job = "team/other";
    fixture.finish(unexpected, "unexpected");
    EXPECT_TRUE(fixture.ended.empty());
    EXPECT_EQ(fixture.dispatcher.counters.unexpectedResults, 2U);
}

TEST(Dispatcher, ASilentTaskIsQueriedAtGrowingIntervals)
{
    Fixture fixture;
    fixture.submit("team/job", 1);
    fixture.advance(Milliseconds(9000), true);
    EXPECT_EQ(fixture.dispatcher.counters.verifications, 3U); // after 1, 3 and 7 seconds
}

TEST(Dispatcher, AnswersAreEvictedByAgeAndBySize)
{
    Fixture fixture;
    fixture.dispatcher.settings.maxAnswerBytes = 1000;
    for (int i = 0; i < 10; ++i) {
        fixture.submit("team/job" + std::to_string(i), 1);
        fixture.finish(fixture.starts.back(), std::string(400, 'x'));
    }
    fixture.advance(Milliseconds(100), true);
    EXPECT_LE(fixture.dispatcher.answerBytes, 1000U);
    EXPECT_NE(findJob(fixture.dispatcher, "team/job9"), nullptr);
    fixture.advance(Milliseconds(121000), true);
    EXPECT_TRUE(fixture.dispatcher.jobs.empty());
}

// [SECTION] Limits

TEST(Dispatcher, AFullQueueRefusesWithOutcomeNotRun)
{
    Fixture fixture;
    fixture.dispatcher.settings.maxQueuedTasks = 10;
    fixture.submit("team/first", 12);
    JobSpec spec;
    spec.key = "team/second";
    spec.service = "svc";
    spec.payloads = { "payload" };
    spec.deadline = fixture.now + Seconds(1);
    const auto refused = checkAdmission(fixture.dispatcher, spec, fixture.now);
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->kind, ErrorKind::QueueFull);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    EXPECT_GT(refused->retryAfter.count(), 0);
}

TEST(Dispatcher, ATeamStaysWithinItsShareOfTheQuota)
{
    Fixture fixture;
    fixture.slots = 16;
    fixture.offer("worker-1", 1);
    setTeamLimit(fixture.dispatcher, "team", 3);
    fixture.submit("team/job", 8);
    EXPECT_EQ(fixture.starts.size(), 3U);
    fixture.finish(fixture.starts[0], "result");
    EXPECT_EQ(fixture.starts.size(), 4U);
    setTeamLimit(fixture.dispatcher, "team", 5);
    fixture.advance(Milliseconds(100), true);
    EXPECT_EQ(fixture.starts.size(), 6U);
}

TEST(Dispatcher, AnOldRunTimeDoesNotRefuseWork)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.submit("team/slow" + std::to_string(i), 1);
        agent::Finished finished;
        finished.ref = fixture.starts.back().ref;
        finished.agent = "worker-1";
        finished.agentIncarnation = 1;
        finished.end = agent::TaskEnd::Succeeded;
        finished.runTime = Seconds(5);
        fixture.record(handle(fixture.dispatcher, finished, fixture.now));
    }
    JobSpec spec;
    spec.key = "team/next";
    spec.team = "team";
    spec.service = "svc";
    spec.payloads = { "payload" };
    spec.deadline = fixture.now + Seconds(1);
    EXPECT_TRUE(checkAdmission(fixture.dispatcher, spec, fixture.now));
    spec.deadline = fixture.now + Seconds(7);
    EXPECT_FALSE(checkAdmission(fixture.dispatcher, spec, fixture.now));
    spec.deadline = fixture.now + Seconds(6) + Seconds(1);
    EXPECT_FALSE(checkAdmission(fixture.dispatcher, spec, fixture.now + Seconds(6)));
}

} // namespace
} // namespace foxwing::dispatch
