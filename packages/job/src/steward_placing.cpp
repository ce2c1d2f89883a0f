#include <algorithm>

#include "shallotproxy/job/waiting_order.hpp"
#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

/// Whether `label` is among the worker's labels; an empty one always is.
auto hasLabel(const WorkerReport &report, const std::string &label) -> bool
{
    return label.empty() || std::ranges::find(report.labels, label) != report.labels.end();
}

/// Whether the step may not fit although its room is free.
auto isPicky(const StepSpec &step) -> bool
{
    return step.maxTasksPerWorker > 0 || !step.requiredLabel.empty();
}

} // namespace

struct Steward::Candidate
{
    Job *job = nullptr;
    Occurrence *occurrence = nullptr;
    std::uint32_t step = 0;
};

Steward::Steward(std::uint64_t token, StewardSettings settings, BootTime now)
    : m_token(token)
    , m_settings(settings)
    , m_now(now)
    , m_quarantine(settings.quarantine)
    , m_begunAt(now)
    , m_recoversUntil(now + settings.recovery)
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
    // Jobs are listed by pool; a queue may have been given another one.
    auto open = std::vector<Job *>();
    for (const auto &[pool, jobs] : m_openJobs)
        open.insert(open.end(), jobs.begin(), jobs.end());
    m_openJobs.clear();
    m_rules = event.rules;
    for (auto *job : open) {
        m_openJobs[poolOf(*job)].push_back(job);
        markDirty(poolOf(*job));
    }
}

auto Steward::handle(const steward_event::DataCentresClosed &event) -> void
{
    m_closed = event.closed;
    for (const auto &[pool, workers] : m_poolWorkers)
        markDirty(pool);
}

auto Steward::handle(const steward_event::Ticked &event) -> void
{
    m_wallMilliseconds = event.wallMilliseconds;
    endRecoveryIfDone();
    for (const auto &[name, worker] : m_workers)
        tickWorker(*worker);
    for (auto &[pool, jobs] : m_openJobs) {
        for (auto *job : jobs) {
            if (job->nextOccurrence < job->spec.occurrences)
                openDueOccurrences(*job);
        }
        markDirty(pool);
    }
}

auto Steward::handle(const steward_event::PlacementDue &) -> void
{
    placeDirtyPools();
}

auto Steward::placeDirtyPools() -> void
{
    const auto dirty = std::exchange(m_dirtyPools, {});
    for (const auto &pool : dirty)
        place(pool);
    m_dirtyPools.clear();
}

auto Steward::mayPlace(const Task &task) const -> bool
{
    return task.phase == TaskPhase::Waiting && !(task.mayRunUnseen && m_isRecovering);
}

auto Steward::place(const PoolName &pool) -> void
{
    const auto jobs = m_openJobs.find(pool);
    if (jobs == m_openJobs.end() || m_poolWorkers[pool].empty())
        return;
    auto candidates = std::vector<Candidate>();
    auto order = std::vector<WaitingStep>();
    const auto meanShare = meanTeamShare();
    for (auto *job : jobs->second) {
        if (job->waitingTasks == 0)
            continue;
        const auto *rules = rulesOf(*job);
        for (auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto isOpen = occurrence.tasksLeft[step] > 0
                    && std::ranges::any_of(occurrence.steps[step],
                                           [this](const Task &it) { return mayPlace(it); });
                if (!isOpen || !isReady(*job, occurrence, step))
                    continue;
                order.push_back(
                    {rules == nullptr ? 0 : rules->priority, job->spec.steps[step].isLongRunning,
                     job->workLeft, job->onTimeUntil, job->submittedAt,
                     meanShare > 0 ? teamShare(job->spec.team) / meanShare : 1, candidates.size()});
                candidates.push_back({job, &occurrence, step});
            }
        }
    }
    sortWaiting(order, m_now);
    auto tooLarge = std::vector<Resources>();
    for (const auto &it : order) {
        const auto &step = candidates[it.index].job->spec.steps[candidates[it.index].step];
        const auto resources = step.reservedRoom();
        const auto isHopeless = !it.isLongRunning
            && std::ranges::any_of(
                tooLarge, [&resources](const Resources &small) { return resources.holds(small); });
        if (isHopeless)
            continue;
        if (placeStep(pool, candidates[it.index]))
            continue;
        if (!isPicky(step))
            tooLarge.push_back(resources);
        if (it.isLongRunning) {
            auto &tasks = candidates[it.index].occurrence->steps[candidates[it.index].step];
            const auto waiting =
                std::ranges::find_if(tasks, [this](const Task &task) { return mayPlace(task); });
            if (waiting != tasks.end() && m_now >= waiting->since + m_settings.lastingPatience)
                makeRoom(pool, *waiting);
        }
    }
}

