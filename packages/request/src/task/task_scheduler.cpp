#include "shallotproxy/request/task/task_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

#include "shallotproxy/request/task/overuse.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration LeaseRenewalInterval = 2s;
constexpr Duration OrderRetryInterval = 2s; // Before an order without an answer is sent again.
constexpr std::uint32_t MaxFailures = 3;
/// A run that its worker doesn't know after this many start orders has crashed the worker: a single
/// order may have been lost.
constexpr std::uint32_t MaxStartOrders = 2;
/// A run that has been active for this long has not crashed its worker at its start.
constexpr Duration EstablishTime = 6s;
/// After the second crash of its task, nothing is started beside a run for this long.
constexpr Duration IsolationTime = 30s;
/// At most one in this many workers is kept for suspects.
constexpr std::int64_t WorkersPerSuspect = 4;
/// A worker is kept free for a suspect for at most this long.
constexpr Duration SuspectReservation = 60s;
/// A run is sampled again when its usage exceeds its earlier peak by this factor.
constexpr double PeakGrowthFactor = 1.1;
constexpr std::size_t MaxWriteBatch = 32; // Records written in one transaction.
constexpr std::size_t MaxTasksPerRound = 512; // Waiting tasks considered in one placement round.

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

TaskScheduler::TaskScheduler(BootTime now)
    : m_now(now)
    , m_createdAt(now)
{ }

auto TaskScheduler::step(const SchedulerEvent &event, BootTime now) -> std::vector<SchedulerAction>
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &it) { handle(it); }, event);
    flushWrites();
    return std::move(m_actions);
}

auto TaskScheduler::quarantinedWorkers(BootTime now) const -> std::size_t
{
    return m_quarantine.quarantinedCount(now);
}

auto TaskScheduler::handle(const TasksRead &event) -> void
{
    auto present = std::set<TaskId>();
    for (const auto &it : event.tasks) {
        present.insert(it.record.id);
        auto [entry, isNew] = m_tasks.try_emplace(it.record.id);
        auto &task = entry->second;
        if (isNew) {
            task.firstSeen = m_now;
            // The previous steward sent the order after it had placed the task.
            task.startOrders = it.record.state == TaskState::Placed ? 1 : 0;
        }
        if (task.isWriting)
            continue;
        // A read that is older than the known version changes nothing.
        if (it.revision > task.version.revision)
            task.version = it;
        if (event.requestedAt >= task.unconfirmedSince)
            task.isUnconfirmed = false;
    }
    std::erase_if(m_tasks, [&](const auto &it) {
        const auto &task = it.second;
        return !present.contains(it.first) && !task.isWriting
            && event.requestedAt >= task.firstSeen;
    });
}

auto TaskScheduler::handle(const WorkersChanged &event) -> void
{
    auto names = std::set<HostName>();
    for (const auto &it : event.workers) {
        names.insert(it.host);
        auto [entry, isNew] = m_workers.try_emplace(it.host);
        entry->second.capacity = it;
        // The previous steward may have renewed the leases until just now.
        if (isNew) {
            entry->second.lastReplyAt = m_now;
            entry->second.lastRenewedAt = m_now;
        }
    }
    std::erase_if(m_workers, [&names](const auto &it) { return !names.contains(it.first); });
    m_quarantine.workersChanged(names);
}

auto TaskScheduler::handle(const TaskUnitsChanged &event) -> void
{
    m_units = event.units;
}

auto TaskScheduler::handle(const WorkerReported &event) -> void
{
    const auto worker = m_workers.find(event.host);
    if (worker == m_workers.end())
        return;
    worker->second.lastReplyAt = m_now;
    worker->second.hasAnswered = true;
    applyLostRuns(event, worker->second);
    for (const auto &it : event.runs) {
        const auto entry = m_tasks.find(it.run.task);
        if (entry != m_tasks.end() && isCurrentRun(entry->second, event.host, it.run))
            applyReport(entry->second, it);
    }
}

/// Whether the run is the one that the task's record refers to, and the record isn't being written.
auto TaskScheduler::isCurrentRun(const Task &task, const HostName &host, const RunId &run) const
    -> bool
{
    return task.version.record.host == host && run.epoch == task.version.runEpoch()
        && !task.isWriting && !task.isUnconfirmed;
}

