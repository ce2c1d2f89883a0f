#include <algorithm>
#include <chrono>
#include <utility>

#include "shallotproxy/request/claim/claim_table.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxBatch = 100; // claims; the service takes 128 operations a transaction
constexpr std::size_t MaxWaiting = 5'000; // claims
constexpr std::size_t MaxWaitersPerClaim = 16;
constexpr std::size_t MaxNeverRan = 20'000;
constexpr std::size_t MaxKeptClaims = 20'000;
constexpr std::size_t MaxKeptBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t EntryBytes = 256; // about what an entry takes besides its response
constexpr Duration StoreWait = 2500ms; // longest wait for the service
constexpr Duration OwnerWait = 10s; // longest wait for the first request's answer
constexpr Duration LostDelay = 250ms; // before the next call after one without an answer
constexpr Duration HeardWait = 1s; // longest wait for any word of the owner
constexpr Duration IntervalPerMember = 10ms; // so that all members together make 100 calls a second

auto bytesOf(const HttpResponse &response) -> std::size_t
{
    auto n = response.body.size();
    for (const auto &it : response.headers)
        n += it.name.size() + it.value.size();
    return n;
}

auto toResponse(const ClaimAnswer &answer) -> HttpResponse
{
    auto response = HttpResponse{answer.status, {}, answer.body};
    if (!answer.contentType.empty())
        response.headers.push_back({"Content-Type", answer.contentType});
    return response;
}

auto toAnswer(std::uint64_t query, const std::optional<HttpResponse> &response) -> ClaimAnswer
{
    auto answer = ClaimAnswer();
    answer.query = query;
    answer.isKnown = response.has_value();
    if (response) {
        answer.status = response->status;
        answer.contentType = std::string(response->header("Content-Type"));
        answer.body = response->body;
    }
    return answer;
}

} // namespace

auto ClaimDecision::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Granted:
        return "granted";
    case Kind::Unavailable:
        return "unavailable";
    case Kind::KeyReused:
        return "key-reused";
    case Kind::AlreadyStarted:
        return "already-started";
    case Kind::Replay:
        break;
    }
    return "replay";
}

auto ClaimTable::step(const ClaimEvent &event, BootTime now) -> std::vector<ClaimAction>
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &it) { handle(it); }, event);
    pump();
    return std::move(m_actions);
}

auto ClaimTable::nextCall() const -> std::optional<BootTime>
{
    const auto isWanted =
        m_call == Call::None && (!m_waiting.empty() || !m_releases.empty() || !m_batch.empty());
    return isWanted ? std::optional(m_nextCall) : std::nullopt;
}

auto ClaimTable::handle(const ClaimRequested &event) -> void
{
    const auto it = m_entries.find(event.name);
    if (it != m_entries.end()) {
        joinEntry(it->second, event);
        return;
    }
    if (m_waiting.size() >= MaxWaiting) {
        giveVerdict(event.number, ClaimDecision::Kind::Unavailable);
        return;
    }
    auto entry = Entry();
    entry.number = event.number;
    entry.fingerprint = event.fingerprint;
    entry.deadline = std::min(event.deadline, m_now + StoreWait);
    entry.repeatDeadline = std::min(event.deadline, m_now + OwnerWait);
    m_entries.emplace(event.name, std::move(entry));
    m_waiting.push_back(event.name);
}

/// A repeat that came to the member where the first request is.
auto ClaimTable::joinEntry(Entry &entry, const ClaimRequested &event) -> void
{
    if (entry.isAbandoned) {
        // Whether the service has the old claim is being found out; nothing has run.
        giveVerdict(event.number, ClaimDecision::Kind::Unavailable);
    } else if (entry.fingerprint != event.fingerprint) {
        giveVerdict(event.number, ClaimDecision::Kind::KeyReused);
    } else if (entry.response) {
        giveVerdict(event.number, ClaimDecision::Kind::Replay, *entry.response);
    } else if (entry.state == State::Finished || entry.waiters.size() >= MaxWaitersPerClaim) {
        giveVerdict(event.number, ClaimDecision::Kind::AlreadyStarted);
    } else {
        entry.waiters.push_back({event.number, std::min(event.deadline, m_now + OwnerWait)});
    }
}

