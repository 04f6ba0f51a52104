/*
    Ejection and probation of workers.

    [SECTION] Ejection
    [SECTION] Functions
*/
#include <foxwing/dispatch/health.h>

#include <algorithm>

namespace foxwing::dispatch {

// [SECTION] Ejection

namespace {

// Each outcome decays by this factor with every later one: a window of about 200 outcomes.
constexpr double Decay = 0.995;

// The worker's own consecutive failures are not counted as failures of its peers.
bool peersDoBetter(const ServiceHealth &service, const WorkerHealth &worker)
{
    const double peerFailures = std::max(0.0, service.failures - worker.failuresInRow);
    const double peerOutcomes = service.successes + peerFailures;
    if (peerOutcomes < service.settings.evidence)
        return false;
    return peerFailures / peerOutcomes <= service.settings.peerFailureShare;
}

bool mayEject(const ServiceHealth &service)
{
    return service.ejected + 1 <= service.settings.largestEjectedShare * service.workers;
}

void eject(ServiceHealth &service, WorkerHealth &worker, Time now)
{
    const HealthSettings &settings = service.settings;
    Milliseconds span = settings.ejection;
    for (std::uint32_t i = 0; i < worker.ejections && span < settings.longestEjection; ++i)
        span *= 2;
    worker.outUntil = now + std::min(span, settings.longestEjection);
    if (worker.standing == Standing::Good)
        ++service.ejected;
    worker.standing = Standing::Ejected;
    ++worker.ejections;
}

void restore(ServiceHealth &service, WorkerHealth &worker)
{
    worker.standing = Standing::Good;
    worker.ejections = 0;
    --service.ejected;
}

bool recordSuccess(ServiceHealth &service, WorkerHealth &worker)
{
    service.successes += 1;
    worker.failuresInRow = 0;
    ++worker.successesInRow;
    const bool passed = worker.standing == Standing::OnTrial
            && worker.successesInRow >= service.settings.trialSuccesses;
    if (passed)
        restore(service, worker);
    return passed;
}

bool recordFailure(ServiceHealth &service, WorkerHealth &worker, Time now)
{
    service.failures += 1;
    worker.successesInRow = 0;
    ++worker.failuresInRow;
    const bool failedTrial = worker.standing == Standing::OnTrial;
    const bool guilty = worker.standing == Standing::Good
            && worker.failuresInRow >= service.settings.evidence && peersDoBetter(service, worker)
            && mayEject(service);
    if (failedTrial || guilty)
        eject(service, worker, now);
    return failedTrial || guilty;
}

} // namespace

// [SECTION] Functions

bool recordOutcome(ServiceHealth &service, WorkerHealth &worker, bool succeeded, Time now)
{
    service.successes *= Decay;
    service.failures *= Decay;
    return succeeded ? recordSuccess(service, worker) : recordFailure(service, worker, now);
}

bool endEjection(WorkerHealth &worker, Time now)
{
    if (worker.standing != Standing::Ejected || now < worker.outUntil)
        return false;
    worker.standing = Standing::OnTrial;
    worker.successesInRow = 0;
    worker.failuresInRow = 0;
    return true;
}

void forgetWorker(ServiceHealth &service, const WorkerHealth &worker)
{
    --service.workers;
    if (worker.standing != Standing::Good)
        --service.ejected;
}

} // namespace foxwing::dispatch
