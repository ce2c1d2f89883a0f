#include "shallotproxy/process/limit/member_units.hpp"

#include <algorithm>

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReadInterval = 1s;
constexpr Duration ReadTimeout = 2s;
constexpr Duration ReadPhaseStep = 37ms; // Spreads the members' reads over time.
constexpr std::uint64_t ReadPhases = 8;
constexpr Duration UnregisteredGracePeriod = 2s;
constexpr Duration ReleaseMargin = 1s;
constexpr Duration TransferRepeatInterval = 200ms;
constexpr Duration RequestInterval = 100ms;
constexpr std::size_t PeersPerRequest = 2;
constexpr Duration AttestationInterval = 500ms;
/// Attestations are requested this long before the current proof of the account expires.
constexpr Duration AttestationLead = 3s;
constexpr Duration ClaimTurnDuration = 1s;

auto valueOf(const TeamUnits &units, const TeamName &team) -> std::int64_t
{
    const auto it = units.find(team);
    return it == units.end() ? 0 : it->second;
}

auto readPhaseOf(const Incarnation &account) -> Duration
{
    return ReadPhaseStep * static_cast<std::int64_t>(account.number % ReadPhases);
}

auto attestedBy(const std::set<Incarnation> &attestors, const std::set<Incarnation> &answers)
    -> bool
{
    const auto count = std::ranges::count_if(
        attestors, [&answers](const Incarnation &it) { return answers.contains(it); });
    return !attestors.empty()
        && static_cast<std::size_t>(count) >= attestationQuorum(attestors.size());
}

} // namespace

MemberUnits::MemberUnits(Incarnation process)
    : m_process(std::move(process))
    , m_account(m_process)
{ }

auto MemberUnits::step(const LimitEvent &event, BootTime now) -> std::vector<LimitAction>
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &it) { handle(it); }, event);
    publishUnits();
    if (m_hasNewGrant)
        m_grantGeneration = m_generation;
    m_hasNewGrant = false;
    return std::move(m_actions);
}

auto MemberUnits::held(const TeamName &team) const -> std::int64_t
{
    return valueOf(m_held, team);
}

auto MemberUnits::handle(const LimitsDeclared &event) -> void
{
    // Requests that were started under an earlier configuration may still run for its longer time.
    const auto maxRunTime = std::max(m_declared.maxRunTime, event.maxRunTime);
    if (event.version >= m_declared.version)
        m_declared = event;
    m_declared.maxRunTime = maxRunTime;
    m_nextRead = m_now;
}

auto MemberUnits::handle(const MembersListed &event) -> void
{
    m_processes = event.processes;
}

auto MemberUnits::handle(const UnitLoads &event) -> void
{
    m_loads = event.teams;
    m_confirmedGeneration = std::max(m_confirmedGeneration, event.generation);
    std::erase_if(m_unconfirmed,
                  [this](const auto &it) { return it.first < m_confirmedGeneration; });
    if (m_confirmedGeneration >= m_grantGeneration)
        transferGrants();
    requestUnits();
}

auto MemberUnits::handle(const LedgerRead &event) -> void
{
    m_nextRead = m_now + ReadInterval + readPhaseOf(m_account);
    if (event.revision < m_revision)
        return;
    m_ledger = event.ledger;
    m_revision = event.revision;
    const auto own = m_ledger.accounts.find(m_account);
    const auto isLive = own != m_ledger.accounts.end() && !own->second.isEnded;
    if (m_isOpen && !isLive) {
        abandonAccount();
    } else {
        resolvePendingWrite(event);
    }
    if (m_isOpen && isLive) {
        m_lastContact = std::max(m_lastContact, event.startedAt);
        m_usableUntil = std::max(m_usableUntil, event.startedAt + ContactValidity);
    }
    observeEnded();
    planWrite();
}

