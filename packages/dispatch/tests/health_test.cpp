/*
    Tests of ejection and probation of workers.

    [SECTION] Tests
*/
#include <foxwing/dispatch/health.h>

#include <gtest/gtest.h>

namespace foxwing::dispatch {
namespace {

constexpr Time StartTime { Milliseconds(1000) };

ServiceHealth healthyService(std::uint32_t workers)
{
    ServiceHealth service;
    service.workers = workers;
    service.successes = 50;
    return service;
}

int failUntilEjected(ServiceHealth &service, WorkerHealth &worker)
{
    int failures = 0;
    while (worker.status == HealthStatus::Healthy && failures < 1000) {
        recordOutcome(service, worker, false, StartTime);
        ++failures;
    }
    return failures;
}

// [SECTION] Tests

TEST(Health, AWorkerThatFailsAllTasksIsEjectedSoon)
{
    ServiceHealth service = healthyService(11);
    WorkerHealth worker;
    EXPECT_LE(failUntilEjected(service, worker), 20);
}

TEST(Health, FailuresOnAllWorkersEjectNone)
{
    ServiceHealth service = healthyService(11);
    service.successes = 0;
    std::vector<WorkerHealth> workers(11);
    for (int i = 0; i < 1100; ++i)
        recordOutcome(service, workers[static_cast<std::size_t>(i % 11)], false, StartTime);
    EXPECT_EQ(service.ejected, 0U);
}

TEST(Health, TheNumberOfEjectedWorkersIsLimited)
{
    ServiceHealth service = healthyService(10);
    std::vector<WorkerHealth> workers(10);
    for (WorkerHealth &worker : workers) {
        service.successes = 1000;
        for (int i = 0; i < 10; ++i)
            recordOutcome(service, worker, false, StartTime);
    }
    EXPECT_EQ(service.ejected, 3U);
}

TEST(Health, AProbationEndsInHealthOrALongerEjection)
{
    ServiceHealth service = healthyService(11);
    WorkerHealth worker;
    failUntilEjected(service, worker);
    EXPECT_FALSE(endEjection(worker, StartTime + Milliseconds(4999)));
    EXPECT_TRUE(endEjection(worker, StartTime + Milliseconds(5000)));
    EXPECT_EQ(worker.status, HealthStatus::OnProbation);
    recordOutcome(service, worker, false, StartTime + Milliseconds(5000));
    EXPECT_EQ(worker.status, HealthStatus::Ejected);
    EXPECT_EQ(worker.ejectedUntil, StartTime + Milliseconds(15000));
    EXPECT_TRUE(endEjection(worker, worker.ejectedUntil));
    for (int i = 0; i < 3; ++i)
        recordOutcome(service, worker, true, StartTime);
    EXPECT_EQ(worker.status, HealthStatus::Healthy);
    EXPECT_EQ(service.ejected, 0U);
}

} // namespace
} // namespace foxwing::dispatch
