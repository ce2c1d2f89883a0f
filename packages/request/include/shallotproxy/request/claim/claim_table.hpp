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

/// Minimum lifetime of a claim in the store. It bounds the deadline of a request with an
/// idempotency key, so that a claim outlives its request.
inline constexpr Duration MinClaimLifetime = std::chrono::minutes(10);

/// A request with an idempotency key has arrived and needs a claim before it may run.
struct ClaimRequested
{
    RequestNumber number = 0;
    ClaimName name;
    std::string fingerprint;
    BootTime deadline;
};

/// How a request whose claim was granted has ended: with an answer, with an unknown outcome, or
/// without having run.
enum class RequestOutcome : std::uint8_t { Answered, Unknown, NotRun };

/// A request whose claim was granted has ended.
struct ClaimedRequestEnded
{
    RequestNumber number = 0;
    RequestOutcome outcome = RequestOutcome::Unknown;
    /// Only set if the request was answered and the answer is small enough to be retained.
    std::optional<HttpResponse> response;
};

/// A claim as the store holds it.
struct StoredClaim
{
    ClaimRecord record;
    StoreRevision revision = 0;
};

/// The answer to the last WriteClaims or ReadClaims. If `isWritten` is set, all claims of the batch
/// were absent and now belong to this member, at `revision`. Otherwise `found` holds the stored
/// claims in the order of the batch.
struct ClaimsAnswered
{
    bool isWritten = false;
    StoreRevision revision = 0;
    std::vector<std::optional<StoredClaim>> found;
};

/// The last WriteClaims or ReadClaims got no answer. A write may have taken effect.
struct ClaimsUnanswered
{ };

/// The last DeleteClaims has completed, or got no answer (`isUnanswered`).
struct ClaimsDeleted
{
    bool isUnanswered = false;
};

/// Another member asks for the answer to a request that was claimed at this member.
struct ClaimQueried
{
    MemberName from;
    ClaimQuery query;
};

/// Another member has replied to a query of this member.
struct ClaimQueryAnswered
{
    ClaimAnswer answer;
};

/// The set of live members has changed.
struct ClaimMembersChanged
{
    std::set<MemberName> members;
};

/// Expires what has passed its deadline and starts the next call if it is due.
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

/// One transaction: writes all claims if all of them are absent, and reads all of them otherwise.
struct WriteClaims
{
    std::vector<ClaimWrite> claims;
};

/// Reads all claims, in this order.
struct ReadClaims
{
    std::vector<ClaimName> names;
};

struct ClaimDelete
{
    ClaimName name;
    StoreRevision revision = 0;
};

/// One transaction: deletes all claims if each of them is stored at its given revision.
struct DeleteClaims
{
    std::vector<ClaimDelete> claims;
};

/// Whether a request may run. Each ClaimRequested gets exactly one decision.
struct ClaimDecision
{
    enum class Kind : std::uint8_t {
        Granted, // The request may run.
        Unavailable, // The claim could not be acquired; the request has not run.
        KeyReused, // The key belongs to a request with other content; this one has not run.
        AlreadyStarted, // The first request with this key may have run or may be running.
        Replay, // `response` is the answer to the first request with this key.
    };

    RequestNumber number = 0;
    Kind kind = Kind::Unavailable;
    HttpResponse response;

    [[nodiscard]] auto name() const -> std::string_view;
};

/// Asks the member that owns a claim for the answer to its request.
struct QueryClaimOwner
{
    MemberName owner;
    ClaimQuery query;
};

/// Replies to the query of another member.
struct AnswerClaimQuery
{
    MemberName to;
    ClaimAnswer answer;
};

using ClaimAction = std::variant<WriteClaims, ReadClaims, DeleteClaims, ClaimDecision,
                                 QueryClaimOwner, AnswerClaimQuery>;

/// Decides which requests with an idempotency key may run. A claim is written to the store before
/// its request is dispatched, so that every member finds it, even after the member
/// that wrote it has failed. At most one call to the store is in flight; claims that arrive in the
/// meantime are batched into the next call. Does no I/O and reads no clock.
class ClaimTable
{
public:
    explicit ClaimTable(Incarnation self)
        : m_self(std::move(self))
    { }

    /// Applies one event and returns the actions that follow from it.
    auto step(const ClaimEvent &event, BootTime now) -> std::vector<ClaimAction>;
    /// Returns when the next call to the store may be sent, if one is pending.
    [[nodiscard]] auto nextCall() const -> std::optional<BootTime>;
    /// Returns about how many bytes the claims of finished requests and their answers take.
    [[nodiscard]] auto retainedBytes() const -> std::size_t { return m_retainedBytes; }

private:
    enum class State : std::uint8_t { Waiting, InFlight, Granted, Finished };
    enum class Call : std::uint8_t { None, Write, Read, Delete };

    /// A repeat that waits at this member for the answer to the first request.
    struct Waiter
    {
        RequestNumber number = 0;
        BootTime deadline;
    };

    /// A query to another member. A live member acknowledges it at once, before it has the answer.
    struct Query
    {
        RequestNumber number = 0;
        BootTime deadline;
        BootTime acknowledgementDeadline;
    };

    /// A query of another member that waits for the answer to a request of this member.
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
        BootTime storeDeadline; // When the wait for the store's answer ends.
        BootTime repeatDeadline; // When a repeat stops waiting for the first request's answer.
        bool isAbandoned = false; // The request has been refused as not run.
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

    auto reportDecision(RequestNumber number, ClaimDecision::Kind kind, HttpResponse response = {})
        -> void;
    auto handleRepeat(Entry &entry, const ClaimRequested &event) -> void;
    auto grant(const ClaimName &name, Entry &entry, StoreRevision revision) -> void;
    auto resolve(const ClaimName &name, const std::optional<StoredClaim> &found) -> void;
    auto handleForeignClaim(Entries::iterator it, const ClaimRecord &record) -> void;
    auto queryOwner(RequestNumber number, BootTime deadline, const ClaimName &name,
                    const ClaimRecord &record) -> void;
    auto release(const ClaimName &name, RequestNumber number, StoreRevision revision) -> void;
    auto recordNotRun(RequestNumber number) -> void;
    auto answerPeers(Entry &entry) -> void;
    auto retain(const ClaimName &name, Entry &entry) -> void;
    auto evict() -> void;
    auto expireRequests() -> void;
    auto expireWaiters() -> void;
    auto startNextCall() -> void;
    auto writeClaims() -> void;
    auto deleteClaims() -> void;
    [[nodiscard]] auto callInterval() const -> Duration;

    Incarnation m_self;
    BootTime m_now;
    BootTime m_nextCall;
    Call m_call = Call::None;
    bool m_isWriteTurn = true;
    std::set<MemberName> m_members;
    Entries m_entries;
    std::unordered_map<RequestNumber, ClaimName> m_granted;
    std::deque<ClaimName> m_waiting;
    std::vector<ClaimName> m_batch;
    std::map<ClaimName, StoreRevision> m_pendingDeletes;
    std::vector<ClaimDelete> m_deletesInFlight;
    std::unordered_set<RequestNumber> m_notRun;
    std::deque<RequestNumber> m_notRunOrder;
    std::map<std::uint64_t, Query> m_queries;
    std::deque<std::pair<ClaimName, RequestNumber>> m_retained;
    std::size_t m_retainedBytes = 0;
    std::vector<ClaimAction> m_actions;
};

} // namespace shallotproxy