auto MemberUnits::handle(const LedgerWritten &event) -> void
{
    m_isWriting = false;
    m_nextRead = m_now + (event.hasSucceeded ? Duration(0) : readPhaseOf(m_account));
    if (!m_pending || !event.hasSucceeded)
        return;
    // A read that was answered earlier may already have returned a later record.
    if (m_revision <= m_pending->write.expected) {
        m_revision = m_pending->write.expected + 1;
        m_ledger = m_pending->write.ledger;
    }
    completePendingWrite();
}

// A lost answer and a failed compare are handled alike: only the record shows whether the write
// took effect. While the revision of the record is unchanged, the write may still arrive, so the
// same write is sent again.
auto MemberUnits::resolvePendingWrite(const LedgerRead &event) -> void
{
    if (!m_pending || m_isWriting)
        return;
    if (event.revision == m_pending->write.expected) {
        m_isWriting = true;
        m_actions.emplace_back(m_pending->write);
        return;
    }
    const auto own = event.ledger.accounts.find(m_account);
    if (own != event.ledger.accounts.end() && own->second.lastWrite >= m_pending->number) {
        completePendingWrite();
    } else {
        abandonPendingWrite();
    }
}

auto MemberUnits::completePendingWrite() -> void
{
    const auto pending = std::move(*m_pending);
    m_pending.reset();
    m_isOpen = true;
    for (const auto &[team, units] : pending.claimed)
        m_held[team] += units;
    for (const auto &it : pending.settled)
        m_peerAccounts.erase(it);
}

auto MemberUnits::abandonPendingWrite() -> void
{
    for (const auto &[team, units] : m_pending->returned)
        m_held[team] += units;
    m_pending.reset();
}

// Other members have ended this account while the process was disconnected or paused. They release
// the units that it held; the process continues under a new account that holds no units.
auto MemberUnits::abandonAccount() -> void
{
    ++m_account.number;
    m_isOpen = false;
    m_usableUntil = {};
    m_held.clear();
    m_peerAccounts.clear();
    m_grants.clear();
    m_reserved.clear();
    m_attestations.clear();
    // A write in flight is still answered, and that answer must not count for the next write.
    m_pending.reset();
}

auto MemberUnits::planWrite() -> void
{
    if (m_pending || m_isWriting || m_declared.version == 0)
        return;
    const auto own = m_ledger.accounts.find(m_account);
    const auto isLive = own != m_ledger.accounts.end() && !own->second.isEnded;
    if (m_isOpen ? !isLive : m_isLeaving || !m_processes.contains(m_process))
        return;
    auto next = m_ledger;
    auto pending = PendingWrite();
    if (!m_isOpen)
        openAccount(next);
    declareLimits(next);
    endUnregistered(next);
    settle(next, pending);
    removeEnded(next);
    if (!m_isLeaving)
        claim(next, pending);
    returnSurplus(next, pending);
    auto &account = next.accounts.at(m_account);
    account.attestors = next.liveAccounts();
    if (next == m_ledger)
        return;
    pending.number = ++account.lastWrite;
    pending.write = {std::move(next), m_revision};
    m_pending = std::move(pending);
    m_isWriting = true;
    m_actions.emplace_back(m_pending->write);
}

auto MemberUnits::openAccount(UnitLedger &next) const -> void
{
    next.accounts[m_account].process = m_process;
}

auto MemberUnits::declareLimits(UnitLedger &next) const -> void
{
    if (next.version >= m_declared.version)
        return;
    next.version = m_declared.version;
    next.limits = m_declared.limits;
}

auto MemberUnits::endUnregistered(UnitLedger &next) -> void
{
    auto unregisteredSince = std::map<Incarnation, BootTime>();
    for (auto &[holder, account] : next.accounts) {
        if (account.isEnded || holder == m_account || m_processes.contains(account.process))
            continue;
        const auto it = m_unregisteredSince.find(holder);
        const auto since = it == m_unregisteredSince.end() ? m_now : it->second;
        unregisteredSince.emplace(holder, since);
        account.isEnded = m_now - since >= UnregisteredGracePeriod;
    }
    m_unregisteredSince = std::move(unregisteredSince);
}

