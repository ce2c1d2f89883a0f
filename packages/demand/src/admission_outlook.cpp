#include <algorithm>

#include "shallotproxy/demand/admission_outlook.hpp"
#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

// A shorter wait keeps no job from its deadline: deadlines leave more than this beside the run
// time.
constexpr std::chrono::milliseconds MinWait{300};

auto partOf(std::int64_t requested, std::int64_t offered) -> double
{
    if (requested <= 0)
        return 0;
    return static_cast<double>(requested) / static_cast<double>(std::max(offered, std::int64_t{1}));
}

} // namespace

auto PoolBacklog::add(std::uint32_t priority, Kind kind, const Resources &task, std::int64_t count,
                      Duration runTime) -> void
{
    const auto part = std::max({partOf(task.milliCores, m_room.milliCores),
                                partOf(task.memoryMegabytes, m_room.memoryMegabytes),
                                partOf(task.accelerators, m_room.accelerators)});
    const auto time = std::chrono::duration_cast<Duration>(
        part * static_cast<double>(count) * std::chrono::duration<double>(runTime));
    auto &waiting = m_waiting[priority];
    switch (kind) {
    case Kind::Entitled:
        waiting.entitled += time;
        break;
    case Kind::Late:
        waiting.late += time;
        break;
    case Kind::Surplus:
        waiting.surplus += time;
        break;
    }
}

auto waitsIn(const PoolBacklog &backlog) -> std::vector<PoolWait>
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto waits = std::vector<PoolWait>();
    if (backlog.m_room.milliCores <= 0 || backlog.m_room.memoryMegabytes <= 0)
        return waits;
    // Surplus work is placed after the other work of all priorities.
    auto allEntitled = Duration();
    for (const auto &[priority, waiting] : backlog.m_waiting)
        allEntitled += waiting.entitled + waiting.late;
    auto before = Duration();
    auto surplusBefore = Duration();
    for (const auto &[priority, waiting] : backlog.m_waiting) {
        surplusBefore += waiting.surplus;
        const auto entitled = duration_cast<milliseconds>(before + waiting.entitled);
        before += waiting.entitled + waiting.late;
        const auto late = duration_cast<milliseconds>(before);
        const auto surplus = duration_cast<milliseconds>(allEntitled + surplusBefore);
        if (surplus >= MinWait)
            waits.push_back({priority, entitled.count(), late.count(), surplus.count()});
    }
    return waits;
}

auto encodeOutlook(const AdmissionOutlook &outlook) -> std::string
{
    return packRecord(outlook);
}

auto decodeOutlook(std::string_view bytes) -> std::optional<AdmissionOutlook>
{
    return unpackRecord<AdmissionOutlook>(bytes);
}

auto OutlookPublisher::minInterval(std::size_t members) -> std::chrono::milliseconds
{
    const auto wanted = std::chrono::milliseconds(members * 1'000 / MaxReadsPerSecond);
    return std::clamp(wanted, MinInterval, LongestMinInterval);
}

auto OutlookPublisher::step(const AdmissionOutlook &outlook, std::size_t members, BootTime now)
    -> bool
{
    if (outlook.isEmpty() && m_published.isEmpty())
        return false;
    const auto isRepeated = outlook == m_published && now < m_publishedAt + MaxInterval;
    if (isRepeated || !isDue(members, now))
        return false;
    m_published = outlook;
    m_publishedAt = now;
    return true;
}

} // namespace shallotproxy
