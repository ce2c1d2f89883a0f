#pragma once

#include <QObject>
#include <QPointer>
#include <QTimer>

#include "delegated_workers.hpp"
#include "processor_load.hpp"
#include "record_watch.hpp"
#include "runtime_context.hpp"

namespace shallotproxy {

class HostDuty;

/// Campaigns for the steward's key in the store, and runs the steward while this member holds it.
class StewardDuty : public QObject
{
public:
    StewardDuty(RuntimeContext &context, QObject *parent);
    ~StewardDuty() override;

    auto start() -> void;
    /// Releases the key at once and stops campaigning, so that another member can acquire it.
    auto resign() -> void;
    /// Returns the steward if this member holds the key and has read the jobs, otherwise null.
    [[nodiscard]] auto steward() -> Steward *;
    /// Returns the peer address of the member that holds the key; empty if none does.
    [[nodiscard]] auto holderAddress() const -> const std::string & { return m_holderAddress; }
    [[nodiscard]] auto stewardship() const -> const Stewardship & { return m_stewardship; }
    /// Passes changed declarations of the operators to the steward.
    auto declarationsChanged() -> void;
    auto dispatch(StewardEvent event) -> void;
    /// Steps down because this worker or host has accepted an order with a higher fencing token.
    auto superseded(std::string_view receiver) -> void;
    /// Returns a commit that fails once another member holds the key. Call it only while this
    /// member holds it.
    [[nodiscard]] auto fencedCommit() const -> StoreCommit;
    [[nodiscard]] auto workerReport(const WorkerName &name) const -> const WorkerReport *;
    /// Decides on the admission of jobs by what the steward has published.
    [[nodiscard]] auto admissionGate() -> AdmissionGate & { return m_admissionGate; }
    /// Sends the steward's orders, in part through other members.
    [[nodiscard]] auto workers() -> DelegatedWorkers & { return m_workers; }

private:
    struct LoadedRecords;

    /// Wraps a function so that it does nothing after this object's end or in a later term of the
    /// key.
    template <typename Function>
    [[nodiscard]] auto ifSameTerm(Function function)
    {
        return [self = QPointer(this), term = m_term,
                function = std::move(function)]<typename... Arguments>(Arguments &&...arguments) {
            if (self && term == self->m_term)
                function(std::forward<Arguments>(arguments)...);
        };
    }

    auto watchStewardRecords() -> void;
    auto holderChanged(const VersionedRecord *record) -> void;
    auto outlookChanged(const VersionedRecord *record) -> void;
    auto publishOutlook(BootTime now) -> void;
    auto reportOutlook(const AdmissionOutlook &outlook) -> void;
    auto campaign() -> void;
    auto campaignLater() -> void;
    auto claim(StoreLease lease, BootTime grantedAt) -> void;
    auto checkClaim(StoreLease lease, BootTime grantedAt) -> void;
    auto becomeSteward(std::uint64_t token, StoreLease lease, BootTime grantedAt) -> void;
    auto renew() -> void;
    auto stepDown(std::string_view reason) -> void;
    auto load() -> void;
    auto startSteward(const LoadedRecords &loaded) -> void;
    auto loadJobs(const LoadedRecords &loaded) -> void;
    auto readRunTimes(const std::shared_ptr<LoadedRecords> &loaded,
                      const std::function<void()> &retry) -> void;
    auto saveRunTimes(BootTime now) -> void;
    auto reportRunTimes() -> void;
    auto acceptJob(const VersionedRecord &record, const JobProgress &progress) -> void;
    auto jobChanged(const VersionedRecord &record) -> void;
    auto workerChanged(const VersionedRecord &record) -> void;
    auto removeWorker(const WorkerName &name) -> void;
    auto tick() -> void;
    auto reportTickDelay(BootTime now) -> void;
    auto reportLoad(BootTime now) -> void;
    auto removeEndedJobs() -> void;

    auto perform(const steward_action::StartRun &action) -> void;
    auto perform(const steward_action::StopRun &action) -> void;
    auto perform(const steward_action::PollWorker &action) -> void;
    auto perform(const steward_action::SetRunSpeed &action) -> void;
    auto perform(const steward_action::PersistProgress &action) -> void;
    auto perform(const steward_action::ReportLostRuns &action) -> void;
    auto perform(const steward_action::ReportWorkerEnd &action) -> void;
    auto perform(const steward_action::ReportCrash &action) -> void;
    auto perform(const steward_action::ReportCrashingTask &action) -> void;
    auto perform(const steward_action::ReportWaitingTask &action) -> void;
    auto perform(const steward_action::ReportMoreWaitingTasks &action) -> void;
    auto perform(const steward_action::StepDown &action) -> void;
    auto writeProgress() -> void;
    auto progressStored(Expected<std::uint64_t, StoreFailure> reply) -> void;
    [[nodiscard]] auto progressEntry(const std::string &job) const
        -> std::optional<ProgressWriter::Entry>;

    RuntimeContext &m_context;
    std::string m_identity; // identifies this process in the record of the key
    std::string m_holderAddress;
    Stewardship m_stewardship;
    DelegatedWorkers m_workers;
    StoreLease m_lease = 0;
    StoreLease m_previousLease = 0; // the lease of this member's previous term
    std::uint64_t m_term = 0; // changes with each gain or loss of the key; marks stale replies
    std::unique_ptr<Steward> m_steward;
    std::unique_ptr<HostDuty> m_hosts;
    std::unique_ptr<RecordWatch> m_holderWatch;
    std::unique_ptr<RecordWatch> m_jobWatch;
    std::unique_ptr<RecordWatch> m_workerWatch;
    std::set<std::string> m_unreadableWorkerKeys; // so that each record is logged only once
    ProgressWriter m_writer;
    AdmissionGate m_admissionGate;
    OutlookPublisher m_outlookPublisher;
    /// The pools with a wait in the last outlook.
    std::vector<PoolName> m_shortPools;
    bool m_isPublishing = false;
    QTimer m_renewTimer;
    QTimer m_tickTimer;
    QTimer m_writeTimer;
    BootTime m_writeTimerAt; // when m_writeTimer expires, if it is active
    QTimer m_placeTimer;
    std::vector<StewardEvent> m_events;
    BootTime m_nextCleanupAt;
    BootTime m_nextRunTimesAt;
    std::uint64_t m_savedRuns = 0; // of the steward's observed runs
    std::map<QueueName, double> m_reportedRatios; // of actual to stated run times
    BootTime m_tickDueAt;
    ProcessorLoad m_processorLoad;
    BootTime m_nextLoadReportAt;
    std::size_t m_openStarts = 0; // start orders without an answer
    std::size_t m_openPolls = 0;
    bool m_isDispatching = false;
    bool m_isCampaigning = false;
    bool m_wasNotFresh = false; // the declarations weren't fresh at the last campaign attempt
    bool m_hasResigned = false;
};

} // namespace shallotproxy