// Charges the ended account with all units that this account sent to it and discharges it of those
// that this account received from it; from now on, transfers from it are refused. Once every live
// account has settled, the charge of the ended one covers the requests that it may still have
// running and the transfers that were lost.
auto MemberUnits::settle(UnitLedger &next, PendingWrite &pending) -> void
{
    for (auto &[holder, account] : next.accounts) {
        if (!account.isEnded || account.settledBy.contains(m_account))
            continue;
        m_closedAccounts.insert(holder);
        account.settledBy.insert(m_account);
        pending.settled.insert(holder);
        const auto peerAccount = m_peerAccounts.find(holder);
        if (peerAccount == m_peerAccounts.end())
            continue;
        auto &own = next.accounts.at(m_account);
        for (const auto &[team, units] : peerAccount->second.received) {
            own.charged[team] += units;
            account.charged[team] -= units;
        }
        for (const auto &[team, units] : peerAccount->second.sent) {
            own.charged[team] -= units;
            account.charged[team] += units;
        }
    }
}

auto MemberUnits::observeEnded() -> void
{
    auto settled = std::map<Incarnation, BootTime>();
    auto ended = std::map<Incarnation, BootTime>();
    for (const auto &[holder, account] : m_ledger.accounts) {
        if (!account.isEnded)
            continue;
        const auto since = m_endedSince.find(holder);
        ended.emplace(holder, since == m_endedSince.end() ? m_now : since->second);
        if (!m_ledger.isSettled(holder) || m_ledger.mayBeAttested(holder))
            continue;
        const auto it = m_settledSince.find(holder);
        settled.emplace(holder, it == m_settledSince.end() ? m_now : it->second);
    }
    m_settledSince = std::move(settled);
    m_endedSince = std::move(ended);
}

auto MemberUnits::releaseDelay(const Incarnation &ended) const -> Duration
{
    const auto delay =
        ContactValidity + FrontUpdateValidity + m_declared.maxRunTime + ReleaseMargin;
    return m_settledSince.contains(ended) ? delay : delay + MaxStoreOutage;
}

// All ended accounts are removed at once, because the transfers among them are unknown.
auto MemberUnits::removeEnded(UnitLedger &next) -> void
{
    const auto isFree = [this, &next](const auto &it) {
        if (!it.second.isEnded)
            return true;
        const auto settled = m_settledSince.find(it.first);
        const auto ended = m_endedSince.find(it.first);
        if (ended == m_endedSince.end() || !next.isSettled(it.first))
            return false;
        const auto since = settled == m_settledSince.end() ? ended->second : settled->second;
        return m_now - since >= releaseDelay(it.first);
    };
    if (!std::ranges::all_of(next.accounts, isFree))
        return;
    std::erase_if(next.accounts, [](const auto &it) { return it.second.isEnded; });
}

auto MemberUnits::claim(UnitLedger &next, PendingWrite &pending) const -> void
{
    const auto members = std::max(std::size_t{1}, m_processes.size());
    auto &own = next.accounts.at(m_account);
    for (const auto &[team, limit] : next.limits) {
        const auto unclaimed = next.unclaimed(team);
        const auto load = m_loads.find(team);
        const auto wanted = load == m_loads.end() ? 0 : std::int64_t{load->second.wanted};
        const auto evenPart = (std::int64_t{limit} + static_cast<std::int64_t>(members) - 1)
            / static_cast<std::int64_t>(members);
        const auto initial = m_isOpen ? std::int64_t{0} : evenPart;
        const auto needed = std::max(std::int64_t{0}, wanted - valueOf(m_held, team));
        const auto units =
            std::min(unclaimed, isClaimTurn() ? unclaimed : std::max(initial, needed));
        if (units <= 0)
            continue;
        own.charged[team] += units;
        pending.claimed[team] = units;
    }
}

auto MemberUnits::returnSurplus(UnitLedger &next, PendingWrite &pending) -> void
{
    auto &own = next.accounts.at(m_account);
    for (auto &[team, units] : m_held) {
        const auto limit = next.limits.find(team);
        const auto allowed = limit == next.limits.end() ? 0 : std::int64_t{limit->second};
        const auto surplus = std::min(next.charged(team) - allowed, idle(team));
        if (surplus <= 0)
            continue;
        units -= surplus;
        own.charged[team] -= surplus;
        pending.returned[team] = surplus;
    }
}

