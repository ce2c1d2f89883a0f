#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "../dispatch/dispatcher.hpp"
#include "claim_record.hpp"
#include "shallotproxy/connection/http/http_message.hpp"
#include "shallotproxy/process/peer/messages/claim_messages.hpp"
#include "shallotproxy/process/store/store_types.hpp"

namespace shallotproxy {

/// How long a claim lasts at least, and so the longest deadline of a request with a key.
inline constexpr Duration MinClaimLifetime = std::chrono::minutes(10);

/// A request with an idempotency key asks whether it may run.
struct ClaimRequested
{
    RequestNumber number = 0;
    ClaimName name;
    std::string fingerprint;
    BootTime deadline;
};

/// How a request whose claim was granted has ended.
enum class RequestOutcome : std::uint8_t { Answered, Unknown, NotRun };

struct ClaimedRequestEnded
{
    RequestNumber number = 0;
    RequestOutcome end = RequestOutcome::Unknown;
    std::optional<HttpResponse> response; // of an answered one, if it is small enough to keep
};

/// A claim as it stands in the platform's service.
struct StoredClaim
{
    ClaimRecord record;
    StoreRevision revision = 0;
};

/// Answer to the last WriteClaims or ReadClaims. `isWritten`: all claims of the batch were absent
/// and are ours now, at `revision`; else `found` says what stands there, in the batch's order.
struct ClaimsAnswered
{
    bool isWritten = false;
    StoreRevision revision = 0;
    std::vector<std::optional<StoredClaim>> found;
};

/// The last WriteClaims or ReadClaims had no answer; a write may have taken effect.
struct ClaimsUnanswered
{ };

/// The last DeleteClaims has ended; `isLost`: without an answer.
struct ClaimsDeleted
{
    bool isLost = false;
};

struct ClaimQueried
{
    MemberName from;
    ClaimQuery query;
};

struct ClaimQueryAnswered
{
    ClaimAnswer answer;
};

struct ClaimMembersChanged
{
    std::set<MemberName> members;
};

struct ClaimTick
{ };

using ClaimEvent =
    std::variant<ClaimRequested, ClaimedRequestEnded, ClaimsAnswered, ClaimsUnanswered,
                 ClaimsDeleted, ClaimQueried, ClaimQueryAnswered, ClaimMembersChanged, ClaimTick>;

struct ClaimWrite
{
    ClaimName name;
    ClaimRecord record;
};

/// One transaction: if all are absent, write all; else read all.
struct WriteClaims
{
    std::vector<ClaimWrite> claims;
};

/// Read all, in this order.
struct ReadClaims
{
    std::vector<ClaimName> names;
};

struct ClaimDelete
{
    ClaimName name;
    StoreRevision revision = 0;
};

/// One transaction: if all stand at these revisions, delete all.
struct DeleteClaims
{
    std::vector<ClaimDelete> claims;
};

struct ClaimDecision
{
    enum class Kind : std::uint8_t {
        Granted, // the request may run
        Unavailable, // not claimed and not run
        KeyReused, // the key belongs to a request with other content; not run
        AlreadyStarted, // the first request with this key may have run or be running
        Replay, // `response` is the first request's answer
    };

    RequestNumber number = 0;
    Kind kind = Kind::Unavailable;
    HttpResponse response;

    [[nodiscard]] auto name() const -> std::string_view;
};

struct QueryClaimOwner
{
    MemberName owner;
    ClaimQuery query;
};

struct AnswerClaimQuery
{
    MemberName to;
    ClaimAnswer answer;
};

using ClaimAction = std::variant<WriteClaims, ReadClaims, DeleteClaims, ClaimDecision,
                                 QueryClaimOwner, AnswerClaimQuery>;

/// Decides which requests with an idempotency key may run. A claim is written to the platform's
/// service before its request is dispatched, so that every member finds it, also when the member
/// that wrote it is gone. At most one call is under way; what waits meanwhile goes into the next.
/// Pure: no I/O and no clock of its own.
class ClaimTable
{
public:
    explicit ClaimTable(Incarnation self)
        : m_self(std::move(self))
    { }

