#pragma once

#include <map>
#include <string>
#include <utility>

#include "worker_run.hpp"

namespace shallotproxy {

/// Corrects declared sizes by the usage that tasks of the same team and kind have reported.
class SizeEstimator
{
public:
    /// Adds the highest usage that one run has reported.
    auto observe(const TaskRecord &record, double peakCores, double peakMemoryBytes) -> void;
    /// Returns the size to reserve for a task. It is the declared size until a run of its kind was
    /// observed. Cores and memory never exceed `maxCapacity`, so that the estimate of an accepted
    /// task doesn't outgrow the workers.
    [[nodiscard]] auto estimate(const TaskRecord &record, const TaskDemand &maxCapacity) const
        -> TaskDemand;

private:
    /// Running mean and mean deviation of the ratio of used to declared size.
    struct Ratio
    {
        double mean = 1;
        double deviation = 0;
        std::uint32_t samples = 0;

        auto add(double value) -> void;
        [[nodiscard]] auto effectiveDeviation() const -> double;
    };

    struct Ratios
    {
        Ratio cores;
        Ratio memory;
    };

    std::map<std::pair<TeamName, std::string>, Ratios> m_ratios;
};

} // namespace shallotproxy
