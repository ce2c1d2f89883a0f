#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// Shortest time between two searches for runs to preempt in a pool: they look at all runs there,
// and a stop takes longer.
constexpr milliseconds PreemptionInterval{100};

/// Whether the worker has the label. The empty label stands for no requirement.
auto hasLabel(const WorkerReport &report, const std::string &label) -> bool
{
    return label.empty() || std::ranges::find(report.labels, label) != report.labels.end();
}

/// The smallest resources that fitted on no worker in one placement.
class UnplaceableResources
{
public:
    /// Whether `resources` can't fit either.
    [[nodiscard]] auto covers(const Resources &resources) const -> bool
    {
        return std::ranges::any_of(
            m_minima, [&resources](const Resources &it) { return resources.covers(it); });
    }

    auto add(const Resources &resources) -> void
    {
        std::erase_if(m_minima, [&resources](const Resources &it) { return it.covers(resources); });
        m_minima.push_back(resources);
    }

private:
    /// None of them covers another one.
    std::vector<Resources> m_minima;
};

/// Whether a task of the step may fail to fit although its resources are free.
auto hasPlacementConstraints(const StepSpec &step) -> bool
{
    return step.maxTasksPerWorker > 0 || !step.requiredLabel.empty();
}

} // namespace

Steward::Steward(std::uint64_t token, StewardSettings settings, BootTime now)
    : m_token(token)
    , m_settings(settings)
    , m_now(now)
    , m_startedAt(now)
    , m_recoveryDeadline(now + settings.recoveryTimeout)
{ }

Steward::~Steward() = default;

auto Steward::step(const StewardEvent &event, BootTime now) -> Actions
{
    m_now = std::max(m_now, now);
    m_actions.clear();
    std::visit([this](const auto &it) { handle(it); }, event);
    return std::exchange(m_actions, {});
}

auto Steward::handle(const steward_event::RulesChanged &event) -> void
{
    // Open jobs are listed by pool, and the pool of a queue may have changed.
    const auto before = std::exchange(m_openJobs, {});
    m_rules = event.rules;
    m_runTimes.retain([this](const QueueName &it) { return m_rules->queues.contains(it); },
                      [this](const TeamName &it) { return m_rules->teams.contains(it); });
    for (const auto &[pool, jobs] : before) {
        for (const auto &[number, job] : jobs) {
            m_openJobs[poolOf(*job)].emplace(number, job);
            markDirty(poolOf(*job));
        }
    }
    rebuildBacklogs();
}

auto Steward::handle(const steward_event::DataCentresClosed &event) -> void
{
    m_closedDataCentres = event.closed;
    for (const auto &[pool, workers] : m_poolWorkers)
        markDirty(pool);
}

auto Steward::handle(const steward_event::Ticked &event) -> void
{
    m_wallMilliseconds = event.wallMilliseconds;
    adjustPollInterval();
    endRecoveryIfDone();
    endUnlistedWorkers();
    for (const auto &[name, worker] : m_workers)
        tickWorker(*worker);
    observeCrashRates();
    settleRecentCrashes();
    applyVerdicts();
    for (const auto &[number, job] : m_scheduledJobs)
        openDueOccurrences(*job);
    std::erase_if(m_scheduledJobs, [](const auto &it) {
        return it.second->nextOccurrence == it.second->spec.occurrences;
    });
    for (const auto &[pool, jobs] : m_openJobs)
        markDirty(pool);
    reportWaitingTasks();
}

auto Steward::handle(const steward_event::PlacementDue &) -> void
{
    settlePossibleCrashes();
    placeDirtyPools();
}

auto Steward::placeDirtyPools() -> void
{
    auto dirty = std::exchange(m_dirtyPools, {});
    m_unaskedRoom = roomOfUnaskedWorkers();
    forgetSettledLimitWaits();
    forgetWrittenStarts();
    const auto inFlight = startsInFlight();
    m_startBudget = m_settings.maxStartsInFlight - std::min(inFlight, m_settings.maxStartsInFlight);
    // The pools that have waited for answers go first, and those of them that have had starts last
    // in the next placement.
    auto order = std::exchange(m_pacedPools, {});
    for (const auto &pool : order)
        dirty.erase(pool);
    order.insert(order.end(), dirty.begin(), dirty.end());
    auto served = std::vector<PoolName>();
    for (const auto &pool : order) {
        const auto budget = m_startBudget;
        place(pool);
        const auto isPaced = !m_pacedPools.empty() && m_pacedPools.back() == pool;
        if (isPaced && m_startBudget < budget) {
            m_pacedPools.pop_back();
            served.push_back(pool);
        }
    }
    m_pacedPools.insert(m_pacedPools.end(), served.begin(), served.end());
    m_dirtyPools.clear();
}

