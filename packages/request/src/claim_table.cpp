#include <algorithm>
#include <chrono>
#include <utility>

#include "shallotproxy/request/claim/claim_table.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxBatchClaims = 100; // The store accepts 128 operations per transaction.
constexpr std::size_t MaxWaitingClaims = 5'000;
constexpr std::size_t MaxWaitersPerClaim = 16;
constexpr std::size_t MaxNotRunRequests = 20'000;
constexpr std::size_t MaxRetainedClaims = 20'000;
constexpr std::size_t MaxRetainedBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t EntryOverheadBytes = 256; // About what an entry takes besides its response.
constexpr Duration StoreTimeout = 2500ms;
constexpr Duration RepeatTimeout = 10s; // How long a repeat waits for the first request's answer.
constexpr Duration UnansweredCallDelay = 250ms; // Pause after a call that got no answer.
constexpr Duration AcknowledgementTimeout = 1s; // How long the owner may take to react at all.
constexpr Duration CallIntervalPerMember = 10ms; // All members together make 100 calls per second.

/// Returns the size of the response's body and headers.
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
    startNextCall();
    return std::move(m_actions);
}

auto ClaimTable::nextCall() const -> std::optional<BootTime>
{
    const auto isWanted = m_call == Call::None
        && (!m_waiting.empty() || !m_pendingDeletes.empty() || !m_batch.empty());
    return isWanted ? std::optional(m_nextCall) : std::nullopt;
}

auto ClaimTable::handle(const ClaimRequested &event) -> void
{
    const auto it = m_entries.find(event.name);
    if (it != m_entries.end()) {
        handleRepeat(it->second, event);
        return;
    }
    if (m_waiting.size() >= MaxWaitingClaims) {
        reportDecision(event.number, ClaimDecision::Kind::Unavailable);
        return;
    }
    auto entry = Entry();
    entry.number = event.number;
    entry.fingerprint = event.fingerprint;
    entry.storeDeadline = std::min(event.deadline, m_now + StoreTimeout);
    entry.repeatDeadline = std::min(event.deadline, m_now + RepeatTimeout);
    m_entries.emplace(event.name, std::move(entry));
    m_waiting.push_back(event.name);
}

/// Handles a repeat that has reached the member that handles the first request.
auto ClaimTable::handleRepeat(Entry &entry, const ClaimRequested &event) -> void
{
    if (entry.isAbandoned) {
        // The first request has been refused, but its claim may be stored; nothing has run.
        reportDecision(event.number, ClaimDecision::Kind::Unavailable);
    } else if (entry.fingerprint != event.fingerprint) {
        reportDecision(event.number, ClaimDecision::Kind::KeyReused);
    } else if (entry.response) {
        reportDecision(event.number, ClaimDecision::Kind::Replay, *entry.response);
    } else if (entry.state == State::Finished || entry.waiters.size() >= MaxWaitersPerClaim) {
        reportDecision(event.number, ClaimDecision::Kind::AlreadyStarted);
    } else {
        entry.waiters.push_back({event.number, std::min(event.deadline, m_now + RepeatTimeout)});
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
    if (event.outcome == RequestOutcome::NotRun) {
        for (const auto &waiter : entry.waiters)
            reportDecision(waiter.number, ClaimDecision::Kind::Unavailable);
        answerPeers(entry);
        const auto revision = entry.revision;
        m_entries.erase(it);
        release(name, event.number, revision);
        return;
    }
    entry.state = State::Finished;
    if (event.outcome == RequestOutcome::Answered)
        entry.response = event.response;
    for (const auto &waiter : std::exchange(entry.waiters, {})) {
        if (entry.response) {
            reportDecision(waiter.number, ClaimDecision::Kind::Replay, *entry.response);
        } else {
            reportDecision(waiter.number, ClaimDecision::Kind::AlreadyStarted);
        }
    }
    answerPeers(entry);
    retain(name, entry);
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

/// The outcome of an unanswered write is unknown, so startNextCall() reads the batch back.
auto ClaimTable::handle(const ClaimsUnanswered & /*event*/) -> void
{
    m_call = Call::None;
    m_nextCall = std::max(m_nextCall, m_now + UnansweredCallDelay);
}

auto ClaimTable::handle(const ClaimsDeleted &event) -> void
{
    if (m_call != Call::Delete)
        return;
    m_call = Call::None;
    const auto deletes = std::exchange(m_deletesInFlight, {});
    // A batch that was refused is dropped: its claims are already deleted or expire with their
    // lease. A batch that got no answer is sent again.
    if (event.isUnanswered) {
        for (const auto &it : deletes)
            m_pendingDeletes.emplace(it.name, it.revision);
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
        it->second.acknowledgementDeadline = it->second.deadline;
        return;
    }
    const auto node = m_queries.extract(it);
    if (event.answer.isKnown) {
        reportDecision(node.mapped().number, ClaimDecision::Kind::Replay, toResponse(event.answer));
    } else {
        reportDecision(node.mapped().number, ClaimDecision::Kind::AlreadyStarted);
    }
}

auto ClaimTable::handle(const ClaimMembersChanged &event) -> void
{
    m_members = event.members;
}

auto ClaimTable::handle(const ClaimTick & /*event*/) -> void
{
    expireRequests();
    expireWaiters();
}

auto ClaimTable::reportDecision(RequestNumber number, ClaimDecision::Kind kind,
                                HttpResponse response) -> void
{
    m_actions.emplace_back(ClaimDecision{number, kind, std::move(response)});
}

/// Grants a claim that is now stored, or releases it if its request has been refused meanwhile.
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
    reportDecision(entry.number, ClaimDecision::Kind::Granted);
}

/// Decides about one claim of the batch from what the store holds under its name.
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
    if (isOurs && m_notRun.contains(found->record.number)) {
        release(name, found->record.number, found->revision);
        entry.state = State::Waiting;
        m_waiting.push_front(name);
        return;
    }
    handleForeignClaim(it, found->record);
}

