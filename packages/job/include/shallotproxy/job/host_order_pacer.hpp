#pragma once

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Decides how many orders about hosts are sent, by how many the platform accepts.
///
/// Load pattern: a wave of upkeep over 1,500 hosts on a platform that takes 64 orders a second. The
/// steward spent all of its processor time on orders that were refused, and renewed no leases.
class HostOrderPacer
{
public:
    /// Rates in orders a second: at first, which few fleets reach, and the bounds.
    static constexpr double FirstRate = 200;
    static constexpr double MinRate = 10;
    static constexpr double MaxRate = 400;
    /// Most orders at once.
    static constexpr double MaxBurst = 32;

    /// Whether an order may be sent now; the caller does so.
    auto takeOrder(BootTime now) -> bool;
    auto orderAnswered(bool isAccepted, BootTime now) -> void;

private:
    double m_rate = FirstRate;
    double m_orders = MaxBurst; // that may be sent at `m_countedAt`
    BootTime m_countedAt;
    BootTime m_loweredAt;
};

} // namespace shallotproxy
