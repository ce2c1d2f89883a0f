#include "task_module.hpp"

#include <algorithm>
#include <array>
#include <chrono>

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto TaskLog = Log("tasks");
constexpr std::string_view TasksPath = "/tasks";
constexpr Duration ReadInterval = 1s;
constexpr Duration SweepInterval = 60s;
constexpr Duration StoreTimeout = 4s; // then the call fails with an unknown outcome
constexpr Duration MaxStartDelay = 2s; // from sending a placement's write to starting its run
constexpr std::int64_t EndedTaskRetentionMilliseconds = 600'000;
constexpr std::size_t BatchSize = 48; // keeps a transaction below etcd's limit of 128 operations
constexpr std::size_t MaxWaitingCalls = 4'096;
constexpr unsigned Ok = 200;
constexpr unsigned Created = 201;
constexpr unsigned Accepted = 202;
constexpr auto LeaseSeconds = std::chrono::duration_cast<std::chrono::seconds>(RunLease).count();

template <typename T>
auto popBatch(std::deque<T> &queue) -> std::shared_ptr<std::vector<T>>
{
    auto batch = std::make_shared<std::vector<T>>();
    while (!queue.empty() && batch->size() < BatchSize) {
        batch->push_back(std::move(queue.front()));
        queue.pop_front();
    }
    return batch;
}

auto versionsOf(const std::vector<StoreRecord> &records) -> std::vector<TaskVersion>
{
    auto versions = std::vector<TaskVersion>();
    for (const auto &it : records) {
        if (auto record = unpackTask(it.value))
            versions.push_back({std::move(*record), it.revision});
    }
    return versions;
}

/// Returns the same id for the same idempotency key of the same team, so that a submission may be
/// repeated; returns a random id if there is no key.
auto taskIdFor(const TaskRecord &record, std::string_view idempotencyKey) -> TaskId
{
    const auto number = idempotencyKey.empty()
        ? randomHex(12)
        : digestKey(record.team.value() + '\n' + std::string(idempotencyKey)).substr(0, 24);
    return TaskId(record.pool.value() + "." + number);
}

} // namespace

TaskModule::TaskModule(ControlContext &context)
    : m_context(context)
{ }

auto TaskModule::handle(const ControlCall &call) -> bool
{
    const auto path = std::string_view(call.request.path);
    if (call.source != CallSource::Callers || !path.starts_with(TasksPath))
        return false;
    const auto rest = path.substr(TasksPath.size());
    if (rest.empty() && call.request.method == "POST") {
        submit(call);
        return true;
    }
    if (!rest.starts_with('/'))
        return false;
    const auto id = TaskId(std::string(rest.substr(1)));
    if (call.request.method == "GET") {
        show(call, id);
    } else if (call.request.method == "DELETE") {
        cancel(call, id);
    } else {
        refuse(call, {TaskError::Kind::Malformed, "method " + call.request.method});
    }
    return true;
}

auto TaskModule::refuse(const ControlCall &call, const TaskError &ec) -> void
{
    m_context.process.metrics.count("shallotproxy_task_refusals_total",
                                    fmt::format("reason=\"{}\"", ec.name()));
    m_context.reply(call, jsonResponse(ec.status(), taskErrorJson(ec)));
}

auto TaskModule::submit(const ControlCall &call) -> void
{
    if (!m_context.isFresh() || m_isDraining || m_submissions.size() >= MaxWaitingCalls) {
        refuse(call,
               {TaskError::Kind::NotPersisted,
                "the configuration is not fresh, too many submissions are waiting, "
                "or the member is shutting down"});
        return;
    }
    auto record = parseTask(QByteArray::fromStdString(call.request.body), *m_context.configuration);
    if (!record) {
        refuse(call, record.error());
        return;
    }
    record->team = call.team;
    record->id = taskIdFor(*record, call.request.header("Idempotency-Key"));
    record->submittedMilliseconds = wallMilliseconds();
    record->writer = randomHex(8);
    m_submissions.push_back({call, std::move(*record), BootClock::now() + StoreTimeout});
}