/// Handles a claim that belongs to another request: its owner has the answer, if the content is the
/// same.
auto ClaimTable::handleForeignClaim(Entries::iterator it, const ClaimRecord &record) -> void
{
    const auto name = it->first;
    const auto entry = std::move(it->second);
    m_entries.erase(it);
    auto repeats = entry.waiters;
    if (!entry.isAbandoned)
        repeats.push_back({entry.number, entry.repeatDeadline});
    for (const auto &repeat : repeats) {
        if (record.fingerprint != entry.fingerprint) {
            reportDecision(repeat.number, ClaimDecision::Kind::KeyReused);
        } else {
            queryOwner(repeat.number, repeat.deadline, name, record);
        }
    }
}

/// Asks the claim's owner for the first request's answer. If no other live member owns the claim,
/// or the request has no team, the repeat only learns that the first request has started.
auto ClaimTable::queryOwner(RequestNumber number, BootTime deadline, const ClaimName &name,
                            const ClaimRecord &record) -> void
{
    const auto &owner = record.owner.member;
    // Callers without a team can't be told apart, so none of them gets an answer of another one.
    if (name.team.isEmpty() || owner == m_self.member || !m_members.contains(owner)) {
        reportDecision(number, ClaimDecision::Kind::AlreadyStarted);
        return;
    }
    m_queries.emplace(number,
                      Query{number, deadline, std::min(deadline, m_now + AcknowledgementTimeout)});
    m_actions.emplace_back(QueryClaimOwner{owner, {name.team, name.key, number}});
}

/// Schedules the deletion of a claim whose request has not run.
auto ClaimTable::release(const ClaimName &name, RequestNumber number, StoreRevision revision)
    -> void
{
    recordNotRun(number);
    const auto isInFlight = std::ranges::any_of(m_deletesInFlight, [&](const auto &it) {
        return it.name == name && it.revision == revision;
    });
    if (!isInFlight)
        m_pendingDeletes.insert_or_assign(name, revision);
}

/// Records a request that has not run. If its claim is found in the store later, the delete was
/// lost and is repeated.
auto ClaimTable::recordNotRun(RequestNumber number) -> void
{
    if (!m_notRun.insert(number).second)
        return;
    m_notRunOrder.push_back(number);
    if (m_notRunOrder.size() > MaxNotRunRequests) {
        m_notRun.erase(m_notRunOrder.front());
        m_notRunOrder.pop_front();
    }
}

/// Replies to all members that wait for the answer to this entry's request.
auto ClaimTable::answerPeers(Entry &entry) -> void
{
    for (const auto &it : std::exchange(entry.peerWaiters, {}))
        m_actions.emplace_back(AnswerClaimQuery{it.member, toAnswer(it.query, entry.response)});
}

