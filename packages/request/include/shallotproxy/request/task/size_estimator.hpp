#pragma once

#include <map>
#include <string>
#include <utility>

#include "worker_run.hpp"

namespace shallotproxy {

/// Corrects declared sizes by what tasks of the same team and kind were seen to use.
class SizeEstimator
{
public:
    /// Takes the highest usage that one run has reported.
    auto observe(const TaskRecord &record, double peakCores, double peakMemoryBytes) -> void;
    /// Size to reserve for a task: the declared one until a run was seen, never more than
    /// `largest`, so that a task that was let in always fits some worker.
    [[nodiscard]] auto estimate(const TaskRecord &record, const TaskDemand &largest) const
        -> TaskDemand;

private:
    /// Running mean and mean deviation of used over declared.
    struct Ratio
    {
        double mean = 1;
        double deviation = 0;
        std::uint32_t samples = 0;

        auto add(double value) -> void;
        [[nodiscard]] auto likelyDeviation() const -> double;
    };

    struct Ratios
    {
        Ratio cores;
        Ratio memory;
    };

    std::map<std::pair<TeamName, std::string>, Ratios> m_ratios;
};

} // namespace shallotproxy
