#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace shallotproxy {

/// The weight of one team and its demand in a pool.
struct WeightedDemand
{
    double weight = 1;
    double demand = 0; // Slots.
};

/// Returns the weighted max-min fair parts of `capacity`: no team gets more than its demand, and
/// capacity that a team does not need is divided among the others by weight.
auto weightedMaxMin(double capacity, std::span<const WeightedDemand> demands)
    -> std::vector<double>;

/// Returns parts that sum to `capacity`, or to the sum of the demands if that is less. Each part is
/// its target plus a common level times its weight, clamped between 0 and its demand.
auto levelToCapacity(double capacity, std::span<const WeightedDemand> demands,
                     std::span<const double> targets) -> std::vector<double>;

/// Rounds `parts` to whole numbers whose sum is the sum of `parts`, rounded down. The rounding
/// error of each part is carried in `carry` to the next call, so that the mean over many calls is
/// exact.
auto roundWithCarry(std::span<const double> parts, std::span<double> carry)
    -> std::vector<std::uint32_t>;

} // namespace shallotproxy
