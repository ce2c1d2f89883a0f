#include "shallotproxy/request/task/task_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

#include "shallotproxy/request/task/overuse.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration RenewInterval = 2s;
constexpr Duration RepeatOrder = 2s; // until an order that got no answer is sent again
constexpr std::uint32_t MostFailures = 3;
constexpr double LargerUse = 1.1; // than was seen before, to be learnt from again
constexpr std::size_t LargestBatch = 32; // writes in one transaction
constexpr std::size_t MostConsidered = 512; // waiting tasks in one round

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

TaskScheduler::TaskScheduler(BootTime now)
    : m_now(now)
    , m_begun(now)
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
        if (isNew)
            task.seen = m_now;
        if (task.isWriting)
            continue;
        // A read that is older than what is held changes nothing.
        if (it.revision > task.version.revision)
            task.version = it;
        if (event.begun >= task.uncertainSince)
            task.isUncertain = false;
    }
    std::erase_if(m_tasks, [&](const auto &it) {
        const auto &task = it.second;
        return !present.contains(it.first) && !task.isWriting && event.begun >= task.seen;
    });
}

auto TaskScheduler::handle(const WorkersChanged &event) -> void
{
    auto names = std::set<HostName>();
    for (const auto &it : event.workers) {
        names.insert(it.host);
        auto [entry, isNew] = m_workers.try_emplace(it.host);
        entry->second.capacity = it;
        // An earlier steward may have renewed the leases until just now.
        if (isNew) {
            entry->second.heard = m_now;
            entry->second.renewed = m_now;
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
    worker->second.heard = m_now;
    worker->second.hasAnswered = true;
    for (const auto &it : event.runs) {
        const auto entry = m_tasks.find(it.run.task);
        if (entry == m_tasks.end())
            continue;
        auto &task = entry->second;
        const auto &record = task.version.record;
        const auto isOurs = record.host == event.host && it.run.epoch == task.version.runEpoch();
        if (isOurs && !task.isWriting && !task.isUncertain)
            applyReport(task, it);
    }
}

auto TaskScheduler::applyReport(Task &task, const RunReport &report) -> void
{
    const auto &record = task.version.record;
    if (record.state != TaskState::Placed && record.state != TaskState::Cancelling)
        return;
    learnSize(task, report);
    if (report.state == RunState::Running) {
        if (record.state == TaskState::Cancelling && m_now - task.ordered >= RepeatOrder)
            orderRun(task, RunOrder::Stop);
        return;
    }
    if (report.state == RunState::Unknown) {
        if (m_now - task.ordered < RepeatOrder)
            return;
        // A worker that is told to stop a run it never heard of refuses the start if it comes late.
        if (record.state == TaskState::Cancelling) {
            orderRun(task, RunOrder::Stop);
        } else {
            startRun(task);
        }
        return;
    }
    runEnded(task, report);
}

// Once per run, as soon as its use is seen: tasks of its kind that wait are placed by it. A run
// that was throttled, or used more than at first, would teach a size that is too small.
auto TaskScheduler::learnSize(Task &task, const RunReport &report) -> void
{
    if (report.cores <= 0 && report.memoryBytes <= 0)
        return;
    task.cores = report.cores;
    task.memoryBytes = report.memoryBytes;
    const auto isLarger = report.cores > task.peakCores * LargerUse
        || report.memoryBytes > task.peakMemoryBytes * LargerUse;
    task.peakCores = std::max(task.peakCores, report.cores);
    task.peakMemoryBytes = std::max(task.peakMemoryBytes, report.memoryBytes);
    if (task.isObserved && !isLarger)
        return;
    task.isObserved = true;
    m_sizes.observe(task.version.record, task.peakCores, task.peakMemoryBytes);
}

// A run whose use is seen needs that, whatever its kind needs.
auto TaskScheduler::demandOf(const Task &task, const TaskDemand &largest) const -> TaskDemand
{
    auto demand = m_sizes.estimate(task.version.record, largest);
    if (task.version.record.state == TaskState::Placed && task.peakMemoryBytes > 0) {
        demand.cores = static_cast<std::uint32_t>(std::ceil(task.cores));
        demand.memoryBytes = static_cast<std::uint64_t>(task.peakMemoryBytes);
    }
    return demand;
}

auto TaskScheduler::runEnded(Task &task, const RunReport &report) -> void
{
    auto record = task.version.record;
    if (report.state == RunState::Done) {
        m_quarantine.runSucceeded(record.host, record.id);
        record.state = TaskState::Done;
        record.progress = 1;
        change(task, std::move(record));
        return;
    }
    if (record.state == TaskState::Cancelling) {
        record.state = TaskState::Cancelled;
        change(task, std::move(record));
        return;
    }
    if (report.state == RunState::Failed) {
        runFailed(task);
        return;
    }
    if (report.state == RunState::Checkpointed) {
        task.version.record.progress = std::max(record.progress, report.progress);
        ++task.version.record.checkpoints;
    }
    backToWaiting(task);
}

auto TaskScheduler::runFailed(Task &task) -> void
{
    auto record = task.version.record;
    m_quarantine.runFailed(record.host, record.id, m_now);
    ++record.failures;
    record.failedOn = record.host;
    if (record.failures >= MostFailures) {
        record.state = TaskState::Failed;
    } else {
        record.state = TaskState::Waiting;
        record.host = HostName();
    }
    change(task, std::move(record));
}

auto TaskScheduler::backToWaiting(Task &task) -> void
{
    auto record = task.version.record;
    record.state = TaskState::Waiting;
    record.host = HostName();
    record.epoch = 0;
    change(task, std::move(record));
}

auto TaskScheduler::change(Task &task, TaskRecord record) -> void
{
    task.isWriting = true;
    task.isThrottled = false;
    m_writes.push_back({std::move(record), task.version.revision});
}

auto TaskScheduler::handle(const TasksWritten &event) -> void
{
    if (event.revision) {
        m_batchSize = std::min(m_batchSize * 2, LargestBatch);
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
            task.isUncertain = true;
            task.uncertainSince = m_now;
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
            task.isObserved = false;
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
    takeLapsedRuns();
    moveOffWorkers();
    relieveWorkers();
    placeWaiting();
}

auto TaskScheduler::startRun(Task &task) -> void
{
    const auto &record = task.version.record;
    const auto worker = m_workers.find(record.host);
    if (worker == m_workers.end() || !worker->second.capacity.acceptsWork)
        return;
    worker->second.renewed = m_now;
    task.ordered = m_now;
    m_actions.emplace_back(StartRun{record.host, record, task.version.runEpoch()});
}

auto TaskScheduler::orderRun(Task &task, RunOrder order) -> void
{
    const auto &record = task.version.record;
    task.ordered = m_now;
    task.lastOrder = order;
    m_actions.emplace_back(OrderRun{record.host, {record.id, task.version.runEpoch()}, order});
}

auto TaskScheduler::isReachable(const Worker &worker) const -> bool
{
    return worker.hasAnswered && m_now - worker.heard < WorkerSilence;
}

// A worker may hear us while its answers are lost. So leases of a silent worker are renewed no
// more; otherwise its runs would never be known to have ended.
auto TaskScheduler::renewLeases() -> void
{
    auto runs = std::map<HostName, std::vector<RunId>>();
    for (const auto &[id, task] : m_tasks) {
        const auto state = task.version.record.state;
        if ((state == TaskState::Placed || state == TaskState::Cancelling) && !task.isUncertain)
            runs[task.version.record.host].push_back({id, task.version.runEpoch()});
    }
    for (auto &[name, worker] : m_workers) {
        if (m_now < worker.nextRenewal)
            continue;
        worker.nextRenewal = m_now + RenewInterval;
        auto renewal = RenewRuns{name, {}};
        if (m_now - worker.heard < WorkerSilence) {
            renewal.runs = std::move(runs[name]);
            worker.renewed = m_now;
        }
        m_actions.emplace_back(std::move(renewal));
    }
}

auto TaskScheduler::takeLapsedRuns() -> void
{
    for (auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        const auto isOnWorker =
            record.state == TaskState::Placed || record.state == TaskState::Cancelling;
        if (!isOnWorker || task.isWriting || task.isUncertain)
            continue;
        const auto worker = m_workers.find(record.host);
        const auto renewed = worker == m_workers.end() ? m_begun : worker->second.renewed;
        if (m_now - std::max(renewed, task.ordered) <= RunLease + LeaseMargin)
            continue;
        if (record.state == TaskState::Cancelling) {
            auto next = record;
            next.state = TaskState::Cancelled;
            change(task, std::move(next));
        } else {
            backToWaiting(task);
        }
    }
}

// Also when the worker has not been told to start yet: the order leaves the epoch behind there, so
// that a start that comes late is refused.
auto TaskScheduler::moveOffWorkers() -> void
{
    for (auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (task.isWriting || task.isUncertain || m_now - task.ordered < RepeatOrder)
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

auto TaskScheduler::relieveWorkers() -> void
{
    auto runs = std::map<HostName, std::vector<RunUsage>>();
    const auto largest = largestWorker();
    for (const auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (record.state != TaskState::Placed || task.cores <= 0)
            continue;
        runs[record.host].push_back({id, m_sizes.estimate(record, largest), task.cores,
                                     task.memoryBytes, record.isUrgent, task.isThrottled});
    }
    for (const auto &[host, usages] : runs) {
        const auto worker = m_workers.find(host);
        if (worker == m_workers.end())
            continue;
        for (const auto &it : relieveWorker(worker->second.capacity.capacity, usages)) {
            auto &task = m_tasks.at(it.task);
            if (task.isWriting || task.isUncertain || m_now - task.ordered < RepeatOrder)
                continue;
            task.isThrottled = task.isThrottled || it.order == RunOrder::Throttle;
            orderRun(task, it.order);
        }
    }
}

auto TaskScheduler::largestWorker() const -> TaskDemand
{
    auto largest = TaskDemand();
    for (const auto &[name, worker] : m_workers) {
        const auto &it = worker.capacity.capacity;
        largest.cores = std::max(largest.cores, it.cores);
        largest.memoryBytes = std::max(largest.memoryBytes, it.memoryBytes);
        largest.accelerators = std::max(largest.accelerators, it.accelerators);
    }
    return largest;
}

auto TaskScheduler::usableWorkers() const -> std::vector<WorkerCapacity>
{
    auto workers = std::vector<WorkerCapacity>();
    for (const auto &[name, worker] : m_workers) {
        auto capacity = worker.capacity;
        capacity.acceptsWork =
            capacity.acceptsWork && isReachable(worker) && !m_quarantine.isQuarantined(name, m_now);
        workers.push_back(std::move(capacity));
    }
    return workers;
}

auto TaskScheduler::placedTasks() const -> std::vector<PlacedTask>
{
    const auto largest = largestWorker();
    auto placed = std::vector<PlacedTask>();
    for (const auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (record.state != TaskState::Placed && record.state != TaskState::Cancelling)
            continue;
        const auto isLeaving = record.state == TaskState::Cancelling
            || (task.lastOrder == RunOrder::Checkpoint && m_now - task.ordered < 2 * RepeatOrder);
        placed.push_back({id, record.team, record.host, demandOf(task, largest), record.isUrgent,
                          isLeaving, record.checkpoints});
    }
    // A write under way may place a task: its room is taken until the answer is known.
    for (const auto &it : m_inFlight) {
        if (it.record.state == TaskState::Placed) {
            placed.push_back({it.record.id, it.record.team, it.record.host,
                              m_sizes.estimate(it.record, largest), it.record.isUrgent, false,
                              it.record.checkpoints});
        }
    }
    return placed;
}

auto TaskScheduler::waitingTasks() const -> std::vector<WaitingTask>
{
    const auto largest = largestWorker();
    auto waiting = std::vector<WaitingTask>();
    for (const auto &[id, task] : m_tasks) {
        const auto &record = task.version.record;
        if (record.state != TaskState::Waiting || task.isWriting || task.isUncertain)
            continue;
        waiting.push_back({id, record.team, m_sizes.estimate(record, largest), record.isUrgent,
                           seconds(m_now - task.seen), record.failedOn});
    }
    std::ranges::stable_sort(waiting, [](const auto &left, const auto &right) {
        return left.isUrgent != right.isUrgent ? left.isUrgent
                                               : left.waitedSeconds > right.waitedSeconds;
    });
    if (waiting.size() > MostConsidered)
        waiting.resize(MostConsidered);
    return waiting;
}

auto TaskScheduler::placeWaiting() -> void
{
    const auto waiting = waitingTasks();
    if (waiting.empty())
        return;
    const auto workers = usableWorkers();
    const auto placed = placedTasks();
    auto used = std::map<TeamName, std::uint32_t>();
    for (const auto &it : placed)
        ++used[it.team];
    const auto decision = choosePlacements(workers, placed, waiting);
    for (const auto &it : decision.starts) {
        auto &task = m_tasks.at(it.task);
        auto record = task.version.record;
        const auto units = m_units.find(record.team);
        if (units != m_units.end() && used[record.team] >= units->second)
            continue;
        ++used[record.team];
        record.state = TaskState::Placed;
        record.host = it.host;
        record.epoch = 0;
        change(task, std::move(record));
    }
    for (const auto &it : decision.checkpoints) {
        auto &task = m_tasks.at(it);
        if (!task.isWriting && !task.isUncertain && m_now - task.ordered >= RepeatOrder)
            orderRun(task, RunOrder::Checkpoint);
    }
}

auto TaskScheduler::flushWrites() -> void
{
    const auto all = std::span<const TaskWrite>(m_writes);
    for (std::size_t i = 0; i < all.size(); i += m_batchSize) {
        const auto part = all.subspan(i, std::min(m_batchSize, all.size() - i));
        auto writes = std::vector<TaskWrite>(part.begin(), part.end());
        m_inFlight.insert(m_inFlight.end(), writes.begin(), writes.end());
        m_actions.emplace_back(WriteTasks{std::move(writes)});
    }
    m_writes.clear();
}

} // namespace shallotproxy