/// Returns the number of start orders of finite tasks without an answer that may still come soon.
auto Steward::startsInFlight() const -> std::size_t
{
    auto count = std::size_t{0};
    for (const auto &[name, worker] : m_workers) {
        count +=
            static_cast<std::size_t>(std::ranges::count_if(worker->runs, [this](const Task *it) {
                return it->phase == TaskPhase::Starting && it->isOrderPending
                    && !it->spec().isLongRunning
                    && m_now < it->startSentAt + m_settings.orderResponseTime;
            }));
    }
    return count;
}

auto Steward::isWaitingToStart(const Task &task) const -> bool
{
    return task.phase == TaskPhase::Waiting && !(task.mayHaveUnknownRun && m_isRecovering);
}

/// Whether the task waits and may be placed beside others.
auto Steward::mayPlace(const Task &task) const -> bool
{
    return isWaitingToStart(task) && !task.crashes.isSuspect();
}

/// Places the waiting tasks of a pool in the order of WaitingSteps.
auto Steward::place(const PoolName &pool) -> void
{
    const auto entry = m_backlogs.find(pool);
    if (entry == m_backlogs.end() || m_poolWorkers[pool].empty())
        return;
    // Before the others: a worker that becomes free for a suspect is soon taken again. Finite
    // suspects keep their workers to themselves for longer than long-running ones.
    auto suspects = waitingSuspects(pool);
    std::stable_partition(suspects.begin(), suspects.end(),
                          [](const Candidate &it) { return it.spec().isLongRunning; });
    auto group = newSuspectGroup(pool, suspects);
    for (const auto &it : suspects)
        placeSuspects(pool, it, group);
    auto claims = RoomClaims();
    auto &nextPreemption = m_nextPreemptions[pool];
    const auto mayPreempt = m_now >= nextPreemption;
    const auto preempt = [&](const Candidate &candidate) {
        if (!mayPreempt || !candidate.spec().isLongRunning)
            return;
        makeRoom(pool, candidate, claims);
        nextPreemption = m_now + PreemptionInterval;
    };
    std::ranges::for_each(suspects, preempt);
    auto &waiting = entry->second->steps;
    if (waiting.isEmpty())
        return;
    const auto meanShare = meanTeamShare();
    const auto relativeUsage = [this, meanShare](const TeamName &team) {
        return meanShare > 0 ? teamShare(team) / meanShare : 1;
    };
    const auto workers = workersToPlaceOn(pool);
    auto unplaceable = UnplaceableResources();
    waiting.visit(m_now, relativeUsage, [&](const Candidate &candidate) {
        const auto &step = candidate.spec();
        const auto resources = step.reservedResources();
        if (!step.isLongRunning && unplaceable.covers(resources))
            return StepVisit::Missed;
        const auto result = placeStep(workers, candidate);
        if (result == PlaceResult::WindowFull) {
            m_pacedPools.push_back(pool);
            return StepVisit::Stop;
        }
        if (result == PlaceResult::NoRoom && !hasPlacementConstraints(step))
            unplaceable.add(resources);
        if (result == PlaceResult::NoRoom && step.isLongRunning) {
            preempt(candidate);
            placeOnQuarantined(pool, candidate);
        }
        return result == PlaceResult::Placed ? StepVisit::Placed : StepVisit::Missed;
    });
}

/// Returns the milli-cores of the team's running tasks divided by its weight.
auto Steward::teamShare(const TeamName &team) const -> double
{
    const auto running = m_teamLoads.find(team);
    if (running == m_teamLoads.end() || !m_rules)
        return 0;
    const auto rules = m_rules->teams.find(team);
    const auto weight = rules == m_rules->teams.end() ? 1.0 : std::max(rules->second.weight, 1e-3);
    return static_cast<double>(running->second.total.milliCores) / weight;
}

/// Returns the mean of teamShare() over all declared teams.
auto Steward::meanTeamShare() const -> double
{
    if (!m_rules || m_rules->teams.empty())
        return 0;
    auto sum = 0.0;
    for (const auto &[team, rules] : m_rules->teams)
        sum += teamShare(team);
    return sum / static_cast<double>(m_rules->teams.size());
}