/// Cores that the team has running over its weight.
auto Steward::teamShare(const TeamName &team) const -> double
{
    const auto running = m_running.find(team);
    if (running == m_running.end() || !m_rules)
        return 0;
    const auto rules = m_rules->teams.find(team);
    const auto weight = rules == m_rules->teams.end() ? 1.0 : std::max(rules->second.weight, 1e-3);
    return static_cast<double>(running->second.milliCores) / weight;
}

auto Steward::meanTeamShare() const -> double
{
    if (!m_rules || m_rules->teams.empty())
        return 0;
    auto sum = 0.0;
    for (const auto &[team, rules] : m_rules->teams)
        sum += teamShare(team);
    return sum / static_cast<double>(m_rules->teams.size());
}

/// Places what fits of a step. Its tasks are alike, so the first that fits nowhere ends it.
auto Steward::placeStep(const PoolName &pool, const Candidate &candidate) -> bool
{
    for (auto &task : candidate.occurrence->steps[candidate.step]) {
        if (!mayPlace(task))
            continue;
        if (!isBelowLimit(*task.job, task.spec().resources))
            return true;
        auto *worker = chooseWorker(pool, task);
        if (worker == nullptr)
            return false;
        startTask(task, *worker);
    }
    return true;
}

auto Steward::isBelowLimit(const Job &job, const Resources &resources) const -> bool
{
    if (!m_rules)
        return false;
    const auto team = m_rules->teams.find(job.spec.team);
    if (team == m_rules->teams.end())
        return true;
    const auto running = m_running.find(job.spec.team);
    const auto used = running == m_running.end() ? resources : running->second + resources;
    const auto &limit = team->second.limit;
    return (limit.milliCores == 0 || used.milliCores <= limit.milliCores)
        && (limit.memoryMegabytes == 0 || used.memoryMegabytes <= limit.memoryMegabytes)
        && (limit.accelerators == 0 || used.accelerators <= limit.accelerators);
}

auto Steward::fits(const Worker &worker, const Task &task) const -> bool
{
    const auto isKeptFree = m_now < worker.onlyLastingUntil && !task.spec().isLongRunning;
    return worker.freeRoom().holds(task.spec().reservedRoom()) && !isKeptFree
        && mayRunOn(worker, task);
}

/// Whether the task may run on the worker, once there is room.
auto Steward::mayRunOn(const Worker &worker, const Task &task) const -> bool
{
    const auto &spec = task.spec();
    if (!isUsable(worker) || worker.isDraining || !hasLabel(worker.report, spec.requiredLabel)
        || m_quarantine.isQuarantined(HostName(worker.report.name.value()), m_now)) {
        return false;
    }
    const auto isSibling = [&task](const Task *it) {
        return it->job == task.job && it->step == task.step && it->occurrence == task.occurrence;
    };
    return spec.maxTasksPerWorker == 0
        || std::ranges::count_if(worker.runs, isSibling) < std::int64_t{spec.maxTasksPerWorker};
}