/// Whether the worker has restarted since it got the run.
auto TaskScheduler::isLost(const Task &task, const RunReport &report) const -> bool
{
    const auto wasStarted = task.activeSince != BootTime() || task.startOrders >= MaxStartOrders;
    return report.state == RunState::Unknown && task.version.record.state == TaskState::Placed
        && wasStarted && m_now - task.lastOrderAt >= OrderRetryInterval;
}

auto TaskScheduler::isOnWorker(const Task &task) -> bool
{
    const auto state = task.version.record.state;
    return state == TaskState::Placed || state == TaskState::Cancelling;
}

/// Whether nothing else may start beside the run of the task.
auto TaskScheduler::isUnderTest(const Task &task) const -> bool
{
    const auto history = CrashHistory(task.version.record.crashedRuns);
    const auto testTime = history.needsIsolation() ? IsolationTime : EstablishTime;
    return history.isSuspect()
        && (task.activeSince == BootTime() || m_now < task.activeSince + testTime);
}

/// Attributes the restart of a worker to the runs that were lost there, and requeues their tasks. A
/// task that crashes its workers has failed.
auto TaskScheduler::applyLostRuns(const WorkerReported &event, const Worker &worker) -> void
{
    auto lost = std::vector<Task *>();
    auto runs = std::vector<RunAtCrash>();
    for (const auto &it : event.runs) {
        const auto entry = m_tasks.find(it.run.task);
        if (entry == m_tasks.end() || !isCurrentRun(entry->second, event.host, it.run)
            || !isLost(entry->second, it))
            continue;
        auto &task = entry->second;
        const auto isActive = task.activeSince != BootTime();
        lost.push_back(&task);
        runs.push_back({CrashHistory(task.version.record.crashedRuns).isSuspect(),
                        isActive && m_now >= task.activeSince + EstablishTime, isUnderTest(task)});
    }
    const auto evidence = attributeCrash(runs);
    for (std::size_t n = 0; n < lost.size(); ++n) {
        auto record = lost[n]->version.record;
        auto history = CrashHistory(record.crashedRuns);
        // A worker that is out of service was rebooted on purpose. A run without an answer was
        // ordered at least twice.
        if (evidence[n] && worker.capacity.acceptsWork)
            history.add(lost[n]->version.runEpoch(), *evidence[n], true);
        record.crashedRuns = history.runs();
        record.failedOn = event.host;
        record.state = history.isCause() ? TaskState::Failed : TaskState::Waiting;
        record.host = HostName();
        record.epoch = 0;
        enqueueWrite(*lost[n], std::move(record));
    }
}

/// Applies what a worker reports about the current run of a task.
auto TaskScheduler::applyReport(Task &task, const RunReport &report) -> void
{
    const auto &record = task.version.record;
    if (record.state != TaskState::Placed && record.state != TaskState::Cancelling)
        return;
    updateSizeEstimate(task, report);
    if (report.state == RunState::Running) {
        if (task.activeSince == BootTime())
            task.activeSince = m_now;
        if (record.state == TaskState::Cancelling && m_now - task.lastOrderAt >= OrderRetryInterval)
            orderRun(task, RunOrder::Stop);
        return;
    }
    if (report.state == RunState::Unknown) {
        if (m_now - task.lastOrderAt < OrderRetryInterval)
            return;
        // A worker that gets a stop for a run it doesn't know refuses a start that arrives later.
        if (record.state == TaskState::Cancelling) {
            orderRun(task, RunOrder::Stop);
        } else {
            startRun(task);
        }
        return;
    }
    applyRunEnd(task, report);
}

/// Feeds the size estimator once per run, as soon as usage is reported, since the estimate places
/// waiting tasks of the same kind. Peaks are used, because a run that is throttled later would give
/// a size that is too small; a run that exceeds its earlier peak is sampled again.
auto TaskScheduler::updateSizeEstimate(Task &task, const RunReport &report) -> void
{
    if (report.cores <= 0 && report.memoryBytes <= 0)
        return;
    task.cores = report.cores;
    task.memoryBytes = report.memoryBytes;
    const auto isLarger = report.cores > task.peakCores * PeakGrowthFactor
        || report.memoryBytes > task.peakMemoryBytes * PeakGrowthFactor;
    task.peakCores = std::max(task.peakCores, report.cores);
    task.peakMemoryBytes = std::max(task.peakMemoryBytes, report.memoryBytes);
    if (task.isSizeSampled && !isLarger)
        return;
    task.isSizeSampled = true;
    m_sizes.observe(task.version.record, task.peakCores, task.peakMemoryBytes);
}