/// Places waiting tasks of a step until one fits on no worker; the tasks of a step are alike.
auto Steward::placeStep(std::span<Worker *const> workers, const Candidate &candidate) -> PlaceResult
{
    const auto tasks = candidate.tasks();
    auto &first = candidate.occurrence->firstWaiting[candidate.step];
    while (first < tasks.size() && tasks[first].phase != TaskPhase::Waiting)
        ++first;
    for (auto &task : tasks.subspan(first)) {
        if (!mayPlace(task))
            continue;
        if (!isWithinTeamLimit(task)) {
            noteLimitReached(task);
            return PlaceResult::TeamLimit;
        }
        forgetLimitReached(task);
        auto *worker = chooseWorker(workers, task);
        if (worker == nullptr)
            return PlaceResult::NoRoom;
        const auto isInherited = task.mayHaveUnknownRun;
        const auto isWindowFull =
            m_startBudget == 0 || (isInherited && !mayStartInherited(*task.job));
        if (!task.spec().isLongRunning && isWindowFull)
            return PlaceResult::WindowFull;
        if (!task.spec().isLongRunning)
            --m_startBudget;
        startTask(task, *worker);
        // If this steward dies with the worker, the next one learns of the crash by the record.
        if (isInherited) {
            recordInheritedStart(task);
        } else if (hasSuspects(worker->report.pool)) {
            recordPossibleCrash(task, CrashEvidence::Likely, WriteUrgency::Urgent);
        }
    }
    return PlaceResult::Placed;
}

/// Returns the workers of a pool that take new work, so that the checks that hold for all tasks are
/// made once in a placement.
auto Steward::workersToPlaceOn(const PoolName &pool) const -> std::vector<Worker *>
{
    auto workers = std::vector<Worker *>();
    const auto all = m_poolWorkers.find(pool);
    if (all == m_poolWorkers.end())
        return workers;
    std::ranges::copy_if(all->second, std::back_inserter(workers),
                         [this](const Worker *it) { return takesNewWork(*it); });
    return workers;
}

/// Whether runs may start on the worker, apart from a quarantine.
auto Steward::isOpen(const Worker &worker) const -> bool
{
    return isUsable(worker) && !worker.isDraining && worker.unknownRuns == 0;
}

auto Steward::acceptsRuns(const Worker &worker) const -> bool
{
    return isOpen(worker) && !isQuarantined(worker);
}

auto Steward::isKeptForSuspects(const Worker &worker) const -> bool
{
    return m_now < worker.suspectReservedUntil || hasRunUnderTest(worker);
}

/// Whether the worker accepts runs of tasks that aren't suspects.
auto Steward::takesNewWork(const Worker &worker) const -> bool
{
    return acceptsRuns(worker) && !isKeptForSuspects(worker);
}

/// Returns the quarantine of the worker's pool. Each pool has its own, as its tasks can't run on
/// the workers of others.
auto Steward::quarantineOf(const Worker &worker) -> Quarantine &
{
    return m_quarantines.try_emplace(worker.report.pool, m_settings.quarantine).first->second;
}

auto Steward::isQuarantined(const Worker &worker) const -> bool
{
    const auto it = m_quarantines.find(worker.report.pool);
    return it != m_quarantines.end()
        && it->second.isQuarantined(HostName(worker.report.name.value()), m_now);
}

/// Places the long-running tasks of a step that have waited for long on workers in quarantine. They
/// have no limit of attempts, and the worker may be sound again long before its quarantine ends.
auto Steward::placeOnQuarantined(const PoolName &pool, const Candidate &candidate) -> void
{
    auto workers = std::vector<Worker *>();
    std::ranges::copy_if(m_poolWorkers[pool], std::back_inserter(workers),
                         [this](const Worker *it) {
                             return isOpen(*it) && isQuarantined(*it) && !isKeptForSuspects(*it);
                         });
    for (auto &task : candidate.tasks()) {
        if (!mayPlace(task) || m_now < task.phaseSince + m_settings.quarantineOverrideDelay)
            continue;
        auto *worker = isWithinTeamLimit(task) ? chooseWorker(workers, task) : nullptr;
        if (worker == nullptr)
            return; // the tasks of a step are alike
        startTask(task, *worker);
    }
}

/// Whether a task fits on a worker that takes new work.
auto Steward::fits(const Worker &worker, const Task &task) const -> bool
{
    const auto isReserved = m_now < worker.reservedUntil && !task.spec().isLongRunning;
    return worker.freeResources().covers(task.spec().reservedResources()) && !isReserved
        && isAllowedOn(worker, task);
}

