#pragma once

#include <map>

#include <QTimer>

#include "shallotproxy/member.hpp"

namespace shallotproxy::test {

/// A store in memory, without leases. Answers from the event loop.
class FakeRecordStore final : public RecordStore
{
public:
    auto put(const std::string &key, const std::string &value) -> void;
    auto remove(const std::string &key) -> void;
    /// Makes all watches load their records again.
    auto compact() -> void;
    /// Number of the next reads of one record that fail.
    int failedReads = 0;

    auto commit(const StoreCommit &commit, RecordStoreCallback<std::uint64_t> reply)
        -> void override;
    auto read(const std::string &key, RecordStoreCallback<StoreRead> reply) -> void override;
    auto readAll(const std::string &prefix, RecordStoreCallback<StoreRead> reply) -> void override;
    auto watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait,
               RecordStoreCallback<StoreRead> reply) -> void override;
    auto grantLease(std::chrono::milliseconds duration, RecordStoreCallback<GrantedLease> reply)
        -> void override;
    auto renewLease(StoreLease lease, RecordStoreCallback<GrantedLease> reply) -> void override;
    auto revokeLease(StoreLease) -> void override { }

private:
    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        RecordStoreCallback<StoreRead> reply;
    };

    auto write(const std::string &key, const std::string &value, bool isDeleted) -> void;
    auto answerWatches() -> void;

    std::uint64_t m_revision = 1;
    std::uint64_t m_oldestRevision = 0;
    std::map<std::string, VersionedRecord> m_records;
    std::vector<VersionedRecord> m_history;
    std::vector<Watch> m_watches;
};

/// Workers that confirm each order and end runs as soon as they have begun.
class FakeWorkerPort final : public WorkerPort
{
public:
    auto start(const WorkerReport &worker, std::uint64_t token,
               const steward_action::StartRun &order, Reply reply) -> void override;
    auto stop(const WorkerReport &worker, std::uint64_t token, const steward_action::StopRun &order,
              Reply reply) -> void override;
    auto setRunSpeed(const WorkerReport &worker, std::uint64_t token,
                     const steward_action::SetRunSpeed &order, Reply reply) -> void override;
    auto poll(const WorkerReport &worker, std::uint64_t token,
              const steward_action::PollWorker &order, PollReply reply) -> void override;
    auto closeIdle(BootTime) -> void override { }

    std::map<WorkerName, std::size_t> polls;
    std::map<WorkerName, std::size_t> starts;

private:
    std::map<WorkerName, std::vector<EndedRun>> m_ended;
};

/// Lists the given hosts and answers all orders about them alike.
class FakeHostPort final : public HostPort
{
public:
    auto list(ListReply reply) -> void override;
    auto move(const HostMove &move, std::uint64_t token, Reply reply) -> void override;
    auto startUpkeep(const UpkeepStart &start, std::uint64_t token, Reply reply) -> void override;

    std::vector<HostReport> hosts;
    HostOutcome upkeepOutcome = HostOutcome::Refused;
    std::size_t upkeepOrders = 0;
};

} // namespace shallotproxy::test