/// Returns the resources that a task needs. A placed task whose usage is known needs its reported
/// cores and its peak memory; any other task needs the estimate for its kind.
auto TaskScheduler::demandOf(const Task &task, const TaskDemand &maxCapacity) const -> TaskDemand
{
    auto demand = m_sizes.estimate(task.version.record, maxCapacity);
    if (task.version.record.state == TaskState::Placed && task.peakMemoryBytes > 0) {
        demand.cores = static_cast<std::uint32_t>(std::ceil(task.cores));
        demand.memoryBytes = static_cast<std::uint64_t>(task.peakMemoryBytes);
    }
    return demand;
}

auto TaskScheduler::applyRunEnd(Task &task, const RunReport &report) -> void
{
    auto record = task.version.record;
    if (report.state == RunState::Done) {
        m_quarantine.runSucceeded(record.host, record.id);
        record.state = TaskState::Done;
        record.progress = 1;
        enqueueWrite(task, std::move(record));
        return;
    }
    if (record.state == TaskState::Cancelling) {
        record.state = TaskState::Cancelled;
        enqueueWrite(task, std::move(record));
        return;
    }
    if (report.state == RunState::Failed) {
        applyRunFailure(task);
        return;
    }
    if (report.state == RunState::Checkpointed) {
        task.version.record.progress = std::max(record.progress, report.progress);
        ++task.version.record.checkpoints;
    }
    requeue(task);
}

auto TaskScheduler::applyRunFailure(Task &task) -> void
{
    auto record = task.version.record;
    m_quarantine.runFailed(record.host, record.id, m_now);
    ++record.failures;
    record.failedOn = record.host;
    if (record.failures >= MaxFailures) {
        record.state = TaskState::Failed;
    } else {
        record.state = TaskState::Waiting;
        record.host = HostName();
    }
    enqueueWrite(task, std::move(record));
}

/// Returns a task whose run has ended without a result to the waiting tasks.
auto TaskScheduler::requeue(Task &task) -> void
{
    auto record = task.version.record;
    record.state = TaskState::Waiting;
    record.host = HostName();
    record.epoch = 0;
    enqueueWrite(task, std::move(record));
}

/// Enqueues a changed record. The task is left alone until the write is answered.
auto TaskScheduler::enqueueWrite(Task &task, TaskRecord record) -> void
{
    task.isWriting = true;
    task.isThrottled = false;
    m_writes.push_back({std::move(record), task.version.revision});
}

auto TaskScheduler::handle(const TasksWritten &event) -> void
{
    if (event.revision) {
        m_batchSize = std::min(m_batchSize * 2, MaxWriteBatch);
    } else {
        m_batchSize = std::max<std::size_t>(m_batchSize / 2, 1);
        m_actions.emplace_back(ReadTasks());
    }
    for (const auto &id : event.tasks) {
        const auto entry = m_tasks.find(id);
        if (entry == m_tasks.end())
            continue;
        auto &task = entry->second;
        task.isWriting = false;
        if (!event.revision) {
            task.isUnconfirmed = true;
            task.unconfirmedSince = m_now;
            continue;
        }
        const auto write =
            std::ranges::find(m_inFlight, id, [](const TaskWrite &it) { return it.record.id; });
        if (write != m_inFlight.end())
            task.version = {write->record, *event.revision};
        if (isEnded(task.version.record.state)) {
            m_tasks.erase(entry);
        } else if (task.version.record.state == TaskState::Placed) {
            task.cores = 0;
            task.memoryBytes = 0;
            task.peakCores = 0;
            task.peakMemoryBytes = 0;
            task.isSizeSampled = false;
            task.startOrders = 0;
            task.activeSince = {};
            startRun(task);
        }
    }
    std::erase_if(m_inFlight, [&event](const TaskWrite &it) {
        return std::ranges::find(event.tasks, it.record.id) != event.tasks.end();
    });
}

auto TaskScheduler::handle(const SchedulerTick & /*event*/) -> void
{
    renewLeases();
    endExpiredRuns();
    orderRunsOff();
    limitWorkerOveruse();
    placeSuspects();
    placeWaiting();
}

