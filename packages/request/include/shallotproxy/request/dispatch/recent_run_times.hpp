#pragma once

#include <deque>
#include <map>
#include <utility>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// Estimates how long requests of a queue and team run, from those that were answered last. This
/// matters under overload, when the wait in a queue grows up to its deadline: a request that is
/// started too late to be answered takes up a slot, and its caller gets no answer.
class RecentRunTimes
{
public:
    /// Number of newest runs that are kept. A change in run times shows after this many runs.
    static constexpr std::size_t SampleCount = 8;

    /// Records a run that was answered after `time`.
    auto add(const QueueName &queue, const TeamName &team, Duration time) -> void;
    /// Returns the longest of the newest run times, or zero until SampleCount runs are recorded.
    [[nodiscard]] auto longest(const QueueName &queue, const TeamName &team) const -> Duration;

private:
    std::map<std::pair<QueueName, TeamName>, std::deque<Duration>> m_times;
};

} // namespace shallotproxy
