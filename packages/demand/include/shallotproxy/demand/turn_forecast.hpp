#pragma once

#include <map>
#include <optional>
#include <vector>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// A turn of high demand that a pool will probably have.
struct ExpectedTurn
{
    BootTime begin;
    /// The mean number of hosts that its work occupies.
    double hosts = 0;
};

/// Foresees the turns of pools whose peaks follow each other in a fixed order and spacing.
///
/// Load pattern: several queues request a multiple of their mean for some seconds, one after the
/// other, and next to nothing in between. Nothing is foreseen before the order was seen to repeat
/// or each pool has had a turn, and before two spacings agreed. A turn that comes at
/// another time or for another pool, or doesn't come, ends the forecast until the order was seen
/// anew.
class TurnForecast
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Demand is a turn from this multiple of the pool's mean.
    static constexpr double TurnFactor = 2;
    /// Turns that occupy fewer hosts aren't worth a move.
    static constexpr double MinTurnHosts = 2;
    /// A shorter rise is a burst; a shorter fall is a gap between two jobs.
    static constexpr Milliseconds MinTurnTime{1'000};
    static constexpr Milliseconds MinGap{500};
    /// A host that leaves and returns costs two moves, as much as 2.4 s in a pool, and takes 1.5 s
    /// to return.
    static constexpr Milliseconds MinRest{4'000};
    /// Two spacings agree up to this difference, and a turn is as expected up to it.
    static constexpr Milliseconds Tolerance{1'000};
    /// The mean covers about this time.
    static constexpr Milliseconds MeanTime{60'000};

    /// Observes the hosts that the work which arrives at present occupies, and all the work
    /// accepted so far, in host seconds.
    auto observe(const PoolName &pool, double arrivingHosts, double acceptedWork, BootTime now)
        -> void;
    /// Returns the next turn of the pool, which may be due already; no value while none is
    /// foreseen.
    [[nodiscard]] auto nextTurn(const PoolName &pool) const -> std::optional<ExpectedTurn>;
    [[nodiscard]] auto isInTurn(const PoolName &pool) const -> bool;
    /// Whether the pool's turn is over and its next one is probably further away than MinRest: at
    /// least two pools take turns, and the pool's last one didn't follow sooner.
    [[nodiscard]] auto isAtRest(const PoolName &pool) const -> bool;
    /// Returns the mean number of hosts that the work of the present turn occupies; no value
    /// outside a turn, and while it is too short for a mean.
    [[nodiscard]] auto hostsOfTurn(const PoolName &pool) const -> std::optional<double>;

private:
    struct Turn
    {
        PoolName pool;
        BootTime begin;
    };

    /// What was observed of a pool.
    struct Observed
    {
        BootTime at;
        double acceptedWork = 0;
        /// Sums that fade within the mean time.
        double recentWork = 0;
        double recentSeconds = 0;
        /// Of the last turn, or the one that goes on.
        double hosts = 0;
        std::optional<BootTime> turnBegin;
        std::optional<BootTime> lowSince;
        double workAtBegin = 0;
        bool isTurnCounted = false;
        /// Of the last turn that was counted.
        std::optional<BootTime> turnEnd;
        bool returnsSoon = false;
    };

    auto addTurn(const Turn &turn) -> void;
    [[nodiscard]] auto poolsWithTurns() const -> std::size_t;
    [[nodiscard]] auto isOrderKnown() const -> bool;
    [[nodiscard]] auto spacing() const -> Duration;
    auto forgetMissedTurn(BootTime now) -> void;

    std::map<PoolName, Observed> m_pools;
    /// In the order in which they began, with equal spacings, each pool in the same place of the
    /// order.
    std::vector<Turn> m_turns;
};

} // namespace shallotproxy