auto TaskModule::flush() -> void
{
    while (!m_submissions.empty())
        writeSubmissions(popBatch(m_submissions));
    while (!m_cancellations.empty())
        readCancellations(popBatch(m_cancellations));
}

auto TaskModule::writeSubmissions(const Submissions &batch) -> void
{
    auto transaction = StoreTransaction();
    for (const auto &it : *batch) {
        const auto key = m_context.key(taskKey(it.record.id));
        const auto endedKey = m_context.key(endedTaskKey(it.record.id));
        transaction.compares.push_back({key, 0});
        transaction.compares.push_back({endedKey, 0});
        transaction.onSuccess.emplace_back(StorePut{key, packTask(it.record), 0});
    }
    m_context.store(std::move(transaction), [this, batch](const StoreReply &reply) {
        if (reply && reply->hasSucceeded) {
            for (const auto &it : *batch) {
                m_context.record(
                    "task.submit", it.record.id.value(),
                    {{"team", it.record.team.value()}, {"pool", it.record.pool.value()}});
                m_context.reply(it.call, jsonResponse(Created, taskJson(it.record)));
            }
            return;
        }
        // The answer was lost, or one of the records existed already: check each one by itself.
        for (const auto &it : *batch)
            confirmSubmission(it);
    });
}

auto TaskModule::confirmSubmission(const Submission &submission) -> void
{
    auto transaction = StoreTransaction();
    const auto &id = submission.record.id;
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(taskKey(id)), false});
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(endedTaskKey(id)), false});
    m_context.store(std::move(transaction), [this, submission](const StoreReply &reply) {
        const auto isLate = BootClock::now() >= submission.deadline;
        if (!reply) {
            if (isLate) {
                refuse(submission.call,
                       {TaskError::Kind::OutcomeUnknown, submission.record.id.value()});
            } else {
                confirmSubmission(submission);
            }
            return;
        }
        for (const auto &records : reply->reads) {
            for (const auto &it : versionsOf(records)) {
                if (it.record.team == submission.record.team) {
                    m_context.reply(submission.call, jsonResponse(Created, taskJson(it.record)));
                    return;
                }
            }
        }
        // The record is absent, but an earlier write may still arrive. Only a new write whose
        // answer is received gives a definite outcome.
        if (isLate) {
            refuse(submission.call,
                   {TaskError::Kind::OutcomeUnknown, submission.record.id.value()});
            return;
        }
        writeSubmissions(std::make_shared<std::vector<Submission>>(1, submission));
    });
}

auto TaskModule::show(const ControlCall &call, const TaskId &id) -> void
{
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(taskKey(id)), false});
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(endedTaskKey(id)), false});
    m_context.store(std::move(transaction), [this, call, id](const StoreReply &reply) {
        if (!reply) {
            refuse(call, {TaskError::Kind::NotPersisted, "the store did not answer"});
            return;
        }
        for (const auto &records : reply->reads) {
            for (const auto &it : versionsOf(records)) {
                if (it.record.team == call.team) {
                    m_context.reply(call, jsonResponse(Ok, taskJson(it.record)));
                    return;
                }
            }
        }
        // Another team's task is answered as one that doesn't exist.
        refuse(call, {TaskError::Kind::UnknownTask, id.value()});
    });
}

auto TaskModule::cancel(const ControlCall &call, const TaskId &id) -> void
{
    if (!m_context.isFresh() || m_cancellations.size() >= MaxWaitingCalls) {
        refuse(call,
               {TaskError::Kind::NotPersisted,
                "the configuration is not fresh, or too many cancellations are waiting"});
        return;
    }
    m_cancellations.push_back({call, id, BootClock::now() + StoreTimeout});
}

