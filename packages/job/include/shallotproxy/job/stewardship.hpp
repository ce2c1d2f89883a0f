#pragma once

#include <cstdint>
#include <optional>

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Tracks by this member's clock whether it holds the steward key, which permits it to send orders
/// to workers.
///
/// A lease counts from the time before its request was sent, so that this member stops before
/// another one can take over. Late answers change nothing.
class Stewardship
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Duration of a lease. Short, so that work resumes soon after the holder has failed, and well
    /// above the time of a renewal when the store is slowest (240 ms).
    static constexpr Milliseconds LeaseTime{1'600};
    /// A quarter of the lease, so that two renewals in a row may be lost.
    static constexpr Milliseconds RenewInterval{400};
    /// Covers the time between a call of mayOrder() and the sending of the order.
    static constexpr Milliseconds OrderMargin{150};

    /// The key was created by the request sent at `sentAt`; `token` increases with each holder.
    auto acquired(std::uint64_t token, BootTime sentAt) -> void;
    auto renewed(BootTime sentAt) -> void;
    /// Another member holds the key, or the lease has expired.
    auto lost() -> void;

    /// Returns the fencing token; no value if this member doesn't hold the key.
    [[nodiscard]] auto token() const -> std::optional<std::uint64_t> { return m_token; }
    /// Whether orders that start work may be sent.
    [[nodiscard]] auto mayOrder(BootTime now) const -> bool;
    /// Returns how long such orders may be sent unless the lease is renewed; zero if not at all.
    [[nodiscard]] auto orderTimeLeft(BootTime now) const -> Duration;
    /// Whether the leases of active runs may be renewed, and runs stopped. This is allowed for a
    /// while after the store has become unresponsive: workers reject these orders once they have
    /// received an order with a successor's higher token.
    [[nodiscard]] auto mayRenewRuns(BootTime now) const -> bool;

    /// How long runs may be renewed after the last renewal of the key.
    static constexpr Milliseconds RunRenewalTimeout{8'000};

    /// Returns how long a member with this share of a processor core waits before it takes the free
    /// key, so that members with more processor time come first. In a large fleet, a steward that
    /// can't keep up delays all work.
    static auto campaignDelay(double processorShare) -> Milliseconds;

private:
    std::optional<std::uint64_t> m_token;
    BootTime m_renewedAt;
};

} // namespace shallotproxy
