#pragma once

#include <optional>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "steward_events.hpp"

namespace shallotproxy {

/// What the calls to a worker show of it since its last answer: whether it has ended or is silent.
///
/// Failure pattern: a process that ends closes its connections and refuses new ones, at once. A
/// worker that is cut off, or whose host is down, is silent, and may refuse connections once its
/// host is back; what came first tells the two apart.
class WorkerContact
{
public:
    /// The worker has answered a call.
    auto answered() -> void { *this = WorkerContact(); }
    auto pollFailed(ContactLoss loss, BootTime now) -> void;
    /// An order may be left unanswered by a worker that answers polls, so that silence proves
    /// nothing then.
    auto orderFailed(ContactLoss loss, BootTime now) -> void;

    /// Whether the process is known to have ended while it could be reached.
    [[nodiscard]] auto hasEnded() const -> bool { return m_hasEnded; }
    /// Whether the worker can't be reached, for whatever reason.
    [[nodiscard]] auto isSilent() const -> bool;
    /// Returns what the calls have shown, or Unknown.
    [[nodiscard]] auto loss() const -> ContactLoss;
    /// Returns when the first call failed since the last answer.
    [[nodiscard]] auto lostAt() const -> std::optional<BootTime> { return m_lostAt; }

private:
    auto noteLoss(ContactLoss loss, BootTime now) -> void;

    int m_silentPolls = 0;
    bool m_hasEnded = false;
    std::optional<BootTime> m_lostAt;
};

} // namespace shallotproxy