// The members take turns to claim unclaimed units that no member requests.
auto MemberUnits::isClaimTurn() const -> bool
{
    const auto live = m_ledger.liveAccounts();
    const auto it = live.find(m_account);
    if (it == live.end())
        return false;
    const auto index = std::distance(live.begin(), it);
    const auto turn = m_now.time_since_epoch() / ClaimTurnDuration;
    return turn % static_cast<std::int64_t>(live.size()) == index;
}

auto MemberUnits::handle(const UnitMessage &event) -> void
{
    if (const auto *request = std::get_if<UnitRequest>(&event.message))
        receive(event.from, *request);
    if (const auto *moved = std::get_if<UnitTransfer>(&event.message))
        receive(*moved);
    if (const auto *ack = std::get_if<UnitTransferAck>(&event.message))
        receive(*ack);
    if (const auto *request = std::get_if<UnitAttestRequest>(&event.message))
        receive(event.from, *request);
    if (const auto *attestation = std::get_if<UnitAttestation>(&event.message))
        receive(*attestation);
}

auto MemberUnits::receive(const MemberName &from, const UnitRequest &message) -> void
{
    if (!m_isOpen)
        return;
    const auto grant = Grant{from, message.held, message.wanted};
    const auto units = unitsToGrant(message.team, grant);
    if (units <= 0)
        return;
    auto &grants = m_grants[message.team];
    std::erase_if(grants, [&from](const Grant &it) { return it.to == from; });
    grants.push_back(grant);
    auto &reserved = m_reserved[message.team];
    reserved = std::min(valueOf(m_held, message.team), reserved + units);
    m_hasNewGrant = true;
}

/// Returns how many units to transfer so that the held units of both members match their demands.
auto MemberUnits::unitsToGrant(const TeamName &team, const Grant &grant) const -> std::int64_t
{
    const auto held = valueOf(m_held, team);
    const auto load = m_loads.find(team);
    const auto wanted = load == m_loads.end() ? 0 : std::int64_t{load->second.wanted};
    const auto theirHeld = std::int64_t{grant.held};
    const auto theirWanted = std::int64_t{grant.wanted};
    const auto needed = theirWanted - theirHeld;
    if (needed <= 0 || held <= 0)
        return 0;
    const auto spare = held - wanted;
    const auto evenSplit = (held + theirHeld) * theirWanted / (theirWanted + wanted) - theirHeld;
    return std::clamp(std::max(spare, evenSplit), std::int64_t{0}, std::min(needed, held));
}

auto MemberUnits::transferGrants() -> void
{
    auto moves = std::map<MemberName, TeamUnits>();
    for (const auto &[team, grants] : m_grants) {
        auto remaining = idle(team);
        for (const auto &grant : grants) {
            const auto units = std::min(remaining, unitsToGrant(team, grant));
            if (units <= 0)
                continue;
            moves[grant.to][team] = units;
            remaining -= units;
        }
    }
    m_grants.clear();
    m_reserved.clear();
    for (const auto &[to, units] : moves)
        transfer(to, units);
}

auto MemberUnits::transferAllIdle() -> void
{
    auto units = TeamUnits();
    for (const auto &[team, held] : m_held) {
        if (idle(team) > 0)
            units[team] = idle(team);
    }
    if (units.empty())
        return;
    for (const auto &it : m_ledger.liveAccounts()) {
        if (it.member != m_account.member && accountOf(it.member))
            transfer(it.member, units);
        if (m_peerAccounts.contains(it) && m_peerAccounts.at(it).outstanding)
            return;
    }
}

