#include "shallotproxy/process/share/fair_allocation.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace shallotproxy {

namespace {

constexpr auto BisectionSteps = 60;

auto demandOf(std::span<const WeightedDemand> demands) -> double
{
    return std::accumulate(demands.begin(), demands.end(), 0.0,
                           [](double sum, const auto &it) { return sum + it.demand; });
}

auto partsAt(double level, std::span<const WeightedDemand> demands, std::span<const double> targets)
    -> std::vector<double>
{
    auto parts = std::vector<double>();
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const auto part = targets[i] + level * demands[i].weight;
        parts.push_back(std::clamp(part, 0.0, demands[i].demand));
    }
    return parts;
}

} // namespace

auto weightedMaxMin(double capacity, std::span<const WeightedDemand> demands) -> std::vector<double>
{
    const auto targets = std::vector<double>(demands.size(), 0.0);
    return levelToCapacity(capacity, demands, targets);
}

auto levelToCapacity(double capacity, std::span<const WeightedDemand> demands,
                     std::span<const double> targets) -> std::vector<double>
{
    const auto wanted = std::min(std::max(0.0, capacity), demandOf(demands));
    // At the level `bound` every part is its whole demand, at `-bound` every part is 0.
    auto bound = 1.0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const auto reach = demands[i].demand + std::abs(targets[i]);
        bound = std::max(bound, reach / demands[i].weight);
    }
    auto low = -bound;
    auto high = bound;
    for (auto i = 0; i < BisectionSteps; ++i) {
        const auto middle = (low + high) / 2;
        const auto parts = partsAt(middle, demands, targets);
        (std::accumulate(parts.begin(), parts.end(), 0.0) < wanted ? low : high) = middle;
    }
    return partsAt(high, demands, targets);
}

auto roundWithCarry(std::span<const double> parts, std::span<double> carry)
    -> std::vector<std::uint32_t>
{
    constexpr auto Tolerance = 1e-6;
    auto whole = std::vector<std::uint32_t>(parts.size(), 0);
    auto order = std::vector<std::size_t>(parts.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto sum = std::accumulate(parts.begin(), parts.end(), 0.0);
    auto left = static_cast<std::int64_t>(std::floor(sum + Tolerance));
    for (std::size_t i = 0; i < parts.size(); ++i) {
        carry[i] = parts[i] > 0 ? carry[i] + parts[i] : 0;
        const auto down = std::max(0.0, std::floor(carry[i] + Tolerance));
        const auto taken = std::min(left, static_cast<std::int64_t>(down));
        whole[i] = static_cast<std::uint32_t>(taken);
        left -= taken;
        carry[i] -= static_cast<double>(taken);
    }
    std::ranges::stable_sort(order, std::ranges::greater(),
                             [&carry](std::size_t i) { return carry[i]; });
    for (const auto i : order) {
        if (left == 0 || parts[i] <= 0)
            break;
        ++whole[i];
        carry[i] -= 1;
        --left;
    }
    // Demand that cannot be met now must not accumulate for later calls.
    for (auto &it : carry)
        it = std::clamp(it, -1.0, 1.0);
    return whole;
}

} // namespace shallotproxy
