#pragma once

#include <functional>
#include <span>

#include "declarations.hpp"
#include "shallotproxy/connection.hpp"
#include "shallotproxy/process.hpp"

namespace shallotproxy {

/// A record of the store.
struct VersionedRecord
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; // of the last change
    std::uint64_t creationRevision = 0;
    bool isDeleted = false; // set only in records that a watch returns
};

/// Why a call to the store failed.
struct StoreFailure
{
    enum class Kind {
        Conflict = 931, // a compared revision differs; nothing was written
        NotApplied = 932, // the call was refused or never sent
        Unknown = 933, // the call may have taken effect, or may still take effect later
        HistoryCompacted = 934, // a watch has to be restarted from a new read
        LeaseExpired = 935, // the store doesn't know the lease; nothing was written
    };

    Kind kind = Kind::Unknown;
    std::string detail;
    std::vector<VersionedRecord> records; // on a conflict: the compared records as stored

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

/// A write that is applied as a whole if all compared keys have the given revisions (0: absent).
struct StoreCommit
{
    std::vector<StoreCompare> compares;
    std::vector<StorePut> puts;
    std::vector<std::string> removes;
};

struct StoreRead
{
    std::vector<VersionedRecord> records;
    std::uint64_t revision = 0; // of the store at the time of the read
};

struct GrantedLease
{
    StoreLease lease = 0;
    std::chrono::milliseconds duration{};
};

template <typename T>
using RecordStoreCallback = std::function<void(Expected<T, StoreFailure>)>;

/// The platform's key-value store.
class RecordStore
{
public:
    RecordStore() = default;
    virtual ~RecordStore() = default;
    RecordStore(const RecordStore &) = delete;
    auto operator=(const RecordStore &) -> RecordStore & = delete;

    virtual auto commit(const StoreCommit &commit, RecordStoreCallback<std::uint64_t> reply)
        -> void = 0;
    /// Reads the record of a key; returns no record if the key is absent.
    virtual auto read(const std::string &key, RecordStoreCallback<StoreRead> reply) -> void = 0;
    /// Reads all records below a prefix, page by page.
    virtual auto readAll(const std::string &prefix, RecordStoreCallback<StoreRead> reply)
        -> void = 0;
    /// Returns the changes below a prefix after a revision. Waits up to `wait` for the first one.
    virtual auto watch(const std::string &prefix, std::uint64_t after,
                       std::chrono::milliseconds wait, RecordStoreCallback<StoreRead> reply)
        -> void = 0;
    virtual auto grantLease(std::chrono::milliseconds duration,
                            RecordStoreCallback<GrantedLease> reply) -> void = 0;
    virtual auto renewLease(StoreLease lease, RecordStoreCallback<GrantedLease> reply) -> void = 0;
    virtual auto revokeLease(StoreLease lease) -> void = 0;
};

struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::int64_t clockMilliseconds = 0; // the worker's clock; 0: the reply had none
    ContactLoss contactLoss = ContactLoss::Unknown;
};

/// Sends orders to workers. Each order is sent at most once.
class WorkerPort
{
public:
    WorkerPort() = default;
    virtual ~WorkerPort() = default;
    WorkerPort(const WorkerPort &) = delete;
    auto operator=(const WorkerPort &) -> WorkerPort & = delete;

    using Reply = std::function<void(OrderReply)>;
    /// Receives the worker's active and ended runs; without a value the outcome says why.
    using PollReply = std::function<void(OrderReply, std::optional<steward_event::WorkerPolled>)>;

    virtual auto start(const WorkerReport &worker, std::uint64_t token,
                       const steward_action::StartRun &order, Reply reply) -> void = 0;
    virtual auto stop(const WorkerReport &worker, std::uint64_t token,
                      const steward_action::StopRun &order, Reply reply) -> void = 0;
    virtual auto setRunSpeed(const WorkerReport &worker, std::uint64_t token,
                             const steward_action::SetRunSpeed &order, Reply reply) -> void = 0;
    virtual auto poll(const WorkerReport &worker, std::uint64_t token,
                      const steward_action::PollWorker &order, PollReply reply) -> void = 0;
    virtual auto closeIdle(BootTime now) -> void = 0;
};

/// Outcome of an order about a host. `Superseded`: the platform has received an order with a higher
/// fencing token.
enum class HostOutcome { Accepted, Refused, Busy, Unanswered, Superseded };

/// Lists the platform's hosts and sends orders about them.
class HostPort
{
public:
    HostPort() = default;
    virtual ~HostPort() = default;
    HostPort(const HostPort &) = delete;
    auto operator=(const HostPort &) -> HostPort & = delete;

    using ListReply = std::function<void(std::optional<std::vector<HostReport>>)>;
    using Reply = std::function<void(HostOutcome)>;

    virtual auto list(ListReply reply) -> void = 0;
    virtual auto move(const HostMove &move, std::uint64_t token, Reply reply) -> void = 0;
    virtual auto startUpkeep(const UpkeepStart &start, std::uint64_t token, Reply reply)
        -> void = 0;
};

/// Keys and encoding of the records that the platform keeps in the store.
class PlatformRecordCodec
{
public:
    PlatformRecordCodec() = default;
    virtual ~PlatformRecordCodec() = default;
    PlatformRecordCodec(const PlatformRecordCodec &) = delete;
    auto operator=(const PlatformRecordCodec &) -> PlatformRecordCodec & = delete;

    [[nodiscard]] virtual auto declarationsPrefix() const -> std::string = 0;
    [[nodiscard]] virtual auto workersPrefix() const -> std::string = 0;
    [[nodiscard]] virtual auto decodeDeclaration(const VersionedRecord &record) const
        -> Expected<Declaration, JobError> = 0;
    [[nodiscard]] virtual auto decodeWorker(const VersionedRecord &record) const
        -> Expected<WorkerReport, JobError> = 0;
    /// Returns the worker's name, taken from the key of its record.
    [[nodiscard]] virtual auto workerNameOf(const std::string &key) const -> WorkerName = 0;
    [[nodiscard]] virtual auto waveStatus(std::uint64_t wave, bool isCompleted) const
        -> StorePut = 0;
};

/// An operation that a caller requests.
struct CallerOperation
{
    enum class Kind { Submit, ReadJob, CancelJob, CountPending };

    Kind kind = Kind::Submit;
    std::string job;
};

/// Decodes callers' requests and encodes the responses to them.
class CallerCodec
{
public:
    CallerCodec() = default;
    virtual ~CallerCodec() = default;
    CallerCodec(const CallerCodec &) = delete;
    auto operator=(const CallerCodec &) -> CallerCodec & = delete;

    [[nodiscard]] virtual auto hostNameOf(const HttpRequest &request) const -> std::string = 0;
    [[nodiscard]] virtual auto apiKeyOf(const HttpRequest &request) const -> std::string_view = 0;
    /// Returns no value if the path names no job or the method isn't supported.
    [[nodiscard]] virtual auto decodeOperation(const HttpRequest &request,
                                               std::string_view subpath) const
        -> std::optional<CallerOperation> = 0;
    [[nodiscard]] virtual auto decodeJob(std::string_view body) const
        -> Expected<JobSpec, JobError> = 0;
    [[nodiscard]] virtual auto encodeState(JobState state) const -> HttpResponse = 0;
    [[nodiscard]] virtual auto encodePending(std::size_t count) const -> HttpResponse = 0;
};

} // namespace shallotproxy