auto TaskScheduler::startRun(Task &task) -> void
{
    const auto &record = task.version.record;
    const auto worker = m_workers.find(record.host);
    if (worker == m_workers.end() || !worker->second.capacity.acceptsWork)
        return;
    worker->second.lastRenewedAt = m_now;
    task.lastOrderAt = m_now;
    ++task.startOrders;
    m_actions.emplace_back(StartRun{record.host, record, task.version.runEpoch()});
}

auto TaskScheduler::orderRun(Task &task, RunOrder order) -> void
{
    const auto &record = task.version.record;
    task.lastOrderAt = m_now;
    task.lastOrder = order;
    m_actions.emplace_back(OrderRun{record.host, {record.id, task.version.runEpoch()}, order});
}

auto TaskScheduler::isReachable(const Worker &worker) const -> bool
{
    return worker.hasAnswered && m_now - worker.lastReplyAt < UnresponsiveWorkerTimeout;
}

/// Renews the leases of all workers that answer. An unresponsive worker may still receive orders
/// while its answers are lost, so its leases are left to expire; otherwise its runs could never be
/// known to have ended.
auto TaskScheduler::renewLeases() -> void
{
    auto runs = std::map<HostName, std::vector<RunId>>();
    for (const auto &[id, task] : m_tasks) {
        const auto state = task.version.record.state;
        if ((state == TaskState::Placed || state == TaskState::Cancelling) && !task.isUnconfirmed)
            runs[task.version.record.host].push_back({id, task.version.runEpoch()});
    }
    for (auto &[name, worker] : m_workers) {
        if (m_now < worker.nextRenewalAt)
            continue;
        worker.nextRenewalAt = m_now + LeaseRenewalInterval;
        auto renewal = RenewRuns{name, {}};
        if (m_now - worker.lastReplyAt < UnresponsiveWorkerTimeout) {
            renewal.runs = std::move(runs[name]);
            worker.lastRenewedAt = m_now;
        }
        m_actions.emplace_back(std::move(renewal));
    }
}

/// Ends the runs whose lease has certainly expired: their tasks wait again or are cancelled.
auto TaskScheduler::endExpiredRuns() -> void
{
    for (auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (!isOnWorker(task) || task.isWriting || task.isUnconfirmed)
            continue;
        const auto worker = m_workers.find(record.host);
        const auto lastRenewedAt =
            worker == m_workers.end() ? m_createdAt : worker->second.lastRenewedAt;
        if (m_now - std::max(lastRenewedAt, task.lastOrderAt) <= RunLease + LeaseMargin)
            continue;
        if (record.state == TaskState::Cancelling) {
            auto next = record;
            next.state = TaskState::Cancelled;
            enqueueWrite(task, std::move(next));
        } else {
            requeue(task);
        }
    }
}

/// Stops runs that are being cancelled and checkpoints runs on workers that are out of service.
/// The order is also sent if the worker has not received the start yet: the worker then records
/// the epoch and refuses a start that arrives late.
auto TaskScheduler::orderRunsOff() -> void
{
    for (auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (task.isWriting || task.isUnconfirmed || m_now - task.lastOrderAt < OrderRetryInterval)
            continue;
        const auto worker = m_workers.find(record.host);
        if (worker == m_workers.end())
            continue;
        if (record.state == TaskState::Cancelling) {
            orderRun(task, RunOrder::Stop);
        } else if (record.state == TaskState::Placed && !worker->second.capacity.acceptsWork) {
            orderRun(task, RunOrder::Checkpoint);
        }
    }
}

/// Throttles or checkpoints runs on workers whose runs use more than the worker has.
auto TaskScheduler::limitWorkerOveruse() -> void
{
    auto runs = std::map<HostName, std::vector<RunUsage>>();
    const auto maxCapacity = maxWorkerCapacity();
    for (const auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (record.state != TaskState::Placed || task.cores <= 0)
            continue;
        runs[record.host].push_back({id, m_sizes.estimate(record, maxCapacity), task.cores,
                                     task.memoryBytes, record.isUrgent, task.isThrottled});
    }
    for (const auto &[host, usages] : runs) {
        const auto worker = m_workers.find(host);
        if (worker == m_workers.end())
            continue;
        for (const auto &it : limitOveruse(worker->second.capacity.capacity, usages)) {
            auto &task = m_tasks.at(it.task);
            if (task.isWriting || task.isUnconfirmed
                || m_now - task.lastOrderAt < OrderRetryInterval)
                continue;
            task.isThrottled = task.isThrottled || it.order == RunOrder::Throttle;
            orderRun(task, it.order);
        }
    }
}

