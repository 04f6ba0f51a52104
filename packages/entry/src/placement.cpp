/*
    Placement of jobs and workers on entries.

    [SECTION] Reports
    [SECTION] Jobs
    [SECTION] Workers
*/
#include <foxwing/entry/placement.h>

#include <algorithm>

namespace foxwing::entry {

namespace {

// [SECTION] Reports

bool sameLoads(const LoadReport &left, const LoadReport &right)
{
    return left.leaving == right.leaving
            && std::equal(left.loads.begin(), left.loads.end(), right.loads.begin(),
                          right.loads.end(), [](const ReportedLoad &a, const ReportedLoad &b) {
                              return a.service == b.service && a.slots == b.slots
                                      && a.busy == b.busy && a.waiting == b.waiting;
                          });
}

bool isUsable(const Placement &placement, const PeerLoad &peer, Time now)
{
    return !peer.report.leaving && now < peer.lastReceivedAt + placement.settings.maxReportAge;
}

const ReportedLoad *findLoad(const LoadReport &report, const std::string &service)
{
    for (const ReportedLoad &load : report.loads) {
        if (load.service == service)
            return &load;
    }
    return nullptr;
}

// [SECTION] Jobs

// Expected wait of a job, in queued tasks per slot; 0 if it can start at once.
double expectedWait(std::uint32_t slots, std::uint32_t busy, std::uint32_t waiting,
                    std::uint32_t tasks)
{
    constexpr double InfiniteWait = 1e9;
    if (slots == 0)
        return InfiniteWait;
    const std::uint32_t wanted = busy + waiting + tasks;
    return wanted <= slots ? 0 : static_cast<double>(wanted - slots) / slots;
}

// A handoff costs two messages and their delay, so it must shorten the wait by at least this.
constexpr double MinWaitGain = 0.05;

} // namespace

void handleLoadReport(Placement &placement, const LoadReport &report, Time now)
{
    placement.peers[report.from] = { report, now };
}

std::string chooseOwner(Placement &placement, const std::string &service,
                        const dispatch::ServiceLoad &own, std::uint32_t tasks, Time now)
{
    const double ownWait = expectedWait(own.slots, own.busy, own.waiting, tasks);
    const bool local = placement.settings.policy == PlacementPolicy::Local && own.slots > 0;
    if (ownWait == 0 || local)
        return placement.settings.self;
    double bestWait = ownWait - MinWaitGain;
    PeerLoad *best = nullptr;
    for (auto &peer : placement.peers) {
        const ReportedLoad *load = findLoad(peer.second.report, service);
        if (!load || !isUsable(placement, peer.second, now))
            continue;
        const double wait = expectedWait(load->slots, load->busy, load->waiting, tasks);
        if (wait >= bestWait)
            continue;
        bestWait = wait;
        best = &peer.second;
    }
    if (!best)
        return placement.settings.self;
    for (ReportedLoad &load : best->report.loads) {
        if (load.service == service)
            load.waiting += tasks;
    }
    return best->report.from;
}

std::optional<LoadReport> reportIfDue(Placement &placement, const dispatch::Dispatcher &dispatcher,
                                      bool leaving, Time now)
{
    if (now < placement.nextReport)
        return std::nullopt;
    LoadReport report;
    report.from = placement.settings.self;
    report.dataCentre = placement.settings.dataCentre;
    report.leaving = leaving;
    for (const auto &service : dispatcher.services) {
        const dispatch::ServiceLoad load = dispatch::serviceLoad(dispatcher, service.first);
        report.loads.push_back({ service.first, load.slots, load.busy, load.waiting });
    }
    if (sameLoads(report, placement.lastReport) && now < placement.nextForcedReport)
        return std::nullopt;
    placement.nextReport = now + placement.settings.minReportInterval;
    placement.nextForcedReport = now + placement.settings.maxReportInterval;
    placement.lastReport = report;
    return report;
}

// [SECTION] Workers

namespace {

// An entry with work and no worker can't wait until a peer has an idle one.
bool isStarved(const ReportedLoad &load)
{
    return load.slots == 0 && load.waiting > 0;
}

bool shouldTransfer(const dispatch::ServiceState &own, const ReportedLoad &peer)
{
    const std::uint32_t workers = own.pool.leasedWorkers;
    if (workers == 0)
        return false;
    if (isStarved(peer))
        return workers > 1 || own.waitingTasks == 0;
    const std::uint32_t slotsOfOne = own.pool.slots / workers;
    return peer.slots + 2 * slotsOfOne <= own.pool.slots;
}

} // namespace

std::optional<WorkerTransfer> chooseTransfer(Placement &placement,
                                             const dispatch::Dispatcher &dispatcher, Time now)
{
    if (now < placement.nextTransfer)
        return std::nullopt;
    for (const auto &peer : placement.peers) {
        if (!isUsable(placement, peer.second, now))
            continue;
        for (const auto &service : dispatcher.services) {
            // A peer that does not report the service has no slots for it.
            const ReportedLoad none { service.first, 0, 0, 0 };
            const ReportedLoad *load = findLoad(peer.second.report, service.first);
            if (!shouldTransfer(service.second, load ? *load : none))
                continue;
            placement.nextTransfer = now + placement.settings.transferInterval;
            return WorkerTransfer { service.first, peer.first, peer.second.report.dataCentre,
                                    isStarved(load ? *load : none) };
        }
    }
    return std::nullopt;
}

} // namespace foxwing::entry