auto MemberUnits::transfer(const MemberName &to, const TeamUnits &units) -> void
{
    const auto receiver = accountOf(to);
    if (!receiver || *receiver == m_account || !m_isOpen)
        return;
    auto &peerAccount = m_peerAccounts[*receiver];
    if (peerAccount.outstanding)
        return;
    auto message = UnitTransfer{m_account, *receiver, ++peerAccount.lastSent, {}};
    for (const auto &[team, count] : units) {
        m_held[team] -= count;
        peerAccount.sent[team] += count;
        message.units[team] = static_cast<std::uint32_t>(count);
    }
    peerAccount.outstanding = message;
    peerAccount.nextRepeat = m_now + TransferRepeatInterval;
    send(to, std::move(message));
}

auto MemberUnits::repeatTransfers() -> void
{
    for (auto &[account, peerAccount] : m_peerAccounts) {
        if (!peerAccount.outstanding || m_now < peerAccount.nextRepeat
            || m_closedAccounts.contains(account))
            continue;
        peerAccount.nextRepeat = m_now + TransferRepeatInterval;
        send(account.member, *peerAccount.outstanding);
    }
}

auto MemberUnits::receive(const UnitTransfer &message) -> void
{
    if (!m_isOpen || message.receiver != m_account || m_closedAccounts.contains(message.sender))
        return;
    auto &peerAccount = m_peerAccounts[message.sender];
    if (message.transfer == peerAccount.lastReceived + 1) {
        peerAccount.lastReceived = message.transfer;
        for (const auto &[team, units] : message.units) {
            peerAccount.received[team] += units;
            m_held[team] += units;
        }
    }
    if (message.transfer <= peerAccount.lastReceived) {
        send(message.sender.member,
             UnitTransferAck{message.sender, message.receiver, message.transfer});
    }
}

auto MemberUnits::receive(const UnitTransferAck &message) -> void
{
    const auto it = m_peerAccounts.find(message.receiver);
    if (message.sender != m_account || it == m_peerAccounts.end() || !it->second.outstanding)
        return;
    if (it->second.outstanding->transfer == message.transfer)
        it->second.outstanding.reset();
}

auto MemberUnits::receive(const MemberName &from, const UnitAttestRequest &message) -> void
{
    const auto it = m_ledger.accounts.find(message.account);
    if (!m_isOpen || m_closedAccounts.contains(message.account) || it == m_ledger.accounts.end()
        || it->second.isEnded) {
        return;
    }
    send(from, UnitAttestation{message.account, m_account, message.round});
}

auto MemberUnits::receive(const UnitAttestation &message) -> void
{
    if (!m_isOpen || message.account != m_account || message.round != m_round)
        return;
    m_attestations.insert(message.attestor);
    const auto own = m_ledger.accounts.find(m_account);
    if (own == m_ledger.accounts.end() || !attestedBy(own->second.attestors, m_attestations))
        return;
    if (m_pending) {
        // The write may have taken effect, so a quorum of both sets of attestors is needed.
        const auto &next = m_pending->write.ledger.accounts.at(m_account);
        if (!attestedBy(next.attestors, m_attestations))
            return;
    }
    const auto until = std::min(m_roundStarted + ContactValidity, m_lastContact + MaxStoreOutage);
    m_usableUntil = std::max(m_usableUntil, until);
}

auto MemberUnits::handle(const LimitTick & /*event*/) -> void
{
    if (m_now >= m_nextRead) {
        m_nextRead = m_now + ReadTimeout;
        m_actions.emplace_back(ReadLedger());
    }
    repeatTransfers();
    if (m_isLeaving)
        transferAllIdle();
    requestAttestations();
}

auto MemberUnits::handle(const LeaveStarted & /*event*/) -> void
{
    m_isLeaving = true;
}