auto ClaimTable::handle(const ClaimedRequestEnded &event) -> void
{
    const auto node = m_granted.extract(event.number);
    if (node.empty())
        return;
    const auto name = node.mapped();
    const auto it = m_entries.find(name);
    auto &entry = it->second;
    if (event.end == RequestOutcome::NotRun) {
        for (const auto &waiter : entry.waiters)
            giveVerdict(waiter.number, ClaimDecision::Kind::Unavailable);
        answerPeers(entry);
        const auto revision = entry.revision;
        m_entries.erase(it);
        release(name, event.number, revision);
        return;
    }
    entry.state = State::Finished;
    if (event.end == RequestOutcome::Answered)
        entry.response = event.response;
    for (const auto &waiter : std::exchange(entry.waiters, {})) {
        if (entry.response) {
            giveVerdict(waiter.number, ClaimDecision::Kind::Replay, *entry.response);
        } else {
            giveVerdict(waiter.number, ClaimDecision::Kind::AlreadyStarted);
        }
    }
    answerPeers(entry);
    keep(name, entry);
}

auto ClaimTable::handle(const ClaimsAnswered &event) -> void
{
    if (m_call != Call::Write && m_call != Call::Read)
        return;
    m_call = Call::None;
    const auto batch = std::exchange(m_batch, {});
    if (event.isWritten) {
        for (const auto &name : batch)
            grant(name, m_entries.at(name), event.revision);
        return;
    }
    for (std::size_t i = 0; i < batch.size(); ++i)
        resolve(batch[i], i < event.found.size() ? event.found[i] : std::nullopt);
}

/// Whether the write took effect is not known: pump() reads the batch back.
auto ClaimTable::handle(const ClaimsUnanswered & /*event*/) -> void
{
    m_call = Call::None;
    m_nextCall = std::max(m_nextCall, m_now + LostDelay);
}

auto ClaimTable::handle(const ClaimsDeleted &event) -> void
{
    if (m_call != Call::Delete)
        return;
    m_call = Call::None;
    const auto deleting = std::exchange(m_deleting, {});
    // A refused batch is dropped: its claims have gone already, or end with their lease.
    if (event.isLost) {
        for (const auto &it : deleting)
            m_releases.emplace(it.name, it.revision);
    }
}

auto ClaimTable::handle(const ClaimQueried &event) -> void
{
    const auto it = m_entries.find({event.query.team, event.query.key});
    const auto isRunning = it != m_entries.end() && it->second.state == State::Granted
        && it->second.peerWaiters.size() < MaxWaitersPerClaim;
    if (isRunning) {
        auto pending = ClaimAnswer();
        pending.query = event.query.query;
        pending.isPending = true;
        m_actions.emplace_back(AnswerClaimQuery{event.from, pending});
        it->second.peerWaiters.push_back({event.from, event.query.query});
        return;
    }
    const auto response = it == m_entries.end() ? std::nullopt : it->second.response;
    m_actions.emplace_back(AnswerClaimQuery{event.from, toAnswer(event.query.query, response)});
}

auto ClaimTable::handle(const ClaimQueryAnswered &event) -> void
{
    const auto it = m_queries.find(event.answer.query);
    if (it == m_queries.end())
        return;
    if (event.answer.isPending) {
        it->second.heardBy = it->second.deadline;
        return;
    }
    const auto node = m_queries.extract(it);
    if (event.answer.isKnown) {
        giveVerdict(node.mapped().number, ClaimDecision::Kind::Replay, toResponse(event.answer));
    } else {
        giveVerdict(node.mapped().number, ClaimDecision::Kind::AlreadyStarted);
    }
}

auto ClaimTable::handle(const ClaimMembersChanged &event) -> void
{
    m_members = event.members;
}

auto ClaimTable::handle(const ClaimTick & /*event*/) -> void
{
    expireAsks();
    expireWaiters();
}

