#pragma once

#include <deque>
#include <map>
#include <utility>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// How long requests of a queue and team take, from those that were answered last. Answers the load
/// of a queue whose wait grows up to its deadline: what is started too late to be answered takes a
/// slot, and its caller learns nothing.
class RunTimes
{
public:
    static constexpr std::size_t Kept = 8; // newest runs; a change of the work shows after as many

    /// A run was answered after `time`.
    auto add(const QueueName &queue, const TeamName &team, Duration time) -> void;
    /// What a run of that kind may need: the longest of the newest; zero until as many are known.
    [[nodiscard]] auto longest(const QueueName &queue, const TeamName &team) const -> Duration;

private:
    std::map<std::pair<QueueName, TeamName>, std::deque<Duration>> m_times;
};

} // namespace shallotproxy