auto MemberUnits::requestUnits() -> void
{
    if (!m_isOpen || m_isLeaving || m_now < m_nextRequest)
        return;
    auto peers = std::vector<MemberName>();
    for (const auto &it : m_ledger.liveAccounts()) {
        if (it.member != m_account.member && m_processes.contains(m_ledger.accounts.at(it).process))
            peers.push_back(it.member);
    }
    if (peers.empty())
        return;
    m_nextRequest = m_now + RequestInterval;
    auto hasRequested = false;
    for (const auto &[team, load] : m_loads) {
        const auto wanted = std::min(std::int64_t{load.wanted}, limitOf(team));
        const auto units = valueOf(m_held, team);
        if (wanted <= units)
            continue;
        hasRequested = true;
        const auto request =
            UnitRequest{team, static_cast<std::uint32_t>(std::max(std::int64_t{0}, units)),
                        static_cast<std::uint32_t>(wanted)};
        for (std::size_t i = 0; i < std::min(PeersPerRequest, peers.size()); ++i)
            send(peers[(m_nextPeer + i) % peers.size()], request);
    }
    m_nextPeer += hasRequested ? PeersPerRequest : 0;
}

auto MemberUnits::requestAttestations() -> void
{
    if (!m_isOpen || m_now < m_nextRound || m_now + AttestationLead < m_usableUntil)
        return;
    const auto own = m_ledger.accounts.find(m_account);
    if (own == m_ledger.accounts.end())
        return;
    m_nextRound = m_now + AttestationInterval;
    m_roundStarted = m_now;
    m_attestations = {m_account};
    ++m_round;
    for (const auto &it : own->second.attestors) {
        if (it != m_account)
            send(it.member, UnitAttestRequest{m_account, m_round});
    }
}

auto MemberUnits::publishUnits() -> void
{
    auto units = std::map<TeamName, std::uint32_t>();
    for (const auto &[team, limit] : m_declared.limits)
        units[team] = 0;
    for (const auto &[team, held] : m_held) {
        const auto usable = isUsable(m_now) ? usableUnits(team) : 0;
        units[team] = static_cast<std::uint32_t>(std::max(std::int64_t{0}, usable));
    }
    if (units == m_published)
        return;
    m_published = units;
    m_unconfirmed[++m_generation] = units;
    m_actions.emplace_back(SetUnits{m_generation, std::move(units)});
}

// While a limit is being lowered, every member uses only its proportional part of the new limit.
// The parts sum to no more than the new limit, because the held units of all members sum to no more
// than `maxTotal`.
auto MemberUnits::usableUnits(const TeamName &team) const -> std::int64_t
{
    const auto limit = limitOf(team);
    const auto inRecord = m_ledger.limits.find(team);
    const auto recorded = inRecord == m_ledger.limits.end() ? 0 : std::int64_t{inRecord->second};
    const auto maxTotal = std::max({limit, recorded, m_ledger.charged(team)});
    auto held = std::max(std::int64_t{0}, valueOf(m_held, team) - valueOf(m_reserved, team));
    const auto load = m_loads.find(team);
    if (m_isLeaving)
        held = std::min(held, load == m_loads.end() ? 0 : std::int64_t{load->second.running});
    return maxTotal == 0 ? 0 : held * limit / maxTotal;
}

/// Returns the held units that the front does not use and cannot start to use.
auto MemberUnits::idle(const TeamName &team) const -> std::int64_t
{
    const auto load = m_loads.find(team);
    auto used = load == m_loads.end() ? std::int64_t{0} : std::int64_t{load->second.running};
    for (const auto &[generation, units] : m_unconfirmed) {
        const auto it = units.find(team);
        if (it != units.end())
            used = std::max(used, std::int64_t{it->second});
    }
    return std::max(std::int64_t{0}, valueOf(m_held, team) - used);
}

auto MemberUnits::limitOf(const TeamName &team) const -> std::int64_t
{
    const auto it = m_declared.limits.find(team);
    return it == m_declared.limits.end() ? 0 : std::int64_t{it->second};
}

auto MemberUnits::accountOf(const MemberName &member) const -> std::optional<Incarnation>
{
    for (const auto &[holder, account] : m_ledger.accounts) {
        if (holder.member == member && !account.isEnded && !m_closedAccounts.contains(holder)
            && m_processes.contains(account.process)) {
            return holder;
        }
    }
    return std::nullopt;
}

auto MemberUnits::send(const MemberName &to, PeerMessage message) -> void
{
    m_actions.emplace_back(SendUnitMessage{to, std::move(message)});
}

} // namespace shallotproxy
