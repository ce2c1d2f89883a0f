#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "../base/names.hpp"

namespace shallotproxy {

/// Units per team. Signed: a share of the ledger's sum may be negative, the sum never is.
using TeamUnits = std::map<TeamName, std::int64_t>;

/// One holder of units in the ledger. A process whose account was ended opens a new one.
struct UnitAccount
{
    Incarnation process;
    std::uint64_t write = 0; // number of the holder's newest write
    bool isEnded = false; // the holder starts nothing more, or must stop
    TeamUnits charged;
    std::set<Incarnation> attestors; // a majority of them may stand in for a silent store
    std::set<Incarnation> settledBy; // accounts that take nothing more from an ended one

    auto operator==(const UnitAccount &other) const -> bool = default;
    MSGPACK_DEFINE(process, write, isEnded, charged, attestors, settledBy)
};

/// Who is charged with which units of the teams' upper limits: one record of the platform's
/// service, changed by compare-and-swap only. Transfers between members do not touch it.
struct UnitLedger
{
    ConfigurationVersion version = 0; // that `limits` are from
    std::map<TeamName, std::uint32_t> limits;
    std::map<Incarnation, UnitAccount> accounts;

    /// Units of a team charged to all accounts, ended ones too.
    [[nodiscard]] auto charged(const TeamName &team) const -> std::int64_t;
    /// Units of a team charged to nobody.
    [[nodiscard]] auto unclaimed(const TeamName &team) const -> std::int64_t;
    [[nodiscard]] auto liveAccounts() const -> std::set<Incarnation>;
    /// Whether every live account has settled with the ended one.
    [[nodiscard]] auto isSettled(const Incarnation &ended) const -> bool;
    /// Whether a majority of an account's attestors could still stand in for the store.
    [[nodiscard]] auto mayBeAttested(const Incarnation &account) const -> bool;

    auto operator==(const UnitLedger &other) const -> bool = default;
    MSGPACK_DEFINE(version, limits, accounts)
};

/// Least number of attestors, the account itself included, that stand in for the store.
auto attestationQuorum(std::size_t attestors) -> std::size_t;

} // namespace shallotproxy
