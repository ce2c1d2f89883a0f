#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "control_context.hpp"
#include "shallotproxy/request.hpp"

namespace shallotproxy {

/// Accepts submissions and cancellations of tasks from callers, and schedules the tasks of the
/// pools of which this member is the steward.
class TaskModule
{
public:
    explicit TaskModule(ControlContext &context);

    auto tick(BootTime now) -> void;
    auto handle(const ControlCall &call) -> bool;
    auto configurationChanged() -> void;
    auto membersChanged() -> void;
    auto drain() -> void;

private:
    /// A submission that is waiting to be written to the store.
    struct Submission
    {
        ControlCall call;
        TaskRecord record;
        BootTime deadline;
    };

    /// A cancellation that is waiting to be written to the store.
    struct Cancellation
    {
        ControlCall call;
        TaskId id;
        BootTime deadline;
    };

    struct Pool
    {
        std::unique_ptr<TaskScheduler> scheduler;
        BootTime nextRead;
        BootTime nextSweep;
        bool isReading = false;
    };

    using Submissions = std::shared_ptr<std::vector<Submission>>;
    using Cancellations = std::shared_ptr<std::vector<Cancellation>>;

    auto submit(const ControlCall &call) -> void;
    auto writeSubmissions(const Submissions &batch) -> void;
    /// Reads whether a submission was stored, after a write that did not succeed; else writes it
    /// again until its deadline.
    auto confirmSubmission(const Submission &submission) -> void;
    auto show(const ControlCall &call, const TaskId &id) -> void;
    auto cancel(const ControlCall &call, const TaskId &id) -> void;
    auto readCancellations(const Cancellations &batch) -> void;
    auto writeCancellations(const Cancellations &batch, const StoreAnswer &answer) -> void;
    auto answerCancellation(const Cancellation &cancellation, const TaskRecord &record) -> void;
    auto refuse(const ControlCall &call, const TaskError &ec) -> void;
    auto flush() -> void;

    auto updateStewardship() -> void;
    auto updateWorkers(const PoolName &name, Pool &pool) -> void;
    auto step(const PoolName &name, const SchedulerEvent &event) -> void;
    auto perform(const PoolName &name, const WriteTasks &action) -> void;
    auto perform(const PoolName &name, const StartRun &action) -> void;
    auto perform(const PoolName &name, const OrderRun &action) -> void;
    auto perform(const PoolName &name, const RenewRuns &action) -> void;
    auto perform(const PoolName &name, const ReadTasks &action) -> void;
    auto callWorker(const PoolName &name, const HostName &host, std::string path, std::string body)
        -> void;
    auto read(const PoolName &name) -> void;
    /// Deletes the records of tasks that ended longer ago than the retention time.
    auto sweep(const PoolName &name) -> void;

    ControlContext &m_context;
    std::deque<Submission> m_submissions;
    std::deque<Cancellation> m_cancellations;
    std::map<PoolName, Pool> m_pools; // pools of which this member is the steward
    bool m_isDraining = false;
};

} // namespace shallotproxy
