#include "shallotproxy/request/task/size_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace shallotproxy {

namespace {

constexpr double MinSampleWeight = 0.2;
constexpr std::uint32_t MinSamples = 1;
constexpr double MinDeviation = 0.05; // Relative to the mean: one run says little about the next.
constexpr double MinRatio = 0.25;
constexpr double MaxRatio = 8;
constexpr double MemoryDeviations = 2; // Memory can't be throttled, so it gets a larger margin.
constexpr double CoreDeviations = 0.5;

/// Returns the declared size times the ratio, with the ratio clamped to its bounds.
auto scaled(double declared, double ratio) -> double
{
    return std::ceil(declared * std::clamp(ratio, MinRatio, MaxRatio));
}

} // namespace

auto SizeEstimator::Ratio::add(double value) -> void
{
    const auto weight = std::max(MinSampleWeight, 1.0 / (samples + 1));
    deviation += weight * (std::abs(value - mean) * (samples == 0 ? 0 : 1) - deviation);
    mean += weight * (value - mean);
    ++samples;
}

auto SizeEstimator::Ratio::effectiveDeviation() const -> double
{
    return std::max(deviation, MinDeviation * mean);
}

auto SizeEstimator::observe(const TaskRecord &record, double peakCores, double peakMemoryBytes)
    -> void
{
    auto &ratios = m_ratios[{record.team, record.kind}];
    if (record.declared.cores > 0)
        ratios.cores.add(peakCores / record.declared.cores);
    if (record.declared.memoryBytes > 0)
        ratios.memory.add(peakMemoryBytes / static_cast<double>(record.declared.memoryBytes));
}

auto SizeEstimator::estimate(const TaskRecord &record, const TaskDemand &maxCapacity) const
    -> TaskDemand
{
    auto demand = record.declared;
    const auto it = m_ratios.find({record.team, record.kind});
    if (it != m_ratios.end()) {
        const auto &[cores, memory] = it->second;
        if (cores.samples >= MinSamples) {
            const auto ratio = cores.mean + CoreDeviations * cores.effectiveDeviation();
            demand.cores = static_cast<std::uint32_t>(scaled(demand.cores, ratio));
        }
        if (memory.samples >= MinSamples) {
            const auto ratio = memory.mean + MemoryDeviations * memory.effectiveDeviation();
            const auto declared = static_cast<double>(demand.memoryBytes);
            demand.memoryBytes = static_cast<std::uint64_t>(scaled(declared, ratio));
        }
    }
    demand.cores = std::min(std::max(demand.cores, std::uint32_t{1}), maxCapacity.cores);
    demand.memoryBytes = std::min(demand.memoryBytes, maxCapacity.memoryBytes);
    return demand;
}

} // namespace shallotproxy