auto TaskModule::readCancellations(const Cancellations &batch) -> void
{
    auto transaction = StoreTransaction();
    for (const auto &it : *batch) {
        transaction.onSuccess.emplace_back(StoreRange{m_context.key(taskKey(it.id)), false});
        transaction.onSuccess.emplace_back(StoreRange{m_context.key(endedTaskKey(it.id)), false});
    }
    m_context.store(std::move(transaction), [this, batch](const StoreReply &reply) {
        if (reply && reply->reads.size() == 2 * batch->size()) {
            writeCancellations(batch, *reply);
            return;
        }
        for (const auto &it : *batch)
            refuse(it.call, {TaskError::Kind::NotPersisted, "the store did not answer"});
    });
}

auto TaskModule::answerCancellation(const Cancellation &cancellation, const TaskRecord &record)
    -> void
{
    const auto status = isEnded(record.state) ? Ok : Accepted;
    m_context.reply(cancellation.call, jsonResponse(status, taskJson(record)));
}

auto TaskModule::writeCancellations(const Cancellations &batch, const StoreAnswer &answer) -> void
{
    auto transaction = StoreTransaction();
    auto changed = std::make_shared<std::vector<std::pair<Cancellation, TaskRecord>>>();
    for (std::size_t i = 0; i < batch->size(); ++i) {
        const auto &it = (*batch)[i];
        const auto waiting = versionsOf(answer.reads[2 * i]);
        const auto ended = versionsOf(answer.reads[2 * i + 1]);
        const auto isOwn = [&it](const std::vector<TaskVersion> &versions) {
            return !versions.empty() && versions.front().record.team == it.call.team;
        };
        if (isOwn(ended)) {
            answerCancellation(it, ended.front().record);
            continue;
        }
        if (!isOwn(waiting)) {
            refuse(it.call, {TaskError::Kind::UnknownTask, it.id.value()});
            continue;
        }
        const auto &version = waiting.front();
        auto record = version.record;
        if (record.state == TaskState::Cancelling) {
            answerCancellation(it, record);
            continue;
        }
        const auto key = m_context.key(taskKey(it.id));
        transaction.compares.push_back({key, version.revision});
        if (record.state == TaskState::Waiting) {
            record.state = TaskState::Cancelled;
            record.endedMilliseconds = wallMilliseconds();
            transaction.onSuccess.emplace_back(StoreDelete{key});
            transaction.onSuccess.emplace_back(
                StorePut{m_context.key(endedTaskKey(it.id)), packTask(record), 0});
        } else {
            record.epoch = version.runEpoch();
            record.state = TaskState::Cancelling;
            transaction.onSuccess.emplace_back(StorePut{key, packTask(record), 0});
        }
        changed->emplace_back(it, std::move(record));
    }
    if (changed->empty())
        return;
    m_context.store(std::move(transaction), [this, changed](const StoreReply &reply) {
        for (const auto &[cancellation, record] : *changed) {
            if (reply && reply->hasSucceeded) {
                m_context.record("task.cancel", record.id.value());
                answerCancellation(cancellation, record);
            } else if (BootClock::now() >= cancellation.deadline) {
                refuse(cancellation.call, {TaskError::Kind::OutcomeUnknown, record.id.value()});
            } else {
                // One of the records changed in between, or the answer was lost: read each again.
                readCancellations(std::make_shared<std::vector<Cancellation>>(1, cancellation));
            }
        }
    });
}

auto TaskModule::drain() -> void
{
    m_isDraining = true;
    m_pools.clear();
}

auto TaskModule::tick(BootTime now) -> void
{
    flush();
    // Without a fresh configuration no run is started and no lease is renewed.
    if (!m_context.isFresh() || m_isDraining)
        return;
    updateStewardship();
    auto names = std::vector<PoolName>();
    for (const auto &[name, pool] : m_pools)
        names.push_back(name);
    for (const auto &name : names) {
        auto &pool = m_pools.at(name);
        if (now >= pool.nextRead)
            read(name);
        if (now >= pool.nextSweep)
            sweep(name);
        step(name, SchedulerTick());
    }
}

