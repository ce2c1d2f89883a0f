#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace shallotproxy {

/// What one team asks of a pool.
struct WeightedDemand
{
    double weight = 1;
    double demand = 0; // slots
};

/// Weighted max-min fair parts of `capacity`: nobody gets more than its demand, and what one does
/// not need goes to the others by weight.
auto weightedMaxMin(double capacity, std::span<const WeightedDemand> demands)
    -> std::vector<double>;

/// Parts that sum to `capacity` (or to all demands, if that is less), each as near to its target
/// as weights allow: target plus a common level times weight, between 0 and its demand.
auto levelToCapacity(double capacity, std::span<const WeightedDemand> demands,
                     std::span<const double> targets) -> std::vector<double>;

/// Whole numbers for `parts` with the same sum, rounded down. What rounding takes from a part or
/// adds to it is carried in `carry` to the next call, so that the mean over calls is exact.
auto roundWithCarry(std::span<const double> parts, std::span<double> carry)
    -> std::vector<std::uint32_t>;

} // namespace shallotproxy
