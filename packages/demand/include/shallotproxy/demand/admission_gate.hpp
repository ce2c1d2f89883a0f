#pragma once

#include "admission_outlook.hpp"

namespace shallotproxy {

/// A finite job whose admission is to be decided.
struct AdmissionRequest
{
    PoolName pool;
    std::uint32_t priority = 0;
    TeamName team;
    /// Expected duration of its longest chain of steps.
    Duration chain{};
    /// How long after its submission it should be done.
    Duration deadline{};
    /// How long after its submission its result is still of use.
    Duration usefulTime{};
};

enum class AdmissionRefusalReason : std::uint8_t {
    /// The job wouldn't be done while its result is of use.
    NoRoomInTime,
    /// The team is beyond its rate, and the room doesn't suffice for that.
    TeamAboveRate,
};

struct AdmissionRefusal
{
    AdmissionRefusalReason reason = AdmissionRefusalReason::NoRoomInTime;
    /// By how much the job would have come too late.
    std::chrono::milliseconds excess{};
    /// When the caller should come back.
    std::chrono::seconds retryAfter{};
};

/// Refuses jobs that can't be done in time, as one member knows the pools.
///
/// Load pattern: bursts of several times what a pool holds, and teams far beyond their rate.
/// Without a backlog, or without news of it, every job is accepted.
class AdmissionGate
{
public:
    /// An outlook that is older is no longer used: the steward may have changed, or the store be
    /// away.
    static constexpr std::chrono::milliseconds MaxAge{1'500};
    /// Callers that this member has refused come back at least this far from each other, in the
    /// order in which they were refused.
    static constexpr std::chrono::milliseconds ReturnSpacing{100};
    /// No caller is told to come back later than this: peaks are shorter.
    static constexpr std::chrono::seconds MaxRetryAfter{15};

    auto outlookReceived(AdmissionOutlook outlook, BootTime now) -> void;
    auto outlookRemoved() -> void;
    /// Returns no value if the job is accepted.
    auto decide(const AdmissionRequest &request, BootTime now) -> std::optional<AdmissionRefusal>;

private:
    AdmissionOutlook m_outlook;
    BootTime m_receivedAt;
    /// When the caller that was refused last comes back.
    std::map<PoolName, BootTime> m_lastReturns;
};

} // namespace shallotproxy
