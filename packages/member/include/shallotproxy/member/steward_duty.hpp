#pragma once

#include <QObject>
#include <QTimer>

#include "record_watch.hpp"
#include "runtime_context.hpp"

namespace shallotproxy {

class HostDuty;

/// Campaigns for the steward's key, and runs the steward while this member holds it.
class StewardDuty : public QObject
{
public:
    StewardDuty(RuntimeContext &context, QObject *parent);
    ~StewardDuty() override;

    auto start() -> void;
    /// Gives the key up for good, so that another member takes it at once.
    auto leave() -> void;
    /// The steward, if it is this member and has read its jobs.
    [[nodiscard]] auto steward() -> Steward *;
    /// The inner address of the member that holds the key; empty if none does.
    [[nodiscard]] auto holderAddress() const -> const std::string & { return m_holder; }
    [[nodiscard]] auto stewardship() const -> const Stewardship & { return m_stewardship; }
    /// The operators' declarations have changed.
    auto declarationsChanged() -> void;
    auto dispatch(StewardEvent event) -> void;
    /// A commit that does nothing once another member has the key. Only while this one holds it.
    [[nodiscard]] auto fencedCommit() const -> StoreCommit;
    [[nodiscard]] auto workerReport(const WorkerName &name) const -> const WorkerReport *;

private:
    struct Loading;

    /// The function, for as long as this duty lives and holds the key that it holds now.
    template <typename Function>
    [[nodiscard]] auto inThisLife(Function function);

    auto holderChanged(const VersionedRecord *record) -> void;
    auto campaign() -> void;
    auto campaignLater() -> void;
    auto claim(StoreLease lease, BootTime grantedAt) -> void;
    auto checkClaim(StoreLease lease, BootTime grantedAt) -> void;
    auto hold(std::uint64_t token, StoreLease lease, BootTime grantedAt) -> void;
    auto renew() -> void;
    auto stepDown(std::string_view reason) -> void;
    auto load() -> void;
    auto begin(const Loading &loading) -> void;
    auto loadJobs(const Loading &loading) -> void;
    auto takeJob(const VersionedRecord &record, const JobProgress &progress) -> void;
    auto jobChanged(const VersionedRecord &record) -> void;
    auto workerChanged(const VersionedRecord &record) -> void;
    auto tick() -> void;
    auto forgetEndedJobs() -> void;

    auto perform(const steward_action::StartRun &action) -> void;
    auto perform(const steward_action::StopRun &action) -> void;
    auto perform(const steward_action::PollWorker &action) -> void;
    auto perform(const steward_action::SetRunSpeed &action) -> void;
    auto perform(const steward_action::PersistProgress &action) -> void;
    auto perform(const steward_action::StepDown &action) -> void;
    auto writeProgress() -> void;
    auto progressStored(Expected<std::uint64_t, StoreFailure> reply) -> void;
    [[nodiscard]] auto progressEntry(const std::string &job) const
        -> std::optional<ProgressWriter::Entry>;

    RuntimeContext &m_context;
    std::string m_identity; // of this process, in the key's record
    std::string m_holder;
    Stewardship m_stewardship;
    StoreLease m_lease = 0;
    StoreLease m_oldLease = 0; // of the last stewardship
    std::uint64_t m_life = 0; // counts stewardships, so that old answers are told apart
    std::unique_ptr<Steward> m_steward;
    std::unique_ptr<HostDuty> m_hosts;
    std::unique_ptr<RecordWatch> m_holderWatch;
    std::unique_ptr<RecordWatch> m_jobWatch;
    std::unique_ptr<RecordWatch> m_workerWatch;
    std::map<WorkerName, WorkerReport> m_reports;
    std::set<std::string> m_strangers; // records that name no worker, logged once
    ProgressWriter m_writer;
    QTimer m_renewTimer;
    QTimer m_tickTimer;
    QTimer m_writeTimer;
    QTimer m_placeTimer;
    std::vector<StewardEvent> m_events;
    BootTime m_nextForgetting;
    bool m_isDispatching = false;
    bool m_isCampaigning = false;
    bool m_wasUnsure = false; // at the last look, whether the declarations are the newest
    bool m_isLeaving = false;
};

} // namespace shallotproxy