    auto step(const ClaimEvent &event, BootTime now) -> std::vector<ClaimAction>;
    /// When the next call may go out, if one waits for its turn.
    [[nodiscard]] auto nextCall() const -> std::optional<BootTime>;
    [[nodiscard]] auto heldBytes() const -> std::size_t { return m_heldBytes; }

private:
    enum class State : std::uint8_t { Waiting, InFlight, Granted, Finished };
    enum class Call : std::uint8_t { None, Write, Read, Delete };

    struct Waiter
    {
        RequestNumber number = 0;
        BootTime deadline;
    };

    /// A query to another member; a member that is alive says at once that it heard it.
    struct Query
    {
        RequestNumber number = 0;
        BootTime deadline;
        BootTime heardBy;
    };

    struct PeerWaiter
    {
        MemberName member;
        std::uint64_t query = 0;
    };

    struct Entry
    {
        State state = State::Waiting;
        RequestNumber number = 0;
        std::string fingerprint;
        BootTime deadline; // for the service's answer
        BootTime repeatDeadline; // for the first request's answer, if it is a repeat
        bool isAbandoned = false; // its request has been told "not run"
        StoreRevision revision = 0;
        std::optional<HttpResponse> response;
        std::vector<Waiter> waiters;
        std::vector<PeerWaiter> peerWaiters;
    };

    using Entries = std::map<ClaimName, Entry>;

    auto handle(const ClaimRequested &event) -> void;
    auto handle(const ClaimedRequestEnded &event) -> void;
    auto handle(const ClaimsAnswered &event) -> void;
    auto handle(const ClaimsUnanswered &event) -> void;
    auto handle(const ClaimsDeleted &event) -> void;
    auto handle(const ClaimQueried &event) -> void;
    auto handle(const ClaimQueryAnswered &event) -> void;
    auto handle(const ClaimMembersChanged &event) -> void;
    auto handle(const ClaimTick &event) -> void;

    auto giveVerdict(RequestNumber number, ClaimDecision::Kind kind, HttpResponse response = {})
        -> void;
    auto joinEntry(Entry &entry, const ClaimRequested &event) -> void;
    auto grant(const ClaimName &name, Entry &entry, StoreRevision revision) -> void;
    auto resolve(const ClaimName &name, const std::optional<StoredClaim> &found) -> void;
    auto refuseRepeat(Entries::iterator it, const ClaimRecord &record) -> void;
    auto askOwner(RequestNumber number, BootTime deadline, const ClaimName &name,
                  const ClaimRecord &record) -> void;
    auto release(const ClaimName &name, RequestNumber number, StoreRevision revision) -> void;
    auto rememberNeverRan(RequestNumber number) -> void;
    auto answerPeers(Entry &entry) -> void;
    auto keep(const ClaimName &name, Entry &entry) -> void;
    auto evict() -> void;
    auto expireAsks() -> void;
    auto expireWaiters() -> void;
    auto pump() -> void;
    auto write() -> void;
    auto erase() -> void;
    [[nodiscard]] auto interval() const -> Duration;

    Incarnation m_self;
    BootTime m_now;
    BootTime m_nextCall;
    Call m_call = Call::None;
    bool m_isWriteNext = true;
    std::set<MemberName> m_members;
    Entries m_entries;
    std::unordered_map<RequestNumber, ClaimName> m_granted;
    std::deque<ClaimName> m_waiting;
    std::vector<ClaimName> m_batch;
    std::map<ClaimName, StoreRevision> m_releases;
    std::vector<ClaimDelete> m_deleting;
    std::unordered_set<RequestNumber> m_neverRan;
    std::deque<RequestNumber> m_neverRanOrder;
    std::map<std::uint64_t, Query> m_queries;
    std::deque<std::pair<ClaimName, RequestNumber>> m_kept;
    std::size_t m_heldBytes = 0;
    std::vector<ClaimAction> m_actions;
};

} // namespace shallotproxy
