#pragma once

#include <span>

#include <QObject>
#include <QTimer>

#include "shallotproxy/member/runtime_context.hpp"

namespace shallotproxy {

class StewardDuty;

/// Reads the list of hosts, and sends the orders that the pool sizer and the upkeep planner decide.
class HostDuty : public QObject
{
public:
    HostDuty(RuntimeContext &context, StewardDuty &steward);

    auto start() -> void;
    auto declarationsChanged() -> void;
    /// Returns the capacity of the hosts that are on their way to each pool.
    [[nodiscard]] auto arrivingCapacity() const -> std::map<PoolName, Resources>;

private:
    auto step() -> void;
    auto readList() -> void;
    auto applyHostList(std::vector<HostReport> hosts, BootTime sentAt) -> void;
    auto reportEndedWorkers(BootTime listSentAt) -> void;
    [[nodiscard]] auto viewOfHost(const HostReport &report) const -> HostView;
    [[nodiscard]] auto views() const -> std::vector<HostView>;
    auto plan() -> void;
    auto planUpkeep(const std::vector<HostView> &hosts) -> void;
    auto planMoves(const std::vector<HostView> &hosts) -> void;
    auto reclaimHosts(std::span<const HostView> hosts, const std::map<PoolName, PoolLoad> &loads,
                      const std::set<HostName> &blocked) -> void;
    struct UpkeepOrder;
    auto startUpkeep(const UpkeepOrder &order) -> void;
    auto upkeepAnswered(const UpkeepOrder &order, HostOutcome outcome) -> void;
    auto orderAnswered(HostOutcome outcome) -> void;
    auto repeatUpkeep(const UpkeepOrder &order) -> void;
    auto endUnansweredOrders(BootTime now) -> void;
    [[nodiscard]] auto hostsUnderOrder() const -> std::set<HostName>;
    auto move(const HostMove &move) -> void;
    auto setDraining(const HostName &host, bool isDraining) -> void;
    auto writeStatus(std::uint64_t wave, bool isCompleted) -> void;
    auto loadWave(const UpkeepWave &wave) -> void;
    auto withdrawWave(std::uint64_t number) -> void;
    [[nodiscard]] auto isIdleNow(const HostName &host) const -> bool;
    [[nodiscard]] auto mayOrder(BootTime now) const -> bool;

    RuntimeContext &m_context;
    StewardDuty &m_steward;
    UpkeepPlanner m_upkeep;
    PoolSizer m_sizer;
    HostReclaim m_reclaim;
    QTimer m_timer;
    std::vector<HostReport> m_hosts;
    ListedWorkers m_listedWorkers;
    /// The last list showed workers as gone that have given signs of life since it was requested.
    bool m_hasUnconfirmedEnds = false;
    BootTime m_listedAt;
    BootTime m_startedAt;
    BootTime m_nextListAt;
    bool m_isListing = false;
    std::set<std::uint64_t> m_waves; // known to the planner, or being read from the store
    HostOrderPacer m_pacer;
    std::set<HostName> m_pendingOrders; // hosts with an order that waits for its reply
    /// Hosts with an order that got no reply and isn't repeated; other orders for a host wait until
    /// the given time.
    std::map<HostName, BootTime> m_unansweredOrders;
};

} // namespace shallotproxy
