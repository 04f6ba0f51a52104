/*
    Wait estimates: waiting work divided by the rate of released capacity.

    [SECTION] Picture
    [SECTION] Wait
*/
#include <foxwing/forecast/forecast.h>

#include <algorithm>
#include <cmath>

namespace foxwing::forecast {

// [SECTION] Picture

namespace {

void addWaiting(Picture &picture, const jobs::WaitingRoom &told)
{
    const auto before = [](const jobs::WaitingRoom &row, std::uint32_t priority) {
        return row.priority < priority;
    };
    const auto row = std::lower_bound(picture.waiting.begin(), picture.waiting.end(), told.priority,
                                      before);
    if (row != picture.waiting.end() && row->priority == told.priority)
        row->milliCores += told.milliCores;
    else
        picture.waiting.insert(row, told);
}

} // namespace

void addAgent(Picture &picture, const AgentNews &news, Time now)
{
    const Microseconds age = now - news.heardAt;
    if (age > OldestNews)
        return;
    picture.age = std::max(picture.age, age);
    picture.freedPerSecond += news.freedPerSecond;
    if (news.freeMilliCores > 0)
        picture.free.push_back(news.freeMilliCores);
    for (const jobs::WaitingRoom &row : news.waiting)
        addWaiting(picture, row);
}

// [SECTION] Wait

namespace {

double waitingAtAgents(const Picture &picture, std::uint32_t priority)
{
    double milliCores = 0;
    for (const jobs::WaitingRoom &row : picture.waiting) {
        if (row.priority <= priority)
            milliCores += static_cast<double>(row.milliCores);
    }
    return milliCores;
}

// Free capacity in whole tasks of this size; an endpoint's remainder can't be used.
double usableRoom(const Picture &picture, std::int64_t taskMilliCores)
{
    const std::int64_t task = std::max<std::int64_t>(1, taskMilliCores);
    double milliCores = 0;
    for (const std::int64_t free : picture.free) {
        const std::int64_t tasks = free / task;
        milliCores += static_cast<double>(tasks * task);
    }
    return milliCores;
}

Milliseconds rounded(double seconds)
{
    const double most = std::chrono::duration<double>(LongestWait).count();
    return Milliseconds(std::llround(std::min(seconds, most) * 1000));
}

} // namespace

bool hasWorkBefore(const Picture &picture, const Wanted &wanted)
{
    return wanted.beforeIt > 0 || waitingAtAgents(picture, wanted.priority) > 0;
}

std::optional<Milliseconds> expectedWait(const Picture &picture, const Wanted &wanted)
{
    // The free capacity reported by agents already excludes their own waiting starts.
    const double here = static_cast<double>(wanted.beforeIt + wanted.milliCores)
            - usableRoom(picture, wanted.taskMilliCores);
    if (here <= 0)
        return Milliseconds(0);
    const double pace = picture.freedPerSecond * picture.share;
    if (pace <= 0)
        return std::nullopt;
    return rounded(waitingAtAgents(picture, wanted.priority) / picture.freedPerSecond
                   + here / pace);
}

Milliseconds comeBackAfter(const Picture &picture, const Wanted &wanted, double chance)
{
    const Milliseconds wait = expectedWait(picture, wanted).value_or(MostComeBack);
    const double base = static_cast<double>(
            std::clamp(wait, LeastComeBack, MostComeBack / 2).count());
    const double spread = std::clamp(chance, 0.0, 1.0);
    return std::min(MostComeBack, Milliseconds(std::llround(base * (1 + spread))));
}

} // namespace foxwing::forecast
