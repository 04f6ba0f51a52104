/*
    Tests of ejection and probation of workers.

    [SECTION] Tests
*/
#include <foxwing/dispatch/health.h>

#include <gtest/gtest.h>

namespace foxwing::dispatch {
namespace {

constexpr Time Begin { Milliseconds(1000) };

ServiceHealth healthyService(std::uint32_t workers)
{
    ServiceHealth service;
    service.workers = workers;
    service.successes = 50;
    return service;
}

int failUntilEjected(ServiceHealth &service, WorkerHealth &worker)
{
    int harmed = 0;
    while (worker.standing == Standing::Good && harmed < 1000) {
        recordOutcome(service, worker, false, Begin);
        ++harmed;
    }
    return harmed;
}

// [SECTION] Tests

TEST(Health, AWorkerThatFailsEverythingHarmsFewTasks)
{
    ServiceHealth service = healthyService(11);
    WorkerHealth worker;
    EXPECT_LE(failUntilEjected(service, worker), 20);
}

TEST(Health, BadWorkIsNoEvidenceAgainstWorkers)
{
    ServiceHealth service = healthyService(11);
    service.successes = 0;
    std::vector<WorkerHealth> workers(11);
    for (int i = 0; i < 1100; ++i)
        recordOutcome(service, workers[static_cast<std::size_t>(i % 11)], false, Begin);
    EXPECT_EQ(service.ejected, 0U);
}

TEST(Health, OnlyABoundedShareIsEjected)
{
    ServiceHealth service = healthyService(10);
    std::vector<WorkerHealth> workers(10);
    for (WorkerHealth &worker : workers) {
        service.successes = 1000;
        for (int i = 0; i < 10; ++i)
            recordOutcome(service, worker, false, Begin);
    }
    EXPECT_EQ(service.ejected, 3U);
}

TEST(Health, ATrialEndsInGoodStandingOrALongerEjection)
{
    ServiceHealth service = healthyService(11);
    WorkerHealth worker;
    failUntilEjected(service, worker);
    EXPECT_FALSE(endEjection(worker, Begin + Milliseconds(4999)));
    EXPECT_TRUE(endEjection(worker, Begin + Milliseconds(5000)));
    EXPECT_EQ(worker.standing, Standing::OnTrial);
    recordOutcome(service, worker, false, Begin + Milliseconds(5000));
    EXPECT_EQ(worker.standing, Standing::Ejected);
    EXPECT_EQ(worker.outUntil, Begin + Milliseconds(15000));
    EXPECT_TRUE(endEjection(worker, worker.outUntil));
    for (int i = 0; i < 3; ++i)
        recordOutcome(service, worker, true, Begin);
    EXPECT_EQ(worker.standing, Standing::Good);
    EXPECT_EQ(service.ejected, 0U);
}

} // namespace
} // namespace foxwing::dispatch
