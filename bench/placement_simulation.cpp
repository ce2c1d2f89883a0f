#include "placement_simulation.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace shallotproxy::bench {

namespace {

constexpr double TickSeconds = 0.25;
constexpr double UsageReportLagSeconds = 2; // a run reports no usage before
constexpr double StoreWriteSeconds = 0.01; // from the start of a write to its completion

auto bootTime(double seconds) -> BootTime
{
    constexpr double StartSeconds = 3'600;
    return BootTime(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(StartSeconds + seconds)));
}

} // namespace

auto drawArrivals(const Configuration &configuration, const PoolName &pool, double seconds,
                  double load, std::uint32_t seed) -> std::vector<Arrival>
{
    constexpr auto Kinds = 4;
    constexpr double UrgentFraction = 0.15;
    constexpr double RegularTaskSeconds = 240;
    constexpr double UrgentTaskSeconds = 20;
    auto random = std::mt19937(seed);
    auto factor = std::uniform_real_distribution<double>(0.5, 4);
    auto uniform = std::uniform_real_distribution<double>(0, 1);
    auto cores = 0.0;
    auto maxCores = std::uint32_t{0};
    auto memory = std::uint64_t{0};
    for (const auto &[name, host] : configuration.hosts) {
        if (host.pool == pool && host.role == HostRole::Worker) {
            cores += host.cores;
            maxCores = std::max(maxCores, host.cores);
            memory = std::max(memory, host.memoryBytes);
        }
    }
    // The ratio of actual to declared needs depends on the team and the kind of task.
    auto factors = std::map<std::pair<TeamName, int>, std::pair<double, double>>();
    auto teams = std::vector<TeamName>();
    for (const auto &[name, team] : configuration.teams) {
        teams.push_back(name);
        for (auto kind = 0; kind < Kinds; ++kind)
            factors[{name, kind}] = {factor(random), factor(random)};
    }
    auto arrivals = std::vector<Arrival>();
    auto neededCoreSeconds = 0.0;
    for (auto number = 0; neededCoreSeconds < load * cores * seconds; ++number) {
        auto it = Arrival();
        const auto &team = teams[random() % teams.size()];
        const auto kind = static_cast<int>(random() % Kinds);
        it.record.isUrgent = uniform(random) < UrgentFraction;
        it.record.id =
            TaskId(pool.value() + "." + std::to_string(seed) + "-" + std::to_string(number));
        it.record.pool = pool;
        it.record.team = team;
        it.record.kind = "kind-" + std::to_string(kind);
        const auto limit = std::max(1U, maxCores / 4);
        it.record.declared.cores = 1 + static_cast<std::uint32_t>(random() % limit);
        it.record.declared.memoryBytes = static_cast<std::uint64_t>(
            static_cast<double>(memory) * (0.01 + 0.1 * uniform(random)));
        const auto &[coreFactor, memoryFactor] = factors[{team, kind}];
        const auto noise = 0.9 + 0.2 * uniform(random);
        it.cores =
            std::min(static_cast<double>(maxCores), it.record.declared.cores * coreFactor * noise);
        it.memoryBytes =
            std::min(static_cast<double>(memory) * 0.95,
                     static_cast<double>(it.record.declared.memoryBytes) * memoryFactor * noise);
        const auto declared = it.record.isUrgent ? UrgentTaskSeconds : RegularTaskSeconds;
        it.record.expectedSeconds = static_cast<std::uint32_t>(declared);
        it.workSeconds = declared * factor(random) / 2;
        neededCoreSeconds += it.cores * it.workSeconds;
        arrivals.push_back(std::move(it));
    }
    // Some tasks wait from the start; the others arrive evenly over the whole time.
    constexpr double InitialFraction = 0.25;
    for (auto &it : arrivals) {
        it.arrivalSeconds =
            std::max(0.0, (uniform(random) - InitialFraction) / (1 - InitialFraction)) * seconds;
    }
    std::ranges::sort(arrivals, {}, &Arrival::arrivalSeconds);
    return arrivals;
}

PlacementSimulation::PlacementSimulation(const Configuration &configuration, const PoolName &pool,
                                         std::vector<Arrival> arrivals, PlacementRule rule,
                                         bool hasBlackHole)
    : m_rule(rule)
{
    for (const auto &[name, host] : configuration.hosts) {
        if (host.pool == pool && host.role == HostRole::Worker) {
            m_workers.push_back(
                {name, host.dataCentre, {host.cores, host.memoryBytes, host.accelerators}, true});
        }
    }
    if (hasBlackHole)
        m_blackHole = m_workers.front().host;
    for (auto &it : arrivals) {
        m_arrivalOrder.push_back(it.record.id);
        auto id = it.record.id;
        m_arrivals.emplace(std::move(id), std::move(it));
    }
    m_scheduler = std::make_unique<TaskScheduler>(bootTime(0));
    m_scheduler->step(WorkersChanged{m_workers}, bootTime(0));
}