auto TaskModule::configurationChanged() -> void
{
    updateStewardship();
    for (auto &[name, pool] : m_pools)
        updateWorkers(name, pool);
}

auto TaskModule::membersChanged() -> void
{
    updateStewardship();
}

auto TaskModule::updateStewardship() -> void
{
    if (!m_context.configuration || m_isDraining)
        return;
    auto members = std::vector<MemberName>();
    for (const auto &[name, member] : m_context.members)
        members.push_back(name);
    const auto &self = m_context.process.self.member;
    const auto &pools = m_context.configuration->pools;
    std::erase_if(m_pools, [&](const auto &it) {
        return !pools.contains(it.first) || stewardOf("tasks/" + it.first.value(), members) != self;
    });
    for (const auto &[name, declared] : pools) {
        if (m_pools.contains(name) || stewardOf("tasks/" + name.value(), members) != self)
            continue;
        auto &pool = m_pools[name];
        pool.scheduler = std::make_unique<TaskScheduler>(BootClock::now());
        m_context.record("tasks.steward", name.value());
        updateWorkers(name, pool);
    }
}

auto TaskModule::updateWorkers(const PoolName &name, Pool &pool) -> void
{
    const auto &configuration = *m_context.configuration;
    auto changed = WorkersChanged();
    for (const auto &[hostName, host] : configuration.hosts) {
        if (host.pool != name || host.role != HostRole::Worker)
            continue;
        changed.workers.push_back({hostName,
                                   host.dataCentre,
                                   {host.cores, host.memoryBytes, host.accelerators},
                                   configuration.acceptsWork(host)});
    }
    pool.scheduler->step(changed, BootClock::now());
    // Tasks don't use units of the fleet-wide limits yet: in each pool a team's tasks stay within
    // an equal part of its limit.
    auto units = TaskUnitsChanged();
    for (const auto &[team, declared] : configuration.teams) {
        units.units[team] = static_cast<std::uint32_t>(
            declared.limit / std::max<std::size_t>(1, configuration.pools.size()));
    }
    pool.scheduler->step(units, BootClock::now());
}

auto TaskModule::step(const PoolName &name, const SchedulerEvent &event) -> void
{
    const auto it = m_pools.find(name);
    if (it == m_pools.end())
        return;
    const auto actions = it->second.scheduler->step(event, BootClock::now());
    for (const auto &action : actions)
        std::visit([this, &name](const auto &one) { perform(name, one); }, action);
}

auto TaskModule::perform(const PoolName &name, const WriteTasks &action) -> void
{
    auto transaction = StoreTransaction();
    auto written = TasksWritten();
    for (auto it : action.writes) {
        const auto &id = it.record.id;
        const auto key = m_context.key(taskKey(id));
        transaction.compares.push_back({key, it.revision});
        written.tasks.push_back(id);
        if (isEnded(it.record.state)) {
            it.record.endedMilliseconds = wallMilliseconds();
            transaction.onSuccess.emplace_back(StoreDelete{key});
            transaction.onSuccess.emplace_back(
                StorePut{m_context.key(endedTaskKey(id)), packTask(it.record), 0});
        } else {
            transaction.onSuccess.emplace_back(StorePut{key, packTask(it.record), 0});
        }
        m_context.record("task.write", id.value(),
                         {{"state", std::string(taskStateName(it.record.state))},
                          {"host", it.record.host.value()}});
    }
    const auto sentAt = BootClock::now();
    m_context.store(std::move(transaction),
                    [this, name, sentAt, written](const StoreReply &reply) mutable {
                        const auto isLate = BootClock::now() - sentAt > MaxStartDelay;
                        // After a long delay, runs are started only if a new read confirms them.
                        if (reply && reply->hasSucceeded && !isLate)
                            written.revision = reply->revision;
                        step(name, written);
                    });
}