/// Whether the constraints of the task's step allow the worker.
auto Steward::isAllowedOn(const Worker &worker, const Task &task) const -> bool
{
    const auto &spec = task.spec();
    if (!hasLabel(worker.report, spec.requiredLabel))
        return false;
    const auto isSibling = [&task](const Task *it) {
        return it->job == task.job && it->step == task.step && it->occurrence == task.occurrence;
    };
    return spec.maxTasksPerWorker == 0
        || std::ranges::count_if(worker.runs, isSibling) < std::int64_t{spec.maxTasksPerWorker};
}

/// Returns the worker that the task is placed on, or null if it fits on none.
///
/// Avoids the worker of the last failed run, and new workers if the task has lost silent ones:
/// these tell less if they are lost as well. Then prefers the preferred rack of the step, then
/// keeps tasks on spare cores apart from tasks with a latency target, then avoids slow workers,
/// then takes the worker with the fewest free cores, so that other workers become idle and their
/// hosts can move to other pools.
auto Steward::chooseWorker(std::span<Worker *const> workers, const Task &task) const -> Worker *
{
    struct Score
    {
        bool isAvoided = false;
        bool isOutsideRack = false;
        bool isInterfering = false;
        bool isSlow = false;
        std::int64_t freeCores = 0;

        auto operator<=>(const Score &) const = default; // NOLINT(modernize-use-nullptr)
    };
    const auto &spec = task.spec();
    Worker *best = nullptr;
    auto bestScore = Score();
    for (auto *worker : workers) {
        if (!fits(*worker, task))
            continue;
        const auto hasLatencyTarget = [](const Task *it) {
            return it->spec().latencyTargetMilliseconds > 0;
        };
        const auto isOnSpareCores = [](const Task *it) { return it->spec().usesSpareCores; };
        auto score = Score();
        score.isAvoided = task.failedOn == worker->report.name
            || (!task.silentLosses.isEmpty() && isNew(*worker));
        score.isOutsideRack = !hasLabel(worker->report, spec.preferredRack);
        score.isInterfering = spec.usesSpareCores
            ? std::ranges::any_of(worker->runs, hasLatencyTarget)
            : spec.latencyTargetMilliseconds > 0
                && std::ranges::any_of(worker->runs, isOnSpareCores);
        score.isSlow = isSlow(*worker);
        score.freeCores = worker->freeResources().milliCores;
        if (best == nullptr || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

/// Preempts runs for the long-running tasks of a step that have waited for long, on one worker for
/// each task, as far as the limit of the team allows them to start. Tasks claim the workers that
/// are reserved already first.
auto Steward::makeRoom(const PoolName &pool, const Candidate &candidate, RoomClaims &claims) -> void
{
    auto &claimed = claims.resources[candidate.job->spec.team];
    for (const auto &task : candidate.occurrence->steps[candidate.step]) {
        const auto isWaiting = candidate.isOfSuspects ? mayPlaceSuspect(task) : mayPlace(task);
        if (!isWaiting || m_now < task.phaseSince + m_settings.preemptionDelay)
            continue;
        if (!isWithinTeamLimit(*candidate.job, task.stepId(), claimed))
            return;
        auto *worker = findReservedWorker(pool, task, claims);
        worker = worker == nullptr ? preemptFor(pool, task, claims) : worker;
        if (worker == nullptr)
            return; // the tasks of a step are alike
        claims.workers.insert(worker);
        claimed += task.spec().resources;
    }
}

/// Whether the worker is kept from other tasks for one like this.
auto Steward::isReservedFor(const Worker &worker, const Task &task) const -> bool
{
    return m_now < (task.crashes.isSuspect() ? worker.suspectReservedUntil : worker.reservedUntil);
}

/// Returns a worker that is reserved and where the task fits once the runs that are being stopped
/// have ended; null if all such workers are claimed by other tasks.
auto Steward::findReservedWorker(const PoolName &pool, const Task &task, const RoomClaims &claims)
    -> Worker *
{
    for (auto *worker : m_poolWorkers[pool]) {
        if (!isReservedFor(*worker, task) || claims.workers.contains(worker)
            || !isAllowedOn(*worker, task))
            continue;
        auto resources = worker->freeResources();
        for (const auto *run : worker->runs) {
            if (run->phase == TaskPhase::Stopping)
                resources += run->spec().reservedResources();
        }
        if (resources.covers(task.spec().reservedResources()))
            return worker;
    }
    return nullptr;
}

/// Whether runs on the worker may be preempted for the task. A suspect also takes a worker that is
/// reserved for suspects and that none of them fits on yet.
auto Steward::mayPreemptOn(const Worker &worker, const Task &task, const RoomClaims &claims) const
    -> bool
{
    if (m_now < worker.reservedUntil || !isAllowedOn(worker, task))
        return false;
    if (!task.crashes.isSuspect())
        return takesNewWork(worker);
    if (claims.workers.contains(&worker) || hasRunUnderTest(worker) || !acceptsRuns(worker))
        return false;
    return isReservedFor(worker, task) || mayReserveForSuspect(worker.report.pool, task);
}

/// Stops runs that aren't long-running on one worker so that a long-running task fits there.
/// Chooses the worker where the fewest runs have to be stopped, reserves it and returns it; null if
/// there is none.
auto Steward::preemptFor(const PoolName &pool, const Task &task, const RoomClaims &claims)
    -> Worker *
{
    Worker *best = nullptr;
    auto bestRuns = std::vector<Task *>();
    for (auto *worker : m_poolWorkers[pool]) {
        if (!mayPreemptOn(*worker, task, claims))
            continue;
        auto runs = std::vector<Task *>();
        std::ranges::copy_if(worker->runs, std::back_inserter(runs), [](const Task *it) {
            return !it->spec().isLongRunning && it->phase == TaskPhase::Running;
        });
        // The youngest runs lose the least work.
        std::ranges::sort(runs, std::ranges::greater(), &Task::phaseSince);
        auto resources = worker->freeResources();
        auto count = std::size_t{0};
        while (count < runs.size() && !resources.covers(task.spec().reservedResources()))
            resources += runs[count++]->spec().reservedResources();
        const auto isSufficient = resources.covers(task.spec().reservedResources());
        if (!isSufficient || count == 0 || (best != nullptr && count >= bestRuns.size()))
            continue;
        runs.resize(count);
        best = worker;
        bestRuns = std::move(runs);
    }
    if (best == nullptr)
        return nullptr;
    const auto reservedUntil = m_now + milliseconds(m_settings.pollWait * 2);
    if (task.crashes.isSuspect()) {
        best->suspectReservedUntil = reservedUntil;
    } else {
        best->reservedUntil = reservedUntil;
        best->reservedResources = task.spec().reservedResources();
    }
    for (auto *run : bestRuns)
        stopTask(*run);
    return best;
}

auto Steward::poolLoads() const -> std::optional<std::map<PoolName, PoolLoad>>
{
    if (m_isRecovering)
        return std::nullopt;
    auto loads = std::map<PoolName, PoolLoad>();
    for (const auto &[pool, accepted] : m_acceptedWork) {
        loads[pool].acceptedJobs = accepted.jobs;
        loads[pool].acceptedWork = accepted.work;
        loads[pool].acceptedSquares = accepted.squares;
    }
    for (const auto &[pool, workers] : m_poolWorkers) {
        loads[pool].hasCrashingTasks = hasCrashingTasks(pool);
        for (const auto *worker : workers) {
            loads[pool].used += worker->used;
            for (const auto *task : worker->runs) {
                if (task->spec().isLongRunning) {
                    loads[pool].longRunning += task->spec().reservedResources();
                } else if (task->job->deadline < m_now) {
                    loads[pool].lateUsed += task->spec().reservedResources();
                }
            }
        }
    }
    for (const auto &[number, job] : m_longRunningJobs) {
        auto &load = loads[poolOf(*job)];
        for (const auto &step : job->spec.steps) {
            if (step.isLongRunning && step.maxTasksPerWorker > 0) {
                load.minWorkers = std::max<std::size_t>(
                    load.minWorkers,
                    (step.taskCount + step.maxTasksPerWorker - 1) / step.maxTasksPerWorker);
            }
        }
    }
    for (const auto &[pool, backlog] : m_backlogs) {
        auto &load = loads[pool];
        const auto &suspects = backlog->suspects;
        const auto add = [this, &load, &suspects](const Candidate &it, Timeliness timeliness) {
            const auto &spec = it.spec();
            if (!mayFitAnyHost(spec))
                return;
            auto count = std::int64_t{it.occurrence->waitingTasks[it.step]};
            if (suspects.contains({it.job->number, it.occurrence->number, it.step})) {
                count -= std::ranges::count_if(it.tasks(), [](const Task &task) {
                    return task.phase == TaskPhase::Waiting && task.crashes.isCause();
                });
            }
            const auto waiting = spec.reservedResources() * count;
            load.waiting += waiting;
            if (spec.isLongRunning) {
                load.longRunning += waiting;
            } else if (timeliness != Timeliness::InTime) {
                load.lateWaiting += waiting;
            }
        };
        backlog->steps.forEach(add);
    }
    return loads;
}

} // namespace shallotproxy
