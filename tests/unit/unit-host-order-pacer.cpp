#include <gtest/gtest.h>

#include "shallotproxy/job/host_order_pacer.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

struct Outcome
{
    int accepted = 0;
    int refused = 0;
};

/// A wave over many hosts, of which each is ordered as soon as it may be, on a platform that takes
/// some orders a second.
auto orderWave(int hosts, int ordersPerSecond, Duration time) -> Outcome
{
    auto pacer = HostOrderPacer();
    auto result = Outcome();
    auto taken = 0.0;
    const auto start = BootTime(1h);
    for (auto now = start; now < start + time; now += 10ms) {
        taken = std::max(taken - ordersPerSecond / 100.0, 0.0);
        while (result.accepted < hosts && pacer.takeOrder(now)) {
            const auto isAccepted = taken + 1 <= ordersPerSecond;
            taken += isAccepted ? 1 : 0;
            ++(isAccepted ? result.accepted : result.refused);
            pacer.orderAnswered(isAccepted, now);
        }
    }
    return result;
}

TEST(HostOrderPacer, SendsAboutWhatThePlatformTakes)
{
    constexpr auto OrdersPerSecond = 64;
    const auto wave = orderWave(1'500, OrdersPerSecond, 24s);
    EXPECT_GE(wave.accepted, OrdersPerSecond * 24 * 2 / 3);
    EXPECT_LE(wave.refused, wave.accepted / 2);
}

TEST(HostOrderPacer, DoesNotDelayTheWaveOfASmallFleet)
{
    const auto wave = orderWave(30, 64, 10ms);
    EXPECT_EQ(wave.accepted, 30);
    EXPECT_EQ(orderWave(100, 1'000, 500ms).accepted, 100);
}

} // namespace

} // namespace shallotproxy
