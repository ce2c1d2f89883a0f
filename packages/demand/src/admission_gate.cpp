#include <algorithm>

#include "shallotproxy/demand/admission_gate.hpp"

namespace shallotproxy {

auto AdmissionGate::outlookReceived(AdmissionOutlook outlook, BootTime now) -> void
{
    m_outlook = std::move(outlook);
    m_receivedAt = now;
    std::erase_if(m_lastReturns, [now](const auto &it) { return it.second <= now; });
}

auto AdmissionGate::outlookRemoved() -> void
{
    m_outlook = {};
}

auto AdmissionGate::decide(const AdmissionRequest &request, BootTime now)
    -> std::optional<AdmissionRefusal>
{
    using std::chrono::milliseconds;
    const auto pool = m_outlook.pools.find(request.pool);
    const auto age = now - m_receivedAt;
    if (pool == m_outlook.pools.end() || age > MaxAge)
        return std::nullopt;
    // The last entry that isn't behind the job's priority: what has a later one doesn't delay it.
    const auto &waits = pool->second;
    const auto next = std::ranges::upper_bound(waits, request.priority, {}, &PoolWait::priority);
    if (next == waits.begin())
        return std::nullopt;
    const auto isSurplus = std::ranges::binary_search(m_outlook.exhaustedTeams, request.team);
    const auto &entry = *std::prev(next);
    const auto longestWait = isSurplus ? entry.surplusMilliseconds : entry.lateMilliseconds;
    if (milliseconds(longestWait) <= age)
        return std::nullopt; // room is idle by now, whatever the deadline
    // The backlog that was published has been worked on since.
    const auto doneAfter = [&](std::int64_t published) {
        return std::max(Duration(milliseconds(published)) - age, Duration()) + request.chain;
    };
    // Late work of an earlier priority comes before all work of a later one.
    const auto wait =
        entry.priority < request.priority ? entry.lateMilliseconds : entry.entitledMilliseconds;
    const auto excess = isSurplus
        ? doneAfter(entry.surplusMilliseconds) - request.deadline
        : std::min(doneAfter(wait) - request.deadline,
                   doneAfter(entry.lateMilliseconds) - request.usefulTime);
    if (excess <= Duration())
        return std::nullopt;
    auto &lastReturn = m_lastReturns[request.pool];
    lastReturn = std::max(now + excess, lastReturn + Duration(ReturnSpacing));
    lastReturn = std::min(lastReturn, now + Duration(MaxRetryAfter));
    auto refusal = AdmissionRefusal();
    refusal.reason =
        isSurplus ? AdmissionRefusalReason::TeamAboveRate : AdmissionRefusalReason::NoRoomInTime;
    refusal.excess = std::chrono::duration_cast<milliseconds>(excess);
    refusal.retryAfter = std::chrono::ceil<std::chrono::seconds>(lastReturn - now);
    return refusal;
}

} // namespace shallotproxy
