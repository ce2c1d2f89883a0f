#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "shallotproxy/job.hpp"

namespace shallotproxy {

namespace delegate_event {

/// A member is ready to call workers for the steward.
struct Reported
{
    MemberName delegate;
    DataCentreName dataCentre;
    /// The part of a processor core that the member may use, and the part of that which it uses.
    double processorShare = 1;
    double load = 0;
};
struct Lost
{
    MemberName delegate;
};
/// The part of its processor time that the steward's own process used since the last measurement.
struct LoadMeasured
{
    double load = 0;
};
/// A delegate couldn't reach a worker, or had no answer from it.
struct WorkerUnanswered
{
    WorkerName worker;
};

} // namespace delegate_event

using DelegateEvent = std::variant<delegate_event::Reported, delegate_event::Lost,
                                   delegate_event::LoadMeasured, delegate_event::WorkerUnanswered>;

namespace delegate_action {

/// Reports that calls of workers are now spread over the delegates, or are made by the steward
/// itself. Nothing has to be done.
struct ReportSpreading
{
    bool isActive = false;
    double load = 0;
    std::size_t delegates = 0;
};

} // namespace delegate_action

using DelegateAction = std::variant<delegate_action::ReportSpreading>;

/// Decides which member calls which worker on behalf of the steward.
///
/// The steward calls all workers itself until it uses much of its processor time. Then the members
/// with the most processor time call them, each a part of the workers, by preference those in its
/// own data centre. A worker that a delegate can't reach is called by the steward for a while, so
/// that a partition around a delegate tells nothing about the worker.
class DelegateTable
{
public:
    using Milliseconds = std::chrono::milliseconds;
    using Actions = std::vector<DelegateAction>;

    /// Most members that call workers at the same time. Each costs the steward up to a hundred
    /// exchanges a second.
    static constexpr std::size_t MaxDelegates = 8;
    /// The next members after those, which take the place of lost or overloaded ones.
    static constexpr std::size_t MaxReserves = 24;
    /// A delegate that hasn't reported for this long gets no calls. It reports at least every
    /// ReportInterval.
    static constexpr Milliseconds ReportTimeout{700};
    static constexpr Milliseconds ReportInterval{250};

    auto step(const DelegateEvent &event, BootTime now) -> Actions;
    /// Returns the member that calls this worker; no value if the steward does so itself.
    [[nodiscard]] auto delegateOf(const WorkerName &worker, const DataCentreName &dataCentre,
                                  BootTime now) const -> std::optional<MemberName>;
    /// Whether the member is one of those that get calls.
    [[nodiscard]] auto isSelected(const MemberName &delegate) const -> bool;
    /// Whether the member is one of those that get calls next.
    [[nodiscard]] auto isReserve(const MemberName &delegate) const -> bool;
    [[nodiscard]] auto isSpreading() const -> bool { return m_isSpreading; }

private:
    struct Delegate
    {
        MemberName name;
        DataCentreName dataCentre;
        double processorShare = 1;
        bool isOverloaded = false;
        BootTime reportedAt;
    };

    auto handle(const delegate_event::Reported &event) -> void;
    auto handle(const delegate_event::Lost &event) -> void;
    auto handle(const delegate_event::LoadMeasured &event) -> void;
    auto handle(const delegate_event::WorkerUnanswered &event) -> void;
    auto select() -> void;

    BootTime m_now;
    Actions m_actions;
    std::map<MemberName, Delegate> m_delegates;
    /// The delegates that get calls.
    std::vector<const Delegate *> m_selected;
    std::vector<const Delegate *> m_reserves;
    std::map<WorkerName, BootTime> m_calledDirectlyUntil;
    /// Smoothed.
    double m_load = 0;
    bool m_isSpreading = false;
    BootTime m_busyAt;
};

} // namespace shallotproxy