auto TaskModule::callWorker(const PoolName &name, const HostName &host, std::string path,
                            std::string body) -> void
{
    const auto it = m_context.configuration->hosts.find(host);
    if (it == m_context.configuration->hosts.end())
        return;
    auto call = PlatformCall{it->second.address, std::move(path), std::move(body)};
    m_context.platform(std::move(call), [this, name, host](const PlatformReply &reply) {
        if (!reply)
            return;
        auto reports = parseRunReports(QByteArray::fromStdString(*reply));
        if (reports) {
            step(name, WorkerReported{host, std::move(*reports)});
        } else {
            TaskLog.warning("reports of worker {} can't be read: {}", host.value(),
                            reports.error().message());
        }
    });
}

auto TaskModule::perform(const PoolName &name, const StartRun &action) -> void
{
    const auto &host = m_context.configuration->hosts.find(action.host);
    if (host == m_context.configuration->hosts.end())
        return;
    m_context.record("task.start", action.record.id.value(),
                     {{"host", action.host.value()},
                      {"dataCentre", host->second.dataCentre.value()},
                      {"pool", action.record.pool.value()},
                      {"team", action.record.team.value()},
                      {"epoch", std::to_string(action.epoch)}});
    callWorker(name, action.host, "/runs/start",
               startRunJson(action.record, action.epoch, LeaseSeconds));
}

auto TaskModule::perform(const PoolName &name, const OrderRun &action) -> void
{
    static constexpr std::array<std::string_view, 3> Names = {"stop", "checkpoint", "throttle"};
    const auto order = std::string(Names.at(static_cast<std::size_t>(action.order)));
    m_context.record("task." + order, action.run.task.value(), {{"host", action.host.value()}});
    callWorker(name, action.host, "/runs/" + order, runOrderJson(action.run));
}

auto TaskModule::perform(const PoolName &name, const RenewRuns &action) -> void
{
    callWorker(name, action.host, "/runs/renew", renewRunsJson(action.runs, LeaseSeconds));
}

auto TaskModule::perform(const PoolName &name, const ReadTasks & /*action*/) -> void
{
    m_pools.at(name).nextRead = {};
}

auto TaskModule::read(const PoolName &name) -> void
{
    auto &pool = m_pools.at(name);
    const auto sentAt = BootClock::now();
    pool.nextRead = sentAt + ReadInterval;
    if (pool.isReading)
        return;
    pool.isReading = true;
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(taskPrefix(name)), true});
    m_context.store(std::move(transaction), [this, name, sentAt](const StoreReply &reply) {
        const auto it = m_pools.find(name);
        if (it == m_pools.end())
            return;
        it->second.isReading = false;
        if (reply)
            step(name, TasksRead{versionsOf(reply->reads.front()), sentAt});
    });
}

// Ended tasks stay readable for the retention time.
auto TaskModule::sweep(const PoolName &name) -> void
{
    m_pools.at(name).nextSweep = BootClock::now() + SweepInterval;
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(endedTaskPrefix(name)), true});
    m_context.store(std::move(transaction), [this](const StoreReply &reply) {
        if (!reply)
            return;
        auto deletions = StoreTransaction();
        const auto oldest = wallMilliseconds() - EndedTaskRetentionMilliseconds;
        for (const auto &it : reply->reads.front()) {
            const auto record = unpackTask(it.value);
            if (record && record->endedMilliseconds < oldest
                && deletions.onSuccess.size() < BatchSize) {
                deletions.onSuccess.emplace_back(StoreDelete{it.key});
            }
        }
        if (!deletions.onSuccess.empty())
            m_context.store(std::move(deletions), [](const StoreReply &) {});
    });
}

} // namespace shallotproxy