/// Returns the largest cores, memory and accelerators of any worker, each taken separately.
auto TaskScheduler::maxWorkerCapacity() const -> TaskDemand
{
    auto maxCapacity = TaskDemand();
    for (const auto &[name, worker] : m_workers) {
        const auto &it = worker.capacity.capacity;
        maxCapacity.cores = std::max(maxCapacity.cores, it.cores);
        maxCapacity.memoryBytes = std::max(maxCapacity.memoryBytes, it.memoryBytes);
        maxCapacity.accelerators = std::max(maxCapacity.accelerators, it.accelerators);
    }
    return maxCapacity;
}

/// Returns all workers; those that are unreachable, in quarantine, or have a run under test accept
/// no work.
auto TaskScheduler::usableWorkers() const -> std::vector<WorkerCapacity>
{
    auto testingWorkers = std::set<HostName>();
    for (const auto &[id, task] : m_tasks) {
        if (isOnWorker(task) && isUnderTest(task))
            testingWorkers.insert(task.version.record.host);
    }
    for (const auto *record : recordsBeingPlaced()) {
        if (CrashHistory(record->crashedRuns).isSuspect())
            testingWorkers.insert(record->host);
    }
    auto workers = std::vector<WorkerCapacity>();
    for (const auto &[name, worker] : m_workers) {
        auto capacity = worker.capacity;
        capacity.acceptsWork = capacity.acceptsWork && isReachable(worker)
            && !m_quarantine.isQuarantined(name, m_now) && !testingWorkers.contains(name);
        workers.push_back(std::move(capacity));
    }
    return workers;
}

auto TaskScheduler::placedTasks() const -> std::vector<PlacedTask>
{
    const auto maxCapacity = maxWorkerCapacity();
    auto placed = std::vector<PlacedTask>();
    for (const auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (record.state != TaskState::Placed && record.state != TaskState::Cancelling)
            continue;
        const auto isStopping = record.state == TaskState::Cancelling
            || (task.lastOrder == RunOrder::Checkpoint
                && m_now - task.lastOrderAt < 2 * OrderRetryInterval);
        placed.push_back({id, record.team, record.host, demandOf(task, maxCapacity),
                          record.isUrgent, isStopping, record.checkpoints});
    }
    for (const auto *it : recordsBeingPlaced()) {
        placed.push_back({it->id, it->team, it->host, m_sizes.estimate(*it, maxCapacity),
                          it->isUrgent, false, it->checkpoints});
    }
    return placed;
}

/// Returns the records that place a task and whose write isn't answered yet. It may take effect, so
/// their resources are reserved until the answer is known.
auto TaskScheduler::recordsBeingPlaced() const -> std::vector<const TaskRecord *>
{
    auto records = std::vector<const TaskRecord *>();
    for (const auto *writes : {&m_inFlight, &m_writes}) {
        for (const auto &it : *writes) {
            if (it.record.state == TaskState::Placed)
                records.push_back(&it.record);
        }
    }
    return records;
}

auto TaskScheduler::waitingTasks() const -> std::vector<WaitingTask>
{
    const auto maxCapacity = maxWorkerCapacity();
    auto waiting = std::vector<WaitingTask>();
    for (const auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (record.state != TaskState::Waiting || task.isWriting || task.isUnconfirmed
            || CrashHistory(record.crashedRuns).isSuspect())
            continue;
        waiting.push_back({id, record.team, m_sizes.estimate(record, maxCapacity), record.isUrgent,
                           seconds(m_now - task.firstSeen), record.failedOn});
    }
    std::ranges::stable_sort(waiting, [](const auto &left, const auto &right) {
        return left.isUrgent != right.isUrgent ? left.isUrgent
                                               : left.waitedSeconds > right.waitedSeconds;
    });
    if (waiting.size() > MaxTasksPerRound)
        waiting.resize(MaxTasksPerRound);
    return waiting;
}

