#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "../base/names.hpp"

namespace shallotproxy {

/// Units per team. Signed, because the charge of a single account may be negative; the sum over all
/// accounts of a ledger never is.
using TeamUnits = std::map<TeamName, std::int64_t>;

/// The account of one holder of units. A process whose account was ended opens a new one.
struct UnitAccount
{
    Incarnation process;
    std::uint64_t lastWrite = 0; // Number of the holder's newest write of the ledger.
    bool isEnded = false; // The holder is dead, or must not use its units any more.
    TeamUnits charged;
    std::set<Incarnation> attestors; // While the store is down, a majority proves the account live.
    std::set<Incarnation> settledBy; // Accounts that refuse transfers from this ended one.

    auto operator==(const UnitAccount &other) const -> bool = default;
    MSGPACK_DEFINE(process, lastWrite, isEnded, charged, attestors, settledBy)
};

/// Records which account is charged with how many units of the teams' upper limits. It is one
/// record in the platform's key-value service, changed by compare-and-swap only. Transfers between
/// members do not change it.
struct UnitLedger
{
    ConfigurationVersion version = 0; // Version of the configuration that declares `limits`.
    std::map<TeamName, std::uint32_t> limits;
    std::map<Incarnation, UnitAccount> accounts;

    /// Returns the units of a team that are charged to all accounts, including ended ones.
    [[nodiscard]] auto charged(const TeamName &team) const -> std::int64_t;
    /// Returns the units of a team that are charged to no account.
    [[nodiscard]] auto unclaimed(const TeamName &team) const -> std::int64_t;
    [[nodiscard]] auto liveAccounts() const -> std::set<Incarnation>;
    /// Returns whether every live account has settled with the ended one.
    [[nodiscard]] auto isSettled(const Incarnation &ended) const -> bool;
    /// Returns whether a majority of an account's attestors may still attest it.
    [[nodiscard]] auto mayBeAttested(const Incarnation &account) const -> bool;

    auto operator==(const UnitLedger &other) const -> bool = default;
    MSGPACK_DEFINE(version, limits, accounts)
};

/// Returns how many attestors, the account itself included, have to attest an account in place of
/// the store.
auto attestationQuorum(std::size_t attestors) -> std::size_t;

} // namespace shallotproxy
