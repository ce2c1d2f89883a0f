#include "claim_module.hpp"

#include <chrono>

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

// Claims outlive the member that wrote them: a lease is never renewed. It is attached to new claims
// for ClaimLeaseReuseTime and then replaced, so each claim lasts for at least MinClaimLifetime.
constexpr Duration ClaimLeaseReuseTime = 300s;
constexpr Duration ClaimLease = ClaimLeaseReuseTime + MinClaimLifetime;

} // namespace

ClaimModule::ClaimModule(ControlContext &context)
    : m_context(context)
    , m_table(context.process.self)
{ }

auto ClaimModule::tick(BootTime /*now*/) -> void
{
    step(ClaimTick());
}

auto ClaimModule::receive(const PeerEnvelope &envelope, BootTime /*now*/) -> void
{
    if (const auto *query = std::get_if<ClaimQuery>(&envelope.message))
        step(ClaimQueried{envelope.from.member, *query});
    if (const auto *answer = std::get_if<ClaimAnswer>(&envelope.message))
        step(ClaimQueryAnswered{*answer});
}

auto ClaimModule::membersChanged() -> void
{
    auto event = ClaimMembersChanged();
    for (const auto &[name, member] : m_context.members)
        event.members.insert(name);
    step(event);
}

auto ClaimModule::handle(const ClaimRequested &event) -> void
{
    step(event);
}

auto ClaimModule::handle(const ClaimedRequestEnded &event) -> void
{
    step(event);
}

auto ClaimModule::step(const ClaimEvent &event) -> void
{
    const auto now = BootClock::now();
    for (const auto &action : m_table.step(event, now))
        std::visit([this](const auto &it) { perform(it); }, action);
    const auto next = m_table.nextCall();
    if (!next || *next == m_wakeAt)
        return;
    m_wakeAt = *next;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - now);
    QTimer::singleShot(std::max(wait, 0ms), &m_timerContext, [this] { step(ClaimTick()); });
}

auto ClaimModule::perform(const WriteClaims &action) -> void
{
    m_context.process.metrics.count("shallotproxy_claim_writes_total");
    m_context.process.metrics.sample("shallotproxy_claim_batch", {},
                                     static_cast<double>(action.claims.size()));
    if (BootClock::now() < m_leaseUsableUntil) {
        write(action);
    } else {
        grantLease(action);
    }
}

auto ClaimModule::grantLease(const WriteClaims &action) -> void
{
    // Counted from before the request is sent, so that the store never expires the lease earlier.
    const auto usableUntil = BootClock::now() + ClaimLeaseReuseTime;
    m_context.store(
        StoreLeaseGrant{std::chrono::duration_cast<std::chrono::seconds>(ClaimLease).count()},
        [this, action, usableUntil](const StoreReply &reply) {
            if (!reply || reply->lease == 0) {
                step(ClaimsUnanswered());
                return;
            }
            m_lease = reply->lease;
            m_leaseUsableUntil = usableUntil;
            write(action);
        });
}

auto ClaimModule::write(const WriteClaims &action) -> void
{
    auto transaction = StoreTransaction();
    m_keys.clear();
    for (const auto &it : action.claims) {
        const auto key = keyOf(it.name);
        m_keys.push_back(key);
        transaction.compares.push_back({key, 0});
        transaction.onSuccess.emplace_back(StorePut{key, encodeClaim(it.record), m_lease});
        transaction.onFailure.emplace_back(StoreRange{key, false});
    }
    call(std::move(transaction));
}

auto ClaimModule::perform(const ReadClaims &action) -> void
{
    auto transaction = StoreTransaction();
    m_keys.clear();
    for (const auto &it : action.names) {
        m_keys.push_back(keyOf(it));
        transaction.onSuccess.emplace_back(StoreRange{m_keys.back(), false});
    }
    call(std::move(transaction));
}

auto ClaimModule::call(StoreTransaction transaction) -> void
{
    m_context.store(std::move(transaction),
                    [this](const StoreReply &reply) { applyAnswer(reply); });
}

auto ClaimModule::applyAnswer(const StoreReply &reply) -> void
{
    if (!reply) {
        step(ClaimsUnanswered());
        return;
    }
    auto event = ClaimsAnswered();
    event.revision = reply->revision;
    if (reply->reads.empty()) {
        event.isWritten = reply->hasSucceeded;
        step(event);
        return;
    }
    if (reply->reads.size() != m_keys.size()) {
        step(ClaimsUnanswered());
        return;
    }
    for (const auto &records : reply->reads) {
        const auto record = records.empty() ? std::nullopt : decodeClaim(records.front().value);
        if (records.empty()) {
            event.found.emplace_back();
        } else {
            // A record that can't be decoded was written by another program: it counts as a claim
            // of an unknown owner, so that no request runs under its key.
            event.found.emplace_back(
                StoredClaim{record.value_or(ClaimRecord()), records.front().revision});
        }
    }
    step(event);
}

auto ClaimModule::perform(const DeleteClaims &action) -> void
{
    m_context.process.metrics.count("shallotproxy_claim_writes_total");
    auto transaction = StoreTransaction();
    for (const auto &it : action.claims) {
        const auto key = keyOf(it.name);
        transaction.compares.push_back({key, it.revision});
        transaction.onSuccess.emplace_back(StoreDelete{key});
    }
    m_context.store(std::move(transaction),
                    [this](const StoreReply &reply) { step(ClaimsDeleted{!reply}); });
}

auto ClaimModule::perform(const ClaimDecision &action) -> void
{
    m_context.updateFront(action);
}

auto ClaimModule::perform(const QueryClaimOwner &action) -> void
{
    m_context.send(action.owner, action.query);
}

auto ClaimModule::perform(const AnswerClaimQuery &action) -> void
{
    m_context.send(action.to, action.answer);
}

auto ClaimModule::keyOf(const ClaimName &name) const -> std::string
{
    return m_context.key(claimSuffix(name));
}

} // namespace shallotproxy