/// The fullest worker that the task fits on, so that others fall idle and can be given away. Near
/// its data first, and not where it failed last. Tasks on spare cores keep off those that serve.
auto Steward::chooseWorker(const PoolName &pool, const Task &task) -> Worker *
{
    struct Score
    {
        bool isAvoided = false;
        bool isFar = false;
        bool disturbs = false;
        std::int64_t freeCores = 0;

        auto operator<=>(const Score &) const = default; // NOLINT(modernize-use-nullptr)
    };
    const auto &spec = task.spec();
    Worker *best = nullptr;
    auto bestScore = Score();
    for (auto *worker : m_poolWorkers[pool]) {
        if (!fits(*worker, task))
            continue;
        const auto isServing = [](const Task *it) {
            return it->spec().latencyTargetMilliseconds > 0;
        };
        const auto usesSpare = [](const Task *it) { return it->spec().usesSpareCores; };
        auto score = Score();
        score.isAvoided = task.failedOn == worker->report.name;
        score.isFar = !hasLabel(worker->report, spec.preferredRack);
        score.disturbs = spec.usesSpareCores
            ? std::ranges::any_of(worker->runs, isServing)
            : spec.latencyTargetMilliseconds > 0 && std::ranges::any_of(worker->runs, usesSpare);
        score.freeCores = worker->freeRoom().milliCores;
        if (best == nullptr || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

/// Stops the fewest short runs of one worker so that a lasting task fits there.
auto Steward::makeRoom(const PoolName &pool, const Task &task) -> void
{
    Worker *best = nullptr;
    auto bestRuns = std::vector<Task *>();
    for (auto *worker : m_poolWorkers[pool]) {
        if (m_now < worker->onlyLastingUntil)
            return; // room is being made already
        if (!mayRunOn(*worker, task))
            continue;
        auto runs = std::vector<Task *>();
        std::ranges::copy_if(worker->runs, std::back_inserter(runs), [](const Task *it) {
            return !it->spec().isLongRunning && it->phase == TaskPhase::Running;
        });
        // The youngest lose least.
        std::ranges::sort(runs, std::ranges::greater(), &Task::since);
        auto resources = worker->freeRoom();
        auto count = std::size_t{0};
        while (count < runs.size() && !resources.holds(task.spec().reservedRoom()))
            resources += runs[count++]->spec().reservedRoom();
        const auto isEnough = resources.holds(task.spec().reservedRoom());
        if (!isEnough || count == 0 || (best != nullptr && count >= bestRuns.size()))
            continue;
        runs.resize(count);
        best = worker;
        bestRuns = std::move(runs);
    }
    if (best == nullptr)
        return;
    best->onlyLastingUntil = m_now + milliseconds(m_settings.lookWait * 2);
    for (auto *run : bestRuns)
        stopTask(*run);
}

auto Steward::poolLoads() const -> std::map<PoolName, PoolLoad>
{
    auto loads = std::map<PoolName, PoolLoad>();
    for (const auto &[pool, workers] : m_poolWorkers) {
        for (const auto *worker : workers)
            loads[pool].used += worker->used;
    }
    for (const auto &[pool, jobs] : m_openJobs) {
        auto &load = loads[pool];
        for (const auto *job : jobs) {
            for (const auto &[number, occurrence] : job->occurrences) {
                for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                    const auto &spec = job->spec.steps[step];
                    if (spec.isLongRunning && spec.maxTasksPerWorker > 0) {
                        load.leastWorkers = std::max<std::size_t>(
                            load.leastWorkers,
                            (spec.taskCount + spec.maxTasksPerWorker - 1) / spec.maxTasksPerWorker);
                    }
                    if (!isReady(*job, occurrence, step))
                        continue;
                    for (const auto &task : occurrence.steps[step]) {
                        if (task.phase == TaskPhase::Waiting)
                            load.wanted += spec.reservedRoom();
                    }
                }
            }
        }
    }
    return loads;
}

} // namespace shallotproxy
