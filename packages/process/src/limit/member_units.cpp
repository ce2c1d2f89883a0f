#include "shallotproxy/process/limit/member_units.hpp"

#include <algorithm>

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReadInterval = 1s;
constexpr Duration ReadTimeout = 2s;
constexpr Duration PhaseStep = 37ms; // spreads the members' reads
constexpr std::uint64_t Phases = 8;
constexpr Duration VanishedTime = 2s;
constexpr Duration QuietMargin = 1s;
constexpr Duration RepeatInterval = 200ms;
constexpr Duration AskInterval = 100ms;
constexpr std::size_t PeersPerAsk = 2;
constexpr Duration RoundInterval = 500ms;
constexpr Duration RoundLead = 3s; // attestations are asked for this long before they are needed
constexpr Duration TurnTime = 1s;

auto valueOf(const TeamUnits &units, const TeamName &team) -> std::int64_t
{
    const auto it = units.find(team);
    return it == units.end() ? 0 : it->second;
}

auto phaseOf(const Incarnation &account) -> Duration
{
    return PhaseStep * static_cast<std::int64_t>(account.number % Phases);
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
    if (m_hasNewGift)
        m_giftMark = m_mark;
    m_hasNewGift = false;
    return std::move(m_actions);
}

auto MemberUnits::held(const TeamName &team) const -> std::int64_t
{
    return valueOf(m_held, team);
}

auto MemberUnits::handle(const LimitsDeclared &event) -> void
{
    // What was started under an earlier configuration may still run for its longer time.
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
    m_confirmedMark = std::max(m_confirmedMark, event.generation);
    std::erase_if(m_unconfirmed, [this](const auto &it) { return it.first < m_confirmedMark; });
    if (m_confirmedMark >= m_giftMark)
        giveGifts();
    askForUnits();
}

auto MemberUnits::handle(const LedgerRead &event) -> void
{
    m_nextRead = m_now + ReadInterval + phaseOf(m_account);
    if (event.revision < m_revision)
        return;
    m_ledger = event.ledger;
    m_revision = event.revision;
    const auto own = m_ledger.accounts.find(m_account);
    const auto isLive = own != m_ledger.accounts.end() && !own->second.isEnded;
    if (m_isOpen && !isLive) {
        restart();
    } else {
        resolvePending(event);
    }
    if (m_isOpen && isLive) {
        m_lastContact = std::max(m_lastContact, event.started);
        m_usableUntil = std::max(m_usableUntil, event.started + ContactTime);
    }
    observeEnded();
    planWrite();
}

auto MemberUnits::handle(const LedgerWritten &event) -> void
{
    m_isWriting = false;
    m_nextRead = m_now + (event.hasSucceeded ? Duration(0) : phaseOf(m_account));
    if (!m_pending || !event.hasSucceeded)
        return;
    // A read that came first may have shown a later record already.
    if (m_revision <= m_pending->write.expected) {
        m_revision = m_pending->write.expected + 1;
        m_ledger = m_pending->write.ledger;
    }
    completePending();
}

// No answer and a failed compare are alike: only the record tells whether the write took effect.
// While its revision has not moved the write may still arrive, so the same one is sent again.
auto MemberUnits::resolvePending(const LedgerRead &event) -> void
{
    if (!m_pending || m_isWriting)
        return;
    if (event.revision == m_pending->write.expected) {
        m_isWriting = true;
        m_actions.emplace_back(m_pending->write);
        return;
    }
    const auto own = event.ledger.accounts.find(m_account);
    if (own != event.ledger.accounts.end() && own->second.write >= m_pending->number) {
        completePending();
    } else {
        abandonPending();
    }
}

auto MemberUnits::completePending() -> void
{
    const auto pending = std::move(*m_pending);
    m_pending.reset();
    m_isOpen = true;
    for (const auto &[team, units] : pending.claimed)
        m_held[team] += units;
    for (const auto &it : pending.settled)
        m_partners.erase(it);
}