/// Retains the entry of a finished request, so that repeats get its answer.
auto ClaimTable::retain(const ClaimName &name, Entry &entry) -> void
{
    // An answer to a request without a team is never sent to a second caller.
    if (name.team.isEmpty())
        entry.response.reset();
    m_retainedBytes += EntryOverheadBytes + (entry.response ? bytesOf(*entry.response) : 0);
    m_retained.emplace_back(name, entry.number);
    evict();
}

/// Evicts the oldest finished requests until the bounds are met. Their claims stay in the store.
auto ClaimTable::evict() -> void
{
    while (m_retained.size() > MaxRetainedClaims || m_retainedBytes > MaxRetainedBytes) {
        const auto [name, number] = m_retained.front();
        m_retained.pop_front();
        const auto it = m_entries.find(name);
        m_retainedBytes -=
            EntryOverheadBytes + (it->second.response ? bytesOf(*it->second.response) : 0);
        m_entries.erase(it);
    }
}

/// Refuses requests whose claim the store has not answered in time. They are reported as not run,
/// which is true because they were never granted. A claim that was written all the same is released
/// as soon as it is found.
auto ClaimTable::expireRequests() -> void
{
    const auto abandon = [this](const ClaimName &name) {
        auto &entry = m_entries.at(name);
        if (entry.isAbandoned || m_now < entry.storeDeadline)
            return;
        entry.isAbandoned = true;
        recordNotRun(entry.number);
        reportDecision(entry.number, ClaimDecision::Kind::Unavailable);
        for (const auto &waiter : std::exchange(entry.waiters, {}))
            reportDecision(waiter.number, ClaimDecision::Kind::Unavailable);
    };
    std::ranges::for_each(m_batch, abandon);
    std::ranges::for_each(m_waiting, abandon);
    // No write is in flight for claims that still wait, so their entries can be removed at once.
    std::erase_if(m_waiting, [this](const ClaimName &name) {
        const auto it = m_entries.find(name);
        if (!it->second.isAbandoned)
            return false;
        m_entries.erase(it);
        return true;
    });
}

/// Ends the wait of repeats whose first request was not answered in time.
auto ClaimTable::expireWaiters() -> void
{
    std::erase_if(m_queries, [this](const auto &it) {
        const auto isLate = m_now >= it.second.acknowledgementDeadline;
        if (isLate)
            reportDecision(it.second.number, ClaimDecision::Kind::AlreadyStarted);
        return isLate;
    });
    for (const auto &[number, name] : m_granted) {
        std::erase_if(m_entries.at(name).waiters, [this](const Waiter &it) {
            const auto isLate = m_now >= it.deadline;
            if (isLate)
                reportDecision(it.number, ClaimDecision::Kind::AlreadyStarted);
            return isLate;
        });
    }
}

/// Starts the next call to the store if none is in flight and the interval has passed. A batch of
/// unknown outcome is read back first; writes and deletes alternate.
auto ClaimTable::startNextCall() -> void
{
    if (m_call != Call::None || m_now < m_nextCall)
        return;
    if (!m_batch.empty()) {
        m_call = Call::Read;
        m_actions.emplace_back(ReadClaims{m_batch});
    } else if (!m_pendingDeletes.empty() && (m_waiting.empty() || !m_isWriteTurn)) {
        deleteClaims();
    } else if (!m_waiting.empty()) {
        writeClaims();
    } else {
        return;
    }
    m_nextCall = m_now + callInterval();
}

auto ClaimTable::writeClaims() -> void
{
    m_call = Call::Write;
    m_isWriteTurn = false;
    auto call = WriteClaims();
    while (!m_waiting.empty() && m_batch.size() < MaxBatchClaims) {
        auto name = std::move(m_waiting.front());
        m_waiting.pop_front();
        auto &entry = m_entries.at(name);
        entry.state = State::InFlight;
        call.claims.push_back({name, {m_self, entry.number, entry.fingerprint}});
        m_batch.push_back(std::move(name));
    }
    m_actions.emplace_back(std::move(call));
}

auto ClaimTable::deleteClaims() -> void
{
    m_call = Call::Delete;
    m_isWriteTurn = true;
    while (!m_pendingDeletes.empty() && m_deletesInFlight.size() < MaxBatchClaims) {
        const auto it = m_pendingDeletes.begin();
        m_deletesInFlight.push_back({it->first, it->second});
        m_pendingDeletes.erase(it);
    }
    m_actions.emplace_back(DeleteClaims{m_deletesInFlight});
}

auto ClaimTable::callInterval() const -> Duration
{
    return CallIntervalPerMember * std::max<std::size_t>(1, m_members.size());
}

} // namespace shallotproxy
