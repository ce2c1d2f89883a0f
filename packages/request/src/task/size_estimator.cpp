#include "shallotproxy/request/task/size_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace shallotproxy {

namespace {

constexpr double SampleWeight = 0.2;
constexpr std::uint32_t EnoughSamples = 1;
constexpr double LeastDeviation = 0.05; // of the mean: one run says little about the next
constexpr double LowestRatio = 0.25;
constexpr double HighestRatio = 8;
constexpr double MemoryDeviations = 2; // memory can't be throttled, so it gets more room
constexpr double CoreDeviations = 0.5;

auto scaled(double declared, double ratio) -> double
{
    return std::ceil(declared * std::clamp(ratio, LowestRatio, HighestRatio));
}

} // namespace

auto SizeEstimator::Ratio::add(double value) -> void
{
    const auto weight = std::max(SampleWeight, 1.0 / (samples + 1));
    deviation += weight * (std::abs(value - mean) * (samples == 0 ? 0 : 1) - deviation);
    mean += weight * (value - mean);
    ++samples;
}

auto SizeEstimator::Ratio::likelyDeviation() const -> double
{
    return std::max(deviation, LeastDeviation * mean);
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

auto SizeEstimator::estimate(const TaskRecord &record, const TaskDemand &largest) const
    -> TaskDemand
{
    auto demand = record.declared;
    const auto it = m_ratios.find({record.team, record.kind});
    if (it != m_ratios.end()) {
        const auto &[cores, memory] = it->second;
        if (cores.samples >= EnoughSamples) {
            const auto ratio = cores.mean + CoreDeviations * cores.likelyDeviation();
            demand.cores = static_cast<std::uint32_t>(scaled(demand.cores, ratio));
        }
        if (memory.samples >= EnoughSamples) {
            const auto ratio = memory.mean + MemoryDeviations * memory.likelyDeviation();
            const auto declared = static_cast<double>(demand.memoryBytes);
            demand.memoryBytes = static_cast<std::uint64_t>(scaled(declared, ratio));
        }
    }
    demand.cores = std::min(std::max(demand.cores, std::uint32_t{1}), largest.cores);
    demand.memoryBytes = std::min(demand.memoryBytes, largest.memoryBytes);
    return demand;
}

} // namespace shallotproxy
