#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <span>

#include "shallotproxy/member/delegate_table.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// Above this load of the steward its calls are spread; bursts ask several times the mean.
constexpr double SpreadingLoad = 0.3;
// A steward whose calls are spread and that is below this load for `IdleTime` makes them itself.
constexpr double IdleLoad = 0.05;
constexpr milliseconds IdleTime{30'000};
constexpr double LoadSmoothing = 0.3; // weight of the newest measurement
// A delegate above MaxDelegateLoad gets no calls until it is below MinDelegateLoad.
constexpr double MaxDelegateLoad = 0.8;
constexpr double MinDelegateLoad = 0.5;
// A member with less than this part of the best member's processor time isn't used.
constexpr double MinRelativeShare = 0.5;
constexpr milliseconds DirectTime{5'000};

/// Returns a value in (0, 1) that depends only on the two names.
auto uniformHash(const std::string &left, const std::string &right) -> double
{
    const auto hash = std::hash<std::string>()(left + '\n' + right);
    constexpr auto Range = static_cast<double>(std::numeric_limits<std::size_t>::max());
    return (static_cast<double>(hash) + 1) / (Range + 2);
}

} // namespace

auto DelegateTable::step(const DelegateEvent &event, BootTime now) -> Actions
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &it) { handle(it); }, event);
    return std::exchange(m_actions, {});
}

auto DelegateTable::handle(const delegate_event::Reported &event) -> void
{
    auto &entry = m_delegates[event.delegate];
    const auto isOverloaded =
        event.load > MaxDelegateLoad || (entry.isOverloaded && event.load > MinDelegateLoad);
    const auto isChanged = entry.name.isEmpty() || entry.isOverloaded != isOverloaded
        || entry.processorShare != event.processorShare || entry.dataCentre != event.dataCentre;
    entry = {event.delegate, event.dataCentre, event.processorShare, isOverloaded, m_now};
    if (isChanged)
        select();
}

auto DelegateTable::handle(const delegate_event::Lost &event) -> void
{
    if (m_delegates.erase(event.delegate) > 0)
        select();
}

auto DelegateTable::handle(const delegate_event::LoadMeasured &event) -> void
{
    m_load += LoadSmoothing * (event.load - m_load);
    if (m_load > IdleLoad)
        m_busyAt = m_now;
    const auto isSpreading =
        m_load > SpreadingLoad || (m_isSpreading && m_now < m_busyAt + IdleTime);
    if (isSpreading != m_isSpreading) {
        m_isSpreading = isSpreading;
        m_actions.emplace_back(
            delegate_action::ReportSpreading{isSpreading, m_load, m_selected.size()});
    }
    std::erase_if(m_calledDirectlyUntil, [this](const auto &it) { return it.second <= m_now; });
}

auto DelegateTable::handle(const delegate_event::WorkerUnanswered &event) -> void
{
    m_calledDirectlyUntil[event.worker] = m_now + DirectTime;
}

auto DelegateTable::select() -> void
{
    m_selected.clear();
    m_reserves.clear();
    for (const auto &[name, entry] : m_delegates) {
        if (!entry.isOverloaded)
            m_selected.push_back(&entry);
    }
    std::ranges::stable_sort(m_selected, std::ranges::greater(),
                             [](const Delegate *it) { return it->processorShare; });
    if (m_selected.empty())
        return;
    const auto minShare = m_selected.front()->processorShare * MinRelativeShare;
    std::erase_if(m_selected,
                  [minShare](const Delegate *it) { return it->processorShare < minShare; });
    if (m_selected.size() <= MaxDelegates)
        return;
    const auto others = std::span(m_selected).subspan(MaxDelegates);
    const auto reserves = others.first(std::min(others.size(), MaxReserves));
    m_reserves.assign(reserves.begin(), reserves.end());
    m_selected.resize(MaxDelegates);
}

/// Weighted rendezvous hashing: if a delegate is lost, only its own workers move.
auto DelegateTable::delegateOf(const WorkerName &worker, const DataCentreName &dataCentre,
                               BootTime now) const -> std::optional<MemberName>
{
    if (!m_isSpreading)
        return std::nullopt;
    const auto direct = m_calledDirectlyUntil.find(worker);
    if (direct != m_calledDirectlyUntil.end() && now < direct->second)
        return std::nullopt;
    const auto isAlive = [now](const Delegate *it) { return now < it->reportedAt + ReportTimeout; };
    const auto hasNear = std::ranges::any_of(m_selected, [&](const Delegate *it) {
        return it->dataCentre == dataCentre && isAlive(it);
    });
    const Delegate *best = nullptr;
    auto bestScore = -std::numeric_limits<double>::infinity();
    for (const auto *it : m_selected) {
        if (!isAlive(it) || (hasNear && it->dataCentre != dataCentre))
            continue;
        const auto score =
            it->processorShare / -std::log(uniformHash(it->name.value(), worker.value()));
        if (score > bestScore) {
            best = it;
            bestScore = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->name);
}

auto DelegateTable::isReserve(const MemberName &delegate) const -> bool
{
    return std::ranges::any_of(m_reserves,
                               [&delegate](const Delegate *it) { return it->name == delegate; });
}

auto DelegateTable::isSelected(const MemberName &delegate) const -> bool
{
    return std::ranges::any_of(m_selected,
                               [&delegate](const Delegate *it) { return it->name == delegate; });
}

} // namespace shallotproxy