auto ClaimTable::giveVerdict(RequestNumber number, ClaimDecision::Kind kind, HttpResponse response)
    -> void
{
    m_actions.emplace_back(ClaimDecision{number, kind, std::move(response)});
}

auto ClaimTable::grant(const ClaimName &name, Entry &entry, StoreRevision revision) -> void
{
    if (entry.isAbandoned) {
        const auto number = entry.number;
        m_entries.erase(name);
        release(name, number, revision);
        return;
    }
    entry.state = State::Granted;
    entry.revision = revision;
    m_granted.emplace(entry.number, name);
    giveVerdict(entry.number, ClaimDecision::Kind::Granted);
}

/// What stands in the service for one claim of the batch decides about it.
auto ClaimTable::resolve(const ClaimName &name, const std::optional<StoredClaim> &found) -> void
{
    const auto it = m_entries.find(name);
    auto &entry = it->second;
    if (!found) {
        if (entry.isAbandoned) {
            m_entries.erase(it);
            return;
        }
        entry.state = State::Waiting;
        m_waiting.push_front(name);
        return;
    }
    const auto isOurs = found->record.owner == m_self;
    if (isOurs && found->record.number == entry.number) {
        grant(name, entry, found->revision);
        return;
    }
    if (isOurs && m_neverRan.contains(found->record.number)) {
        release(name, found->record.number, found->revision);
        entry.state = State::Waiting;
        m_waiting.push_front(name);
        return;
    }
    refuseRepeat(it, found->record);
}

/// The claim is another request's.
auto ClaimTable::refuseRepeat(Entries::iterator it, const ClaimRecord &record) -> void
{
    const auto name = it->first;
    const auto entry = std::move(it->second);
    m_entries.erase(it);
    auto repeats = entry.waiters;
    if (!entry.isAbandoned)
        repeats.push_back({entry.number, entry.repeatDeadline});
    for (const auto &repeat : repeats) {
        if (record.fingerprint != entry.fingerprint) {
            giveVerdict(repeat.number, ClaimDecision::Kind::KeyReused);
        } else {
            askOwner(repeat.number, repeat.deadline, name, record);
        }
    }
}

auto ClaimTable::askOwner(RequestNumber number, BootTime deadline, const ClaimName &name,
                          const ClaimRecord &record) -> void
{
    const auto &owner = record.owner.member;
    // Without a team nobody can tell two callers apart, so nobody gets the other's answer.
    if (name.team.isEmpty() || owner == m_self.member || !m_members.contains(owner)) {
        giveVerdict(number, ClaimDecision::Kind::AlreadyStarted);
        return;
    }
    m_queries.emplace(number, Query{number, deadline, std::min(deadline, m_now + HeardWait)});
    m_actions.emplace_back(QueryClaimOwner{owner, {name.team, name.key, number}});
}

auto ClaimTable::release(const ClaimName &name, RequestNumber number, StoreRevision revision)
    -> void
{
    rememberNeverRan(number);
    const auto isUnderWay = std::ranges::any_of(
        m_deleting, [&](const auto &it) { return it.name == name && it.revision == revision; });
    if (!isUnderWay)
        m_releases.insert_or_assign(name, revision);
}

/// If a claim of such a request is met later, its delete was lost and is done again.
auto ClaimTable::rememberNeverRan(RequestNumber number) -> void
{
    if (!m_neverRan.insert(number).second)
        return;
    m_neverRanOrder.push_back(number);
    if (m_neverRanOrder.size() > MaxNeverRan) {
        m_neverRan.erase(m_neverRanOrder.front());
        m_neverRanOrder.pop_front();
    }
}

auto ClaimTable::answerPeers(Entry &entry) -> void
{
    for (const auto &it : std::exchange(entry.peerWaiters, {}))
        m_actions.emplace_back(AnswerClaimQuery{it.member, toAnswer(it.query, entry.response)});
}