auto PlacementSimulation::run(double seconds) -> PlacementOutcome
{
    auto capacity = 0.0;
    for (const auto &it : m_workers)
        capacity += it.host == m_blackHole ? 0 : it.capacity.cores;
    while (m_now < seconds) {
        m_now += TickSeconds;
        addArrivals();
        advanceRuns();
        stopRunsOutOfMemory();
        if (m_rule == PlacementRule::Scheduler) {
            auto read = TasksRead{{}, bootTime(m_now)};
            for (const auto &[id, version] : m_records)
                read.tasks.push_back(version);
            stepScheduler(read);
            stepScheduler(SchedulerTick());
            if (m_quarantinedAt < 0 && m_scheduler->quarantinedWorkers(bootTime(m_now)) > 0)
                m_quarantinedAt = m_now;
        } else {
            placeFirstFit();
        }
    }
    for (const auto &[id, run] : m_runs) {
        const auto isProgressKept = run.state == RunState::Running || run.state == RunState::Done;
        const auto progress = isProgressKept ? run.progress : m_progress[id];
        m_outcome.utilization += progress * run.arrival->cores * run.arrival->workSeconds;
    }
    m_outcome.utilization /= capacity * seconds;
    if (m_firstFailureAt >= 0) {
        m_outcome.blackHoleSeconds =
            (m_quarantinedAt < 0 ? m_now : m_quarantinedAt) - m_firstFailureAt;
    }
    return m_outcome;
}

auto PlacementSimulation::addArrivals() -> void
{
    while (m_nextArrival < m_arrivalOrder.size()
           && m_arrivals.at(m_arrivalOrder[m_nextArrival]).arrivalSeconds <= m_now) {
        const auto &id = m_arrivalOrder[m_nextArrival++];
        m_records[id] = {m_arrivals.at(id).record, ++m_revision};
    }
}

auto PlacementSimulation::advanceRuns() -> void
{
    auto usedCores = std::map<HostName, double>();
    for (const auto &[id, run] : m_runs) {
        if (run.state == RunState::Running)
            usedCores[run.host] += run.arrival->cores * (run.isThrottled ? 0.5 : 1);
    }
    auto cores = std::map<HostName, double>();
    for (const auto &it : m_workers)
        cores[it.host] = it.capacity.cores;
    for (auto &[id, run] : m_runs) {
        if (run.state != RunState::Running)
            continue;
        // A worker whose runs need more cores than it has slows all of them down alike.
        const auto speed =
            std::min(1.0, cores[run.host] / usedCores[run.host]) * (run.isThrottled ? 0.5 : 1);
        run.progress += TickSeconds * speed / run.arrival->workSeconds;
        if (run.progress < 1)
            continue;
        run.state = RunState::Done;
        run.progress = 1;
        m_progress[id] = 1;
        ++m_outcome.done;
    }
}

/// Stops the newest run of each worker that is out of memory. The work of the run since its last
/// checkpoint is lost.
auto PlacementSimulation::stopRunsOutOfMemory() -> void
{
    for (const auto &worker : m_workers) {
        auto memory = 0.0;
        Run *newest = nullptr;
        for (auto &[id, run] : m_runs) {
            if (run.state != RunState::Running || run.host != worker.host)
                continue;
            memory += run.arrival->memoryBytes;
            if (newest == nullptr || run.started > newest->started)
                newest = &run;
        }
        if (memory <= static_cast<double>(worker.capacity.memoryBytes) || newest == nullptr)
            continue;
        // The scheduler can react only after the lag of the usage report, while a real worker may
        // run out of memory sooner.
        if (m_now - newest->started < UsageReportLagSeconds)
            continue;
        newest->state = RunState::Stopped;
        ++m_outcome.stopped;
    }
}

auto PlacementSimulation::report(const RunId &id) -> RunReport
{
    const auto it = m_runs.find(id.task);
    if (it == m_runs.end() || it->second.epoch != id.epoch)
        return {id, RunState::Unknown, 0, 0, 0};
    const auto &run = it->second;
    const auto isUsageReported = m_now - run.started >= UsageReportLagSeconds;
    return {id, run.state, run.progress, isUsageReported ? run.arrival->cores : 0,
            isUsageReported ? run.arrival->memoryBytes : 0};
}