auto MemberUnits::abandonPending() -> void
{
    for (const auto &[team, units] : m_pending->returned)
        m_held[team] += units;
    m_pending.reset();
}

// Others have ended this account while the process was cut off or paused: what it held is theirs
// to free, and the process goes on under a new account that holds nothing.
auto MemberUnits::restart() -> void
{
    ++m_account.number;
    m_isOpen = false;
    m_usableUntil = {};
    m_held.clear();
    m_partners.clear();
    m_gifts.clear();
    m_reserved.clear();
    m_attestations.clear();
    // A write that is under way still gets its answer, which must not be taken for the next one's.
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
    endVanished(next);
    settle(next, pending);
    freeEnded(next);
    if (!m_isLeaving)
        claim(next, pending);
    giveBack(next, pending);
    auto &account = next.accounts.at(m_account);
    account.attestors = next.liveAccounts();
    if (next == m_ledger)
        return;
    pending.number = ++account.write;
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

auto MemberUnits::endVanished(UnitLedger &next) -> void
{
    auto vanished = std::map<Incarnation, BootTime>();
    for (auto &[holder, account] : next.accounts) {
        if (account.isEnded || holder == m_account || m_processes.contains(account.process))
            continue;
        const auto it = m_vanished.find(holder);
        const auto since = it == m_vanished.end() ? m_now : it->second;
        vanished.emplace(holder, since);
        account.isEnded = m_now - since >= VanishedTime;
    }
    m_vanished = std::move(vanished);
}

// The ended account is charged with all that ever came to it and freed of what it gave, as far as
// this account knows; from now on nothing is taken from it. Once every live account has done so,
// its charge covers what it may still have running and what was lost on the way.
auto MemberUnits::settle(UnitLedger &next, PendingWrite &pending) -> void
{
    for (auto &[holder, account] : next.accounts) {
        if (!account.isEnded || account.settledBy.contains(m_account))
            continue;
        m_closed.insert(holder);
        account.settledBy.insert(m_account);
        pending.settled.insert(holder);
        const auto partner = m_partners.find(holder);
        if (partner == m_partners.end())
            continue;
        auto &own = next.accounts.at(m_account);
        for (const auto &[team, units] : partner->second.received) {
            own.charged[team] += units;
            account.charged[team] -= units;
        }
        for (const auto &[team, units] : partner->second.sent) {
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

auto MemberUnits::quietTime(const Incarnation &ended) const -> Duration
{
    const auto quiet = ContactTime + FrontTime + m_declared.maxRunTime + QuietMargin;
    return m_settledSince.contains(ended) ? quiet : quiet + LongestStoreSilence;
}

// All ended accounts are freed at once: what they had moved among themselves is not known.
auto MemberUnits::freeEnded(UnitLedger &next) -> void
{
    const auto isFree = [this, &next](const auto &it) {
        if (!it.second.isEnded)
            return true;
        const auto settled = m_settledSince.find(it.first);
        const auto ended = m_endedSince.find(it.first);
        if (ended == m_endedSince.end() || !next.isSettled(it.first))
            return false;
        const auto since = settled == m_settledSince.end() ? ended->second : settled->second;
        return m_now - since >= quietTime(it.first);
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
        const auto part = (std::int64_t{limit} + static_cast<std::int64_t>(members) - 1)
            / static_cast<std::int64_t>(members);
        const auto first = m_isOpen ? std::int64_t{0} : part;
        const auto needed = std::max(std::int64_t{0}, wanted - valueOf(m_held, team));
        const auto units = std::min(unclaimed, isMyTurn() ? unclaimed : std::max(first, needed));
        if (units <= 0)
            continue;
        own.charged[team] += units;
        pending.claimed[team] = units;
    }
}

auto MemberUnits::giveBack(UnitLedger &next, PendingWrite &pending) -> void
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

// Free units that nobody asks for are taken by one member after the other.
auto MemberUnits::isMyTurn() const -> bool
{
    const auto live = m_ledger.liveAccounts();
    const auto it = live.find(m_account);
    if (it == live.end())
        return false;
    const auto index = std::distance(live.begin(), it);
    const auto turn = m_now.time_since_epoch() / TurnTime;
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
    const auto gift = Gift{from, message.held, message.wanted};
    const auto units = giftFor(message.team, gift);
    if (units <= 0)
        return;
    auto &gifts = m_gifts[message.team];
    std::erase_if(gifts, [&from](const Gift &it) { return it.to == from; });
    gifts.push_back(gift);
    auto &reserved = m_reserved[message.team];
    reserved = std::min(valueOf(m_held, message.team), reserved + units);
    m_hasNewGift = true;
}

/// How many units make both members' held units fit their wants.
auto MemberUnits::giftFor(const TeamName &team, const Gift &gift) const -> std::int64_t
{
    const auto held = valueOf(m_held, team);
    const auto load = m_loads.find(team);
    const auto wanted = load == m_loads.end() ? 0 : std::int64_t{load->second.wanted};
    const auto theirs = std::int64_t{gift.held};
    const auto theirWanted = std::int64_t{gift.wanted};
    const auto needed = theirWanted - theirs;
    if (needed <= 0 || held <= 0)
        return 0;
    const auto spare = held - wanted;
    const auto even = (held + theirs) * theirWanted / (theirWanted + wanted) - theirs;
    return std::clamp(std::max(spare, even), std::int64_t{0}, std::min(needed, held));
}

auto MemberUnits::giveGifts() -> void
{
    auto moves = std::map<MemberName, TeamUnits>();
    for (const auto &[team, gifts] : m_gifts) {
        auto left = idle(team);
        for (const auto &gift : gifts) {
            const auto units = std::min(left, giftFor(team, gift));
            if (units <= 0)
                continue;
            moves[gift.to][team] = units;
            left -= units;
        }
    }
    m_gifts.clear();
    m_reserved.clear();
    for (const auto &[to, units] : moves)
        transfer(to, units);
}

auto MemberUnits::giveAll() -> void
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
        if (m_partners.contains(it) && m_partners.at(it).outstanding)
            return;
    }
}

auto MemberUnits::transfer(const MemberName &to, const TeamUnits &units) -> void
{
    const auto receiver = accountOf(to);
    if (!receiver || *receiver == m_account || !m_isOpen)
        return;
    auto &partner = m_partners[*receiver];
    if (partner.outstanding)
        return;
    auto message = UnitTransfer{m_account, *receiver, ++partner.lastSent, {}};
    for (const auto &[team, count] : units) {
        m_held[team] -= count;
        partner.sent[team] += count;
        message.units[team] = static_cast<std::uint32_t>(count);
    }
    partner.outstanding = message;
    partner.nextRepeat = m_now + RepeatInterval;
    send(to, std::move(message));
}

auto MemberUnits::repeatTransfers() -> void
{
    for (auto &[account, partner] : m_partners) {
        if (!partner.outstanding || m_now < partner.nextRepeat || m_closed.contains(account))
            continue;
        partner.nextRepeat = m_now + RepeatInterval;
        send(account.member, *partner.outstanding);
    }
}

auto MemberUnits::receive(const UnitTransfer &message) -> void
{
    if (!m_isOpen || message.receiver != m_account || m_closed.contains(message.giver))
        return;
    auto &partner = m_partners[message.giver];
    if (message.transfer == partner.lastReceived + 1) {
        partner.lastReceived = message.transfer;
        for (const auto &[team, units] : message.units) {
            partner.received[team] += units;
            m_held[team] += units;
        }
    }
    if (message.transfer <= partner.lastReceived) {
        send(message.giver.member,
             UnitTransferAck{message.giver, message.receiver, message.transfer});
    }
}

auto MemberUnits::receive(const UnitTransferAck &message) -> void
{
    const auto it = m_partners.find(message.receiver);
    if (message.giver != m_account || it == m_partners.end() || !it->second.outstanding)
        return;
    if (it->second.outstanding->transfer == message.transfer)
        it->second.outstanding.reset();
}

auto MemberUnits::receive(const MemberName &from, const UnitAttestRequest &message) -> void
{
    const auto it = m_ledger.accounts.find(message.account);
    if (!m_isOpen || m_closed.contains(message.account) || it == m_ledger.accounts.end()
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
        // The write may have taken effect, so both sets of attestors have to agree.
        const auto &next = m_pending->write.ledger.accounts.at(m_account);
        if (!attestedBy(next.attestors, m_attestations))
            return;
    }
    const auto until = std::min(m_roundStarted + ContactTime, m_lastContact + LongestStoreSilence);
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
        giveAll();
    askForAttestations();
}

auto MemberUnits::handle(const LeaveStarted & /*event*/) -> void
{
    m_isLeaving = true;
}

auto MemberUnits::askForUnits() -> void
{
    if (!m_isOpen || m_isLeaving || m_now < m_nextAsk)
        return;
    auto peers = std::vector<MemberName>();
    for (const auto &it : m_ledger.liveAccounts()) {
        if (it.member != m_account.member && m_processes.contains(m_ledger.accounts.at(it).process))
            peers.push_back(it.member);
    }
    if (peers.empty())
        return;
    m_nextAsk = m_now + AskInterval;
    auto isAsked = false;
    for (const auto &[team, load] : m_loads) {
        const auto wanted = std::min(std::int64_t{load.wanted}, limitOf(team));
        const auto units = valueOf(m_held, team);
        if (wanted <= units)
            continue;
        isAsked = true;
        const auto request =
            UnitRequest{team, static_cast<std::uint32_t>(std::max(std::int64_t{0}, units)),
                        static_cast<std::uint32_t>(wanted)};
        for (std::size_t i = 0; i < std::min(PeersPerAsk, peers.size()); ++i)
            send(peers[(m_nextPeer + i) % peers.size()], request);
    }
    m_nextPeer += isAsked ? PeersPerAsk : 0;
}

auto MemberUnits::askForAttestations() -> void
{
    if (!m_isOpen || m_now < m_nextRound || m_now + RoundLead < m_usableUntil)
        return;
    const auto own = m_ledger.accounts.find(m_account);
    if (own == m_ledger.accounts.end())
        return;
    m_nextRound = m_now + RoundInterval;
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
        const auto usable = isUsable(m_now) ? ceiling(team) : 0;
        units[team] = static_cast<std::uint32_t>(std::max(std::int64_t{0}, usable));
    }
    if (units == m_published)
        return;
    m_published = units;
    m_unconfirmed[++m_mark] = units;
    m_actions.emplace_back(SetUnits{m_mark, std::move(units)});
}

// While the limit is being lowered every member starts only its part of the new one: the parts sum
// to no more than the new limit, since what all hold sums to no more than `most`.
auto MemberUnits::ceiling(const TeamName &team) const -> std::int64_t
{
    const auto limit = limitOf(team);
    const auto inRecord = m_ledger.limits.find(team);
    const auto recorded = inRecord == m_ledger.limits.end() ? 0 : std::int64_t{inRecord->second};
    const auto most = std::max({limit, recorded, m_ledger.charged(team)});
    auto held = std::max(std::int64_t{0}, valueOf(m_held, team) - valueOf(m_reserved, team));
    const auto load = m_loads.find(team);
    if (m_isLeaving)
        held = std::min(held, load == m_loads.end() ? 0 : std::int64_t{load->second.running});
    return most == 0 ? 0 : held * limit / most;
}

/// Held units that the front surely doesn't use and won't.
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
        if (holder.member == member && !account.isEnded && !m_closed.contains(holder)
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
