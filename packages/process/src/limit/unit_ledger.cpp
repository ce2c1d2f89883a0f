#include "shallotproxy/process/limit/unit_ledger.hpp"

#include <algorithm>

namespace shallotproxy {

auto UnitLedger::charged(const TeamName &team) const -> std::int64_t
{
    auto sum = std::int64_t{0};
    for (const auto &[holder, account] : accounts) {
        const auto it = account.charged.find(team);
        sum += it == account.charged.end() ? 0 : it->second;
    }
    return sum;
}

auto UnitLedger::unclaimed(const TeamName &team) const -> std::int64_t
{
    const auto it = limits.find(team);
    const auto limit = it == limits.end() ? std::int64_t{0} : std::int64_t{it->second};
    return std::max(std::int64_t{0}, limit - charged(team));
}

auto UnitLedger::liveAccounts() const -> std::set<Incarnation>
{
    auto live = std::set<Incarnation>();
    for (const auto &[holder, account] : accounts) {
        if (!account.isEnded)
            live.insert(holder);
    }
    return live;
}

auto UnitLedger::isSettled(const Incarnation &ended) const -> bool
{
    const auto &settledBy = accounts.at(ended).settledBy;
    return std::ranges::all_of(accounts, [&settledBy](const auto &it) {
        return it.second.isEnded || settledBy.contains(it.first);
    });
}

auto UnitLedger::mayBeAttested(const Incarnation &account) const -> bool
{
    const auto &ended = accounts.at(account);
    const auto possible = std::ranges::count_if(ended.attestors, [&](const Incarnation &it) {
        return accounts.contains(it) && !ended.settledBy.contains(it);
    });
    return static_cast<std::size_t>(possible) >= attestationQuorum(ended.attestors.size());
}

auto attestationQuorum(std::size_t attestors) -> std::size_t
{
    return attestors / 2 + 1;
}

} // namespace shallotproxy