auto ClaimTable::keep(const ClaimName &name, Entry &entry) -> void
{
    // Without a team an answer is never given to a second caller.
    if (name.team.isEmpty())
        entry.response.reset();
    m_heldBytes += EntryBytes + (entry.response ? bytesOf(*entry.response) : 0);
    m_kept.emplace_back(name, entry.number);
    evict();
}

/// Forgets the oldest; the service still has their claims.
auto ClaimTable::evict() -> void
{
    while (m_kept.size() > MaxKeptClaims || m_heldBytes > MaxKeptBytes) {
        const auto [name, number] = m_kept.front();
        m_kept.pop_front();
        const auto it = m_entries.find(name);
        m_heldBytes -= EntryBytes + (it->second.response ? bytesOf(*it->second.response) : 0);
        m_entries.erase(it);
    }
}

/// The service was silent for too long: the request is told "not run", which is true because it
/// was never granted. A claim that was written nevertheless is released once that is known.
auto ClaimTable::expireAsks() -> void
{
    const auto abandon = [this](const ClaimName &name) {
        auto &entry = m_entries.at(name);
        if (entry.isAbandoned || m_now < entry.deadline)
            return;
        entry.isAbandoned = true;
        rememberNeverRan(entry.number);
        giveVerdict(entry.number, ClaimDecision::Kind::Unavailable);
        for (const auto &waiter : std::exchange(entry.waiters, {}))
            giveVerdict(waiter.number, ClaimDecision::Kind::Unavailable);
    };
    std::ranges::for_each(m_batch, abandon);
    std::ranges::for_each(m_waiting, abandon);
    // Those that wait have no write under way, so there is nothing to find out about them.
    std::erase_if(m_waiting, [this](const ClaimName &name) {
        const auto it = m_entries.find(name);
        if (!it->second.isAbandoned)
            return false;
        m_entries.erase(it);
        return true;
    });
}

auto ClaimTable::expireWaiters() -> void
{
    std::erase_if(m_queries, [this](const auto &it) {
        const auto isLate = m_now >= it.second.heardBy;
        if (isLate)
            giveVerdict(it.second.number, ClaimDecision::Kind::AlreadyStarted);
        return isLate;
    });
    for (const auto &[number, name] : m_granted) {
        std::erase_if(m_entries.at(name).waiters, [this](const Waiter &it) {
            const auto isLate = m_now >= it.deadline;
            if (isLate)
                giveVerdict(it.number, ClaimDecision::Kind::AlreadyStarted);
            return isLate;
        });
    }
}

auto ClaimTable::pump() -> void
{
    if (m_call != Call::None || m_now < m_nextCall)
        return;
    if (!m_batch.empty()) {
        m_call = Call::Read;
        m_actions.emplace_back(ReadClaims{m_batch});
    } else if (!m_releases.empty() && (m_waiting.empty() || !m_isWriteNext)) {
        erase();
    } else if (!m_waiting.empty()) {
        write();
    } else {
        return;
    }
    m_nextCall = m_now + interval();
}

auto ClaimTable::write() -> void
{
    m_call = Call::Write;
    m_isWriteNext = false;
    auto call = WriteClaims();
    while (!m_waiting.empty() && m_batch.size() < MaxBatch) {
        auto name = std::move(m_waiting.front());
        m_waiting.pop_front();
        auto &entry = m_entries.at(name);
        entry.state = State::InFlight;
        call.claims.push_back({name, {m_self, entry.number, entry.fingerprint}});
        m_batch.push_back(std::move(name));
    }
    m_actions.emplace_back(std::move(call));
}

auto ClaimTable::erase() -> void
{
    m_call = Call::Delete;
    m_isWriteNext = true;
    while (!m_releases.empty() && m_deleting.size() < MaxBatch) {
        const auto it = m_releases.begin();
        m_deleting.push_back({it->first, it->second});
        m_releases.erase(it);
    }
    m_actions.emplace_back(DeleteClaims{m_deleting});
}

auto ClaimTable::interval() const -> Duration
{
    return IntervalPerMember * std::max<std::size_t>(1, m_members.size());
}

} // namespace shallotproxy