auto TaskScheduler::placeOn(Task &task, const HostName &host) -> void
{
    auto record = task.version.record;
    record.state = TaskState::Placed;
    record.host = host;
    record.epoch = 0;
    enqueueWrite(task, std::move(record));
}

/// Places waiting suspects until so many are under test that the others would lack workers.
auto TaskScheduler::placeSuspects() -> void
{
    auto tested = std::ranges::count_if(m_tasks, [this](const auto &it) {
        return (isOnWorker(it.second) || it.second.isWriting) && isUnderTest(it.second);
    });
    const auto maxTested =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(m_workers.size()) / WorkersPerSuspect);
    for (auto &[id, task] : m_tasks) {
        const auto isWaiting = task.version.record.state == TaskState::Waiting && !task.isWriting
            && !task.isUnconfirmed;
        if (!isWaiting || !CrashHistory(task.version.record.crashedRuns).isSuspect())
            continue;
        if (tested >= maxTested)
            return;
        placeSuspect(task);
        ++tested;
    }
}

/// Places the suspect on a worker without other tasks; if there is none, keeps new tasks off the
/// one with the fewest.
auto TaskScheduler::placeSuspect(Task &task) -> void
{
    const auto placed = placedTasks();
    const auto &record = task.version.record;
    const auto units = m_units.find(record.team);
    const auto usedByTeam = std::ranges::count(placed, record.team, &PlacedTask::team);
    if (units != m_units.end() && usedByTeam >= std::int64_t{units->second})
        return;
    const auto isReserved = m_now < m_reservedUntil;
    const auto demand = m_sizes.estimate(record, maxWorkerCapacity());
    const WorkerCapacity *best = nullptr;
    auto bestCount = std::ptrdiff_t{0};
    const auto workers = usableWorkers();
    for (const auto &it : workers) {
        if (!it.acceptsWork || !fitsInto(demand, it.capacity))
            continue;
        const auto count = std::ranges::count(placed, it.host, &PlacedTask::host);
        if (best == nullptr || count < bestCount) {
            best = &it;
            bestCount = count;
        }
    }
    if (best == nullptr)
        return;
    if (bestCount == 0) {
        if (best->host == m_reservedWorker)
            m_reservedUntil = m_now;
        placeOn(task, best->host);
    } else if (!isReserved) {
        m_reservedWorker = best->host;
        m_reservedUntil = m_now + SuspectReservation;
    }
}

/// Places waiting tasks within the limits of their teams, and orders the checkpoints that make
/// resources available for urgent ones.
auto TaskScheduler::placeWaiting() -> void
{
    const auto waiting = waitingTasks();
    if (waiting.empty())
        return;
    auto workers = usableWorkers();
    for (auto &it : workers) {
        const auto isReserved = m_now < m_reservedUntil && it.host == m_reservedWorker;
        it.acceptsWork = it.acceptsWork && !isReserved;
    }
    const auto placed = placedTasks();
    auto used = std::map<TeamName, std::uint32_t>();
    for (const auto &it : placed)
        ++used[it.team];
    const auto decision = choosePlacements(workers, placed, waiting);
    for (const auto &it : decision.starts) {
        auto &task = m_tasks.at(it.task);
        const auto &record = task.version.record;
        const auto units = m_units.find(record.team);
        if (units != m_units.end() && used[record.team] >= units->second)
            continue;
        ++used[record.team];
        placeOn(task, it.host);
    }
    for (const auto &it : decision.checkpoints) {
        auto &task = m_tasks.at(it);
        if (!task.isWriting && !task.isUnconfirmed
            && m_now - task.lastOrderAt >= OrderRetryInterval)
            orderRun(task, RunOrder::Checkpoint);
    }
}

/// Sends the pending writes in batches of the current size, which TasksWritten adapts.
auto TaskScheduler::flushWrites() -> void
{
    const auto pending = std::span<const TaskWrite>(m_writes);
    for (std::size_t i = 0; i < pending.size(); i += m_batchSize) {
        const auto batch = pending.subspan(i, std::min(m_batchSize, pending.size() - i));
        auto writes = std::vector<TaskWrite>(batch.begin(), batch.end());
        m_inFlight.insert(m_inFlight.end(), writes.begin(), writes.end());
        m_actions.emplace_back(WriteTasks{std::move(writes)});
    }
    m_writes.clear();
}

} // namespace shallotproxy
