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
bool isWorseThanPeers(const ServiceHealth &service, const WorkerHealth &worker)
{
    const double peerFailures = std::max(0.0, service.failures - worker.consecutiveFailures);
    const double peerOutcomes = service.successes + peerFailures;
    if (peerOutcomes < service.settings.ejectionThreshold)
        return false;
    return peerFailures / peerOutcomes <= service.settings.maxPeerFailureRatio;
}

bool canEject(const ServiceHealth &service)
{
    return service.ejected + 1 <= service.settings.maxEjectedRatio * service.workers;
}

void eject(ServiceHealth &service, WorkerHealth &worker, Time now)
{
    const HealthSettings &settings = service.settings;
    Milliseconds duration = settings.baseEjectionTime;
    for (std::uint32_t i = 0; i < worker.ejections && duration < settings.maxEjectionTime; ++i)
        duration *= 2;
    worker.ejectedUntil = now + std::min(duration, settings.maxEjectionTime);
    if (worker.status == HealthStatus::Healthy)
        ++service.ejected;
    worker.status = HealthStatus::Ejected;
    ++worker.ejections;
}

void restore(ServiceHealth &service, WorkerHealth &worker)
{
    worker.status = HealthStatus::Healthy;
    worker.ejections = 0;
    --service.ejected;
}

bool recordSuccess(ServiceHealth &service, WorkerHealth &worker)
{
    service.successes += 1;
    worker.consecutiveFailures = 0;
    ++worker.consecutiveSuccesses;
    const bool passed = worker.status == HealthStatus::OnProbation
            && worker.consecutiveSuccesses >= service.settings.probationSuccesses;
    if (passed)
        restore(service, worker);
    return passed;
}

bool recordFailure(ServiceHealth &service, WorkerHealth &worker, Time now)
{
    service.failures += 1;
    worker.consecutiveSuccesses = 0;
    ++worker.consecutiveFailures;
    const bool failedProbation = worker.status == HealthStatus::OnProbation;
    const bool isOutlier = worker.status == HealthStatus::Healthy
            && worker.consecutiveFailures >= service.settings.ejectionThreshold
            && isWorseThanPeers(service, worker) && canEject(service);
    if (failedProbation || isOutlier)
        eject(service, worker, now);
    return failedProbation || isOutlier;
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
    if (worker.status != HealthStatus::Ejected || now < worker.ejectedUntil)
        return false;
    worker.status = HealthStatus::OnProbation;
    worker.consecutiveSuccesses = 0;
    worker.consecutiveFailures = 0;
    return true;
}

void forgetWorker(ServiceHealth &service, const WorkerHealth &worker)
{
    --service.workers;
    if (worker.status != HealthStatus::Healthy)
        --service.ejected;
}

} // namespace foxwing::dispatch
