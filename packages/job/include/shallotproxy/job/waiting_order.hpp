#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// Identifies a step of an occurrence of a job. Steps of jobs that were accepted earlier come
/// first.
struct WaitingStepId
{
    /// Number of the job, in the order of acceptance.
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const WaitingStepId &) const = default; // NOLINT(modernize-use-nullptr)
};

/// The properties of a waiting step of a job that decide when its tasks are placed.
struct WaitingStep
{
    WaitingStepId id;
    /// Priority of the queue; lower values are placed first.
    std::uint32_t priority = 0;
    bool isLongRunning = false;
    /// The team had used up its rate when the job was submitted.
    bool isSurplus = false;
    /// Estimated remaining work on the critical path of the job.
    Duration remainingWork{};
    BootTime deadline;
    /// After this time the result of the job is of no use to its caller.
    BootTime usefulUntil = BootTime::max();
    BootTime submittedAt;
    TeamName team;
    /// Label that the worker must have; empty if any worker will do.
    std::string requiredLabel;

    /// After this time the job can't meet its deadline any more.
    [[nodiscard]] auto lateAfter() const -> BootTime { return deadline - remainingWork; }
    /// After this time its result comes too late to be of use.
    [[nodiscard]] auto uselessAfter() const -> BootTime
    {
        return std::max(deadline, usefulUntil) - remainingWork;
    }
};

/// Whether a waiting step can still meet its deadline, or at least be of use.
enum class Timeliness : std::uint8_t { InTime, Late, Useless };

/// What became of a step in a visit: its tasks were placed, they don't fit, or nothing more can be
/// placed now.
enum class StepVisit : std::uint8_t { Placed, Missed, Stop };

