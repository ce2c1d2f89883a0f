#include <algorithm>

#include "shallotproxy/job/host_order_pacer.hpp"

namespace shallotproxy {

namespace {

constexpr double RateGain = 0.5; // for each accepted order
constexpr double RateLoss = 0.7; // for the refusals of one interval
// Refusals that arrive together tell no more than one of them.
constexpr std::chrono::milliseconds LossInterval{100};

} // namespace

auto HostOrderPacer::takeOrder(BootTime now) -> bool
{
    const auto elapsed = std::chrono::duration<double>(now - m_countedAt).count();
    m_orders = std::min(m_orders + elapsed * m_rate, MaxBurst);
    m_countedAt = now;
    if (m_orders < 1)
        return false;
    m_orders -= 1;
    return true;
}

auto HostOrderPacer::orderAnswered(bool isAccepted, BootTime now) -> void
{
    if (isAccepted) {
        m_rate = std::min(m_rate + RateGain, MaxRate);
    } else if (now >= m_loweredAt + LossInterval) {
        m_loweredAt = now;
        m_rate = std::max(m_rate * RateLoss, MinRate);
        m_orders = std::min(m_orders, 1.0);
    }
}

} // namespace shallotproxy