auto PlacementSimulation::start(const TaskRecord &record, const HostName &host, TaskEpoch epoch)
    -> RunReport
{
    const auto latest = m_runs.find(record.id);
    if (latest != m_runs.end() && latest->second.epoch >= epoch)
        return report({record.id, epoch});
    const auto &arrival = m_arrivals.at(record.id);
    auto run =
        Run{&arrival, host, epoch, RunState::Running, m_now, m_progress[record.id], 1, false};
    if (host == m_blackHole) {
        run.state = RunState::Failed;
        ++m_outcome.blackHoleRuns;
        if (m_firstFailureAt < 0)
            m_firstFailureAt = m_now;
    }
    if (record.isUrgent && run.state == RunState::Running
        && !std::exchange(m_hasStarted[record.id], true)) {
        m_outcome.urgentWaits.push_back(m_now + StoreWriteSeconds - arrival.arrivalSeconds);
    }
    m_runs[record.id] = run;
    return report({record.id, epoch});
}

auto PlacementSimulation::write(const WriteTasks &order) -> void
{
    ++m_revision;
    auto written = TasksWritten{{}, m_revision};
    for (const auto &it : order.writes) {
        written.tasks.push_back(it.record.id);
        if (isEnded(it.record.state)) {
            m_records.erase(it.record.id);
        } else {
            m_records[it.record.id] = {it.record, m_revision};
        }
    }
    stepScheduler(written);
}

auto PlacementSimulation::stepScheduler(const SchedulerEvent &event) -> void
{
    for (const auto &it : m_scheduler->step(event, bootTime(m_now)))
        perform(it);
}

auto PlacementSimulation::perform(const SchedulerAction &action) -> void
{
    if (const auto *it = std::get_if<WriteTasks>(&action))
        write(*it);
    if (const auto *it = std::get_if<StartRun>(&action))
        stepScheduler(WorkerReported{it->host, {start(it->record, it->host, it->epoch)}});
    if (const auto *it = std::get_if<RenewRuns>(&action)) {
        auto reports = std::vector<RunReport>();
        for (const auto &run : it->runs)
            reports.push_back(report(run));
        stepScheduler(WorkerReported{it->host, std::move(reports)});
    }
    if (const auto *it = std::get_if<OrderRun>(&action)) {
        const auto run = m_runs.find(it->run.task);
        if (run == m_runs.end() || run->second.state != RunState::Running)
            return;
        if (it->order == RunOrder::Throttle) {
            run->second.isThrottled = true;
        } else {
            run->second.state = RunState::Checkpointed;
            m_progress[it->run.task] = run->second.progress;
            ++m_outcome.checkpointed;
        }
        stepScheduler(WorkerReported{it->host, {report(it->run)}});
    }
}

/// Places tasks by the baseline rule: in arrival order, on the first worker with enough free
/// declared resources, without correcting the declared sizes.
auto PlacementSimulation::placeFirstFit() -> void
{
    for (auto &[id, run] : m_runs) {
        if (run.state == RunState::Done) {
            m_records.erase(id);
        } else if (run.state != RunState::Running && m_records.contains(id)) {
            m_records.at(id).record.state = TaskState::Waiting;
        }
    }
    auto freeResources = std::map<HostName, TaskDemand>();
    for (const auto &it : m_workers)
        freeResources[it.host] = it.capacity;
    for (const auto &[id, run] : m_runs) {
        if (run.state != RunState::Running)
            continue;
        const auto &declared = run.arrival->record.declared;
        freeResources[run.host].cores -= std::min(freeResources[run.host].cores, declared.cores);
        freeResources[run.host].memoryBytes -=
            std::min(freeResources[run.host].memoryBytes, declared.memoryBytes);
    }
    for (std::size_t i = 0; i < m_nextArrival; ++i) {
        const auto entry = m_records.find(m_arrivalOrder[i]);
        if (entry == m_records.end() || entry->second.record.state != TaskState::Waiting)
            continue;
        auto &record = entry->second.record;
        const auto worker = std::ranges::find_if(m_workers, [&](const auto &it) {
            return fitsInto(record.declared, freeResources[it.host]);
        });
        if (worker == m_workers.end())
            break; // the first task that does not fit blocks all later ones
        record.state = TaskState::Placed;
        freeResources[worker->host].cores -= record.declared.cores;
        freeResources[worker->host].memoryBytes -= record.declared.memoryBytes;
        const auto state = start(record, worker->host, static_cast<TaskEpoch>(++m_revision)).state;
        if (state == RunState::Failed)
            record.state = TaskState::Waiting;
    }
}

} // namespace shallotproxy::bench
