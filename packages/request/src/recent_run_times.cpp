#include <algorithm>

#include "shallotproxy/request/dispatch/recent_run_times.hpp"

namespace shallotproxy {

auto RecentRunTimes::add(const QueueName &queue, const TeamName &team, Duration time) -> void
{
    auto &times = m_times[{queue, team}];
    times.push_back(time);
    if (times.size() > SampleCount)
        times.pop_front();
}

auto RecentRunTimes::longest(const QueueName &queue, const TeamName &team) const -> Duration
{
    const auto it = m_times.find({queue, team});
    if (it == m_times.end() || it->second.size() < SampleCount)
        return Duration::zero();
    return *std::ranges::max_element(it->second);
}

} // namespace shallotproxy