/// Bounds the influence of team shares, so that they don't dominate the remaining work.
inline constexpr double MaxRelativeTeamUsage = 2;
/// Number of finite steps of a team and label that may be found not to fit in one visit before the
/// visit goes on where the last one ended, and again before it leaves the others to the next visit.
inline constexpr std::size_t MaxMissesPerVisit = 32;
/// A step this long after its submission counts as overdue once its result is of no use.
inline constexpr std::chrono::milliseconds OverdueAge{15'000};
/// The oldest overdue step comes first in one visit in each such interval, which bounds both how
/// long it waits and how much room it takes from work that is in time.
inline constexpr std::chrono::milliseconds OverdueInterval{250};

/// The waiting steps of a pool, in the order in which their tasks are placed.
///
/// Long-running work comes first: there is little of it, and it must run at any load. Jobs of teams
/// within their rate come before those beyond it, and jobs that can still meet their deadline
/// before late ones, with the least remaining work first; the work of a team above its share counts
/// as up to twice as much, and that of a team below its share as down to half. Jobs whose result is
/// of no use any more come last, the oldest first; one of them is placed before all others from
/// time to time, so that each ends eventually.
///
/// Load pattern: a queue that requests many times what its pool holds for half a minute, so that
/// tens of thousands of steps wait, while some hundred runs end each second. The cost of a visit
/// goes with the number of teams and of steps that fit, and not with that of waiting steps.
template <typename Value>
class WaitingSteps
{
public:
    /// Adds a step, or gives a step that was added before other properties.
    auto add(const WaitingStep &step, Value value) -> void
    {
        remove(step.id);
        m_entries.emplace(step.id, Entry{step, value, Timeliness::InTime});
        insert(step, Timeliness::InTime);
    }

    auto remove(const WaitingStepId &id) -> void
    {
        const auto it = m_entries.find(id);
        if (it == m_entries.end())
            return;
        erase(it->second.step, it->second.timeliness);
        m_entries.erase(it);
    }

    [[nodiscard]] auto isEmpty() const -> bool { return m_entries.empty(); }
    [[nodiscard]] auto contains(const WaitingStepId &id) const -> bool
    {
        return m_entries.contains(id);
    }

    /// Calls `function` for steps spread evenly over all of them, at most `maxSteps`, with the
    /// value, the timeliness as of the last visit, and the number of steps that each stands for.
    template <std::invocable<const WaitingStep &, const Value &, Timeliness, std::size_t> Function>
    auto forEachSample(std::size_t maxSteps, Function function) const -> void
    {
        const auto stride = (m_entries.size() + maxSteps - 1) / maxSteps;
        auto left = m_entries.size();
        auto random = std::minstd_rand(); // steps of different kinds may take turns
        for (auto it = m_entries.begin(); left > 0;) {
            const auto count = std::min(stride, left);
            const auto offset = random() % count;
            std::advance(it, offset);
            const auto &entry = it->second;
            function(entry.step, entry.value, entry.timeliness, count);
            std::advance(it, count - offset);
            left -= count;
        }
    }

    /// Calls `function` for the value of each step and its timeliness as of the last visit, in the
    /// order of their ids.
    template <std::invocable<const Value &, Timeliness> Function>
    auto forEach(Function function) const -> void
    {
        for (const auto &[id, entry] : m_entries)
            function(entry.value, entry.timeliness);
    }

    /// Visits steps in the order of their placement. `relativeUsage` returns the running cores of a
    /// team divided by its weight, relative to the mean of all teams. `place` may remove the step
    /// that it gets, and no other. `StepVisit::Stop` ends the visit.
    ///
    /// Of many steps that don't fit, each visit leaves out some; each is reached by one of the next
    /// visits.
    template <std::invocable<const TeamName &> Usage, std::invocable<const Value &> Place>
    auto visit(BootTime now, Usage relativeUsage, Place place) -> void
    {
        moveLateSteps(now);
        auto goesOn = placeOverdueStep(now, place);
        for (auto &[band, queues] : m_bands) {
            goesOn = goesOn && visitBand(band, queues, relativeUsage, place);
            std::erase_if(queues, [](const auto &it) { return it.second.steps.empty(); });
        }
        std::erase_if(m_bands, [](const auto &it) { return it.second.empty(); });
    }

private:
    struct Entry
    {
        WaitingStep step;
        Value value;
        Timeliness timeliness = Timeliness::InTime;
    };
    /// A key of the order within a queue.
    using Key = std::pair<Duration::rep, WaitingStepId>;
    struct Queue
    {
        std::set<Key> steps;
        /// The last step that the last visit reached, if it didn't reach all.
        std::optional<Key> resumeAfter;
    };
    struct Band
    {
        bool isFinite = false;
        bool isUseless = false;
        bool isSurplus = false;
        std::uint32_t priority = 0;
        bool isLate = false;

        auto operator<=>(const Band &) const = default; // NOLINT(modernize-use-nullptr)
    };
    using Queues = std::map<std::pair<TeamName, std::string>, Queue>;

    /// The position of a visit in a queue. Positions with the lowest order come first.
    struct Cursor
    {
        Queue *queue = nullptr;
        typename std::set<Key>::iterator next;
        double factor = 1;
        std::size_t misses = 0;
        bool hasResumed = false;

        [[nodiscard]] auto order() const -> Key
        {
            const auto weighted = static_cast<double>(next->first) * factor;
            return {static_cast<Duration::rep>(weighted), next->second};
        }
        auto operator<(const Cursor &other) const -> bool { return other.order() < order(); }
    };

    static auto bandOf(const WaitingStep &step, Timeliness timeliness) -> Band
    {
        const auto isUseless = timeliness == Timeliness::Useless;
        return {!step.isLongRunning, isUseless, !isUseless && step.isSurplus,
                isUseless ? 0 : step.priority, timeliness != Timeliness::InTime};
    }

    static auto keyOf(const WaitingStep &step, Timeliness timeliness) -> Key
    {
        const auto order = timeliness == Timeliness::Useless
            ? step.submittedAt.time_since_epoch().count()
            : step.remainingWork.count();
        return {order, step.id};
    }

    /// Returns when the timeliness changes next, if it does.
    static auto nextChange(const WaitingStep &step, Timeliness timeliness)
        -> std::optional<BootTime>
    {
        switch (timeliness) {
        case Timeliness::InTime:
            return step.lateAfter();
        case Timeliness::Late:
            return step.uselessAfter();
        case Timeliness::Useless:
            break;
        }
        return std::nullopt;
    }

    auto insert(const WaitingStep &step, Timeliness timeliness) -> void
    {
        auto &queue = m_bands[bandOf(step, timeliness)][{step.team, step.requiredLabel}];
        queue.steps.insert(keyOf(step, timeliness));
        if (const auto at = nextChange(step, timeliness))
            m_changes.emplace(*at, step.id);
    }

    auto erase(const WaitingStep &step, Timeliness timeliness) -> void
    {
        auto &queue = m_bands[bandOf(step, timeliness)][{step.team, step.requiredLabel}];
        queue.steps.erase(keyOf(step, timeliness));
        if (const auto at = nextChange(step, timeliness))
            m_changes.erase({*at, step.id});
    }

    auto moveLateSteps(BootTime now) -> void
    {
        while (!m_changes.empty() && m_changes.begin()->first < now) {
            auto &entry = m_entries.at(m_changes.begin()->second);
            erase(entry.step, entry.timeliness);
            entry.timeliness =
                entry.timeliness == Timeliness::InTime ? Timeliness::Late : Timeliness::Useless;
            insert(entry.step, entry.timeliness);
        }
    }

    /// Returns the useless step that was submitted first, or first after `after`.
    [[nodiscard]] auto oldestUselessStep(const std::optional<Key> &after) const
        -> std::optional<Key>
    {
        auto oldest = std::optional<Key>();
        for (const auto &[band, queues] : m_bands) {
            if (!band.isFinite || !band.isUseless)
                continue;
            for (const auto &[group, queue] : queues) {
                const auto &steps = queue.steps;
                const auto first = after ? steps.upper_bound(*after) : steps.begin();
                if (first != steps.end() && (!oldest || *first < *oldest))
                    oldest = *first;
            }
        }
        return oldest;
    }

    /// Returns whether the visit goes on.
    template <typename Place>
    auto placeOverdueStep(BootTime now, Place &place) -> bool
    {
        if (now < m_nextOverdueAt)
            return true;
        const auto oldest = oldestUselessStep(std::nullopt);
        auto result = placeIfOverdue(now, oldest, place);
        if (result != StepVisit::Missed || !oldest)
            return result != StepVisit::Stop;
        // One that doesn't fit for long must not keep those behind it from their turn: one of them
        // is tried after it, another one in each visit.
        m_missedOverdue = oldestUselessStep(std::max(m_missedOverdue, oldest));
        if (!m_missedOverdue)
            m_missedOverdue = oldestUselessStep(oldest);
        result = placeIfOverdue(now, m_missedOverdue, place);
        return result != StepVisit::Stop;
    }

    template <typename Place>
    auto placeIfOverdue(BootTime now, const std::optional<Key> &key, Place &place) -> StepVisit
    {
        if (!key)
            return StepVisit::Missed;
        const auto &entry = m_entries.at(key->second);
        if (now < entry.step.submittedAt + OverdueAge)
            return StepVisit::Missed;
        const auto value = entry.value; // the step may be removed
        const StepVisit result = place(value);
        if (result == StepVisit::Placed)
            m_nextOverdueAt = now + OverdueInterval;
        return result;
    }

    /// Returns whether the visit goes on with the next band.
    template <typename Usage, typename Place>
    auto visitBand(const Band &band, Queues &queues, Usage &relativeUsage, Place &place) -> bool
    {
        auto cursors = std::priority_queue<Cursor>();
        for (auto &[group, queue] : queues) {
            const auto usage = std::clamp(relativeUsage(group.first), 1 / MaxRelativeTeamUsage,
                                          MaxRelativeTeamUsage);
            if (!queue.steps.empty())
                cursors.push({&queue, queue.steps.begin(), band.isUseless ? 1 : usage});
        }
        while (!cursors.empty()) {
            auto cursor = cursors.top();
            cursors.pop();
            const auto key = *cursor.next++; // the step may be removed
            const auto value = m_entries.at(key.second).value;
            const StepVisit result = place(value);
            if (result == StepVisit::Stop)
                return false;
            if (result == StepVisit::Missed && band.isFinite)
                ++cursor.misses;
            if (advance(cursor, key))
                cursors.push(cursor);
        }
        return true;
    }

    /// Whether the visit goes on with the queue after this step.
    static auto advance(Cursor &cursor, const Key &visited) -> bool
    {
        auto &[steps, resumeAfter] = *cursor.queue;
        if (cursor.misses >= MaxMissesPerVisit) {
            if (cursor.hasResumed) {
                resumeAfter = visited;
                return false;
            }
            cursor.hasResumed = true;
            cursor.misses = 0;
            if (resumeAfter && visited < *resumeAfter)
                cursor.next = steps.upper_bound(*resumeAfter);
        }
        if (cursor.next != steps.end())
            return true;
        resumeAfter.reset();
        return false;
    }

    std::map<WaitingStepId, Entry> m_entries;
    std::map<Band, Queues> m_bands;
    /// When the timeliness of steps changes next.
    std::set<std::pair<BootTime, WaitingStepId>> m_changes;
    /// When an overdue step may come first again.
    BootTime m_nextOverdueAt;
    /// The last step that was tried in place of the oldest one.
    std::optional<Key> m_missedOverdue;
};

} // namespace shallotproxy
