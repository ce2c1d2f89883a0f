#pragma once

#include <functional>
#include <span>

#include "declarations.hpp"
#include "shallotproxy/connection.hpp"
#include "shallotproxy/process.hpp"

namespace shallotproxy {

/// A record of the store, with the revision at which it was created.
struct VersionedRecord
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool isDeleted = false; // only in what a watch tells
};

/// Failure of a call to the store.
struct StoreFailure
{
    enum class Kind {
        Conflict = 931, // a condition doesn't hold; nothing was done
        NotDone = 932, // refused, or never sent
        Unknown = 933, // may have been done, or may be done later
        HistoryGone = 934, // a watch has to begin anew
        LeaseGone = 935, // nothing was done
    };

    Kind kind = Kind::Unknown;
    std::string detail;
    std::vector<VersionedRecord> records; // of a conflict: the compared ones as they are

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

/// A conditional write; `compares` hold revisions (0: absent).
struct StoreCommit
{
    std::vector<StoreCompare> compares;
    std::vector<StorePut> puts;
    std::vector<std::string> removes;
};

struct StoreRead
{
    std::vector<VersionedRecord> records;
    std::uint64_t revision = 0; // of the store
};

struct StoreLeaseTime
{
    StoreLease lease = 0;
    std::chrono::milliseconds duration{};
};

template <typename T>
using StoreReplyTo = std::function<void(Expected<T, StoreFailure>)>;

/// The platform's key-value service as members use it.
class RecordStore
{
public:
    RecordStore() = default;
    virtual ~RecordStore() = default;
    RecordStore(const RecordStore &) = delete;
    auto operator=(const RecordStore &) -> RecordStore & = delete;

    virtual auto commit(const StoreCommit &commit, StoreReplyTo<std::uint64_t> reply) -> void = 0;
    /// One record, or none.
    virtual auto read(const std::string &key, StoreReplyTo<StoreRead> reply) -> void = 0;
    /// All records below a prefix, page by page.
    virtual auto readAll(const std::string &prefix, StoreReplyTo<StoreRead> reply) -> void = 0;
    /// Changes below a prefix after a revision; waits for one, up to `wait`.
    virtual auto watch(const std::string &prefix, std::uint64_t after,
                       std::chrono::milliseconds wait, StoreReplyTo<StoreRead> reply) -> void = 0;
    virtual auto grantLease(std::chrono::milliseconds duration, StoreReplyTo<StoreLeaseTime> reply)
        -> void = 0;
    virtual auto renewLease(StoreLease lease, StoreReplyTo<StoreLeaseTime> reply) -> void = 0;
    virtual auto endLease(StoreLease lease) -> void = 0;
};

struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::int64_t clockMilliseconds = 0; // of the worker; 0: not told
};

/// Orders to workers. Each is sent at most once.
class WorkerPort
{
public:
    WorkerPort() = default;
    virtual ~WorkerPort() = default;
    WorkerPort(const WorkerPort &) = delete;
    auto operator=(const WorkerPort &) -> WorkerPort & = delete;

    using Reply = std::function<void(OrderReply)>;
    /// The lists if the worker gave them; the outcome tells why not.
    using LookReply = std::function<void(OrderReply, std::optional<steward_event::WorkerPolled>)>;

    virtual auto start(const WorkerReport &worker, std::uint64_t token,
                       const steward_action::StartRun &order, Reply reply) -> void = 0;
    virtual auto stop(const WorkerReport &worker, std::uint64_t token,
                      const steward_action::StopRun &order, Reply reply) -> void = 0;
    virtual auto pace(const WorkerReport &worker, std::uint64_t token,
                      const steward_action::SetRunSpeed &order, Reply reply) -> void = 0;
    virtual auto look(const WorkerReport &worker, std::uint64_t token,
                      const steward_action::PollWorker &order, LookReply reply) -> void = 0;
    virtual auto closeIdle(BootTime now) -> void = 0;
};

/// What became of an order about a host.
enum class HostOutcome { Accepted, Refused, Busy, Unanswered };

/// The platform's list of hosts, and orders about them.
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
    virtual auto beginUpkeep(const UpkeepStart &start, std::uint64_t token, Reply reply)
        -> void = 0;
};

/// How the platform names and writes what it keeps in the store.
class PlatformRecords
{
public:
    PlatformRecords() = default;
    virtual ~PlatformRecords() = default;
    PlatformRecords(const PlatformRecords &) = delete;
    auto operator=(const PlatformRecords &) -> PlatformRecords & = delete;

    [[nodiscard]] virtual auto declarationsPrefix() const -> std::string = 0;
    [[nodiscard]] virtual auto workersPrefix() const -> std::string = 0;
    [[nodiscard]] virtual auto decodeDeclaration(const VersionedRecord &record) const
        -> Expected<Declaration, JobError> = 0;
    [[nodiscard]] virtual auto decodeWorker(const VersionedRecord &record) const
        -> Expected<WorkerReport, JobError> = 0;
    /// The name that a worker's record has in its key.
    [[nodiscard]] virtual auto workerOf(const std::string &key) const -> WorkerName = 0;
    [[nodiscard]] virtual auto waveStatus(std::uint64_t wave, bool isCompleted) const
        -> StorePut = 0;
};

/// What a caller asks.
struct CallerCall
{
    enum class Kind { Submit, ReadJob, CancelJob, CountPending };

    Kind kind = Kind::Submit;
    std::string job;
};

/// How callers' calls are written.
class CallerCodec
{
public:
    CallerCodec() = default;
    virtual ~CallerCodec() = default;
    CallerCodec(const CallerCodec &) = delete;
    auto operator=(const CallerCodec &) -> CallerCodec & = delete;

    [[nodiscard]] virtual auto hostNameOf(const HttpRequest &request) const -> std::string = 0;
    [[nodiscard]] virtual auto keyOf(const HttpRequest &request) const -> std::string_view = 0;
    /// No value: the path names no job, or the method isn't one of the calls.
    [[nodiscard]] virtual auto decodeCall(const HttpRequest &request, std::string_view rest) const
        -> std::optional<CallerCall> = 0;
    [[nodiscard]] virtual auto decodeJob(std::string_view body) const
        -> Expected<JobSpec, JobError> = 0;
    [[nodiscard]] virtual auto encodeState(JobState state) const -> HttpResponse = 0;
    [[nodiscard]] virtual auto encodePending(std::size_t count) const -> HttpResponse = 0;
};

} // namespace shallotproxy
