#include "shallotproxy/process/share/usage.hpp"

#include <algorithm>

namespace shallotproxy {

auto TeamUsage::add(Duration runTime) -> void
{
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(runTime);
    slotMicroseconds += static_cast<std::uint64_t>(std::max(std::int64_t{0}, time.count()));
    ++requests;
}

auto TeamUsage::operator+=(const TeamUsage &other) -> TeamUsage &
{
    slotMicroseconds += other.slotMicroseconds;
    requests += other.requests;
    tasks += other.tasks;
    return *this;
}

// The counts of an incarnation only rise, so for each team the greater count is the newer one.
auto UsageSum::add(const UsageRecord &record) -> void
{
    auto &newest = m_records[record.source];
    for (const auto &[team, usage] : record.teams) {
        auto &it = newest[team];
        it.slotMicroseconds = std::max(it.slotMicroseconds, usage.slotMicroseconds);
        it.requests = std::max(it.requests, usage.requests);
        it.tasks = std::max(it.tasks, usage.tasks);
    }
}

auto UsageSum::total() const -> TeamUsages
{
    auto sum = TeamUsages();
    for (const auto &[source, teams] : m_records) {
        for (const auto &[team, usage] : teams)
            sum[team] += usage;
    }
    return sum;
}

} // namespace shallotproxy
