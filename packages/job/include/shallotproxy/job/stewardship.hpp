#pragma once

#include <cstdint>
#include <optional>

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Whether this member holds the one key that lets it order workers, judged by its own clock.
///
/// A lease counts from before its request was sent, so this member stops before anyone else can
/// begin. Answers that come late change nothing.
class Stewardship
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Each lease lasts this long: short, so that work goes on soon after a member has gone; well
    /// above a renewal at the store's slowest answers (240 ms).
    static constexpr Milliseconds LeaseTime{1'600};
    static constexpr Milliseconds RenewInterval{400}; // a quarter of the lease: two may be lost
    static constexpr Milliseconds Margin{150}; // for the time between a check and its order

    /// The key was created by the request sent at `sentAt`; `token` rises with each holder.
    auto acquired(std::uint64_t token, BootTime sentAt) -> void;
    auto renewed(BootTime sentAt) -> void;
    /// Someone else holds the key, or the lease has ended.
    auto lost() -> void;

    /// The fencing token, while this member may order.
    [[nodiscard]] auto token() const -> std::optional<std::uint64_t> { return m_token; }
    /// Whether orders that start work may be sent.
    [[nodiscard]] auto mayOrder(BootTime now) const -> bool;
    /// Whether running work may still be held on: for a while after the store has fallen silent
    /// the workers' own fences keep a successor's orders ahead of ours.
    [[nodiscard]] auto mayRenewRuns(BootTime now) const -> bool;

    /// How long a member holds running work after its last renewal.
    static constexpr Milliseconds HoldOnTime{8'000};

    /// How long a member with this part of a core leaves the free key to those with more. Answers a
    /// large fleet on unequal members: a steward that can't keep up stops the work of all.
    static auto campaignDelay(double processorShare) -> Milliseconds;

private:
    std::optional<std::uint64_t> m_token;
    BootTime m_renewedAt;
};

} // namespace shallotproxy
