#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

// Bounds the time for an outlook while tens of thousands of steps wait.
constexpr std::size_t MaxSampledSteps = 1'024;

} // namespace

/// Returns what the registered workers of a pool offer beside its long-running tasks. Those that
/// take no new work at the moment will within seconds, or lose their registration.
auto Steward::roomForFiniteTasks(const PoolName &pool) const -> Resources
{
    auto room = Resources();
    const auto workers = m_poolWorkers.find(pool);
    if (workers == m_poolWorkers.end())
        return room;
    for (const auto *worker : workers->second) {
        if (!worker->isRegistered || worker->report.isLeaving)
            continue;
        room += worker->report.capacity;
        for (const auto *task : worker->runs) {
            if (task->spec().isLongRunning)
                room -= task->spec().reservedResources();
        }
    }
    return room;
}

/// Adds the tasks of a ready step, and those of later steps of its job, which need the same room
/// soon. New work doesn't wait for steps that wait for something else than the pool's room: for
/// the end of other runs of their team, or for a worker with a certain label.
auto Steward::addToBacklog(PoolBacklog &sum, const WaitingStep &step, const Candidate &candidate,
                           Timeliness timeliness, std::size_t steps) const -> void
{
    const auto &job = *candidate.job;
    const auto &ready = candidate.spec();
    const auto waitsForRoom = !ready.isLongRunning && timeliness != Timeliness::Useless
        && ready.requiredLabel.empty() && isWithinTeamLimit(job, step.id);
    if (!waitsForRoom)
        return;
    auto kind = PoolBacklog::Kind::Entitled;
    if (step.isSurplus) {
        kind = PoolBacklog::Kind::Surplus;
    } else if (timeliness == Timeliness::Late) {
        kind = PoolBacklog::Kind::Late;
    }
    const auto &occurrence = *candidate.occurrence;
    const auto add = [&](std::uint32_t number, std::uint32_t count) {
        const auto &spec = job.spec.steps[number];
        if (mayFitAnyHost(spec)) {
            sum.add(step.priority, kind, spec.reservedResources(),
                    static_cast<std::int64_t>(count * steps),
                    forecastRun(job, &occurrence, number).expected);
        }
    };
    add(candidate.step, occurrence.waitingTasks[candidate.step]);
    for (auto n = candidate.step + 1; n < job.spec.steps.size(); ++n) {
        const auto &after = job.spec.steps[n].after;
        if (std::ranges::find(after, n - 1) != after.end())
            add(n, occurrence.remainingTasks[n]);
    }
}

auto Steward::admissionOutlook(const std::map<PoolName, Resources> &arriving) -> AdmissionOutlook
{
    auto outlook = AdmissionOutlook();
    if (m_isRecovering)
        return outlook;
    for (const auto &[pool, backlog] : m_backlogs) {
        if (backlog->steps.isEmpty())
            continue;
        const auto hosts = arriving.find(pool);
        auto sum = PoolBacklog(roomForFiniteTasks(pool)
                               + (hosts == arriving.end() ? Resources() : hosts->second));
        backlog->steps.forEachSample(
            MaxSampledSteps,
            [&](const WaitingStep &step, const Candidate &candidate, Timeliness timeliness,
                std::size_t steps) { addToBacklog(sum, step, candidate, timeliness, steps); });
        if (auto waits = waitsIn(sum); !waits.empty())
            outlook.pools.emplace(pool, std::move(waits));
    }
    if (!outlook.isEmpty())
        outlook.exhaustedTeams = m_entitlement.exhaustedTeams(m_now);
    return outlook;
}

} // namespace shallotproxy
