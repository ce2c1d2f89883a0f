#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "../base/error.hpp"

namespace shallotproxy {

/// Revision in the platform's key-value service; 0 means that a record is absent.
using StoreRevision = std::int64_t;
using StoreLease = std::int64_t;

struct StoreRecord
{
    std::string key;
    std::string value;
    StoreRevision revision = 0;
};

/// Reads one key, or all keys that start with `key`.
struct StoreRange
{
    std::string key;
    bool isPrefix = false;
};

/// Holds if the last change of the key has this revision (0: the key is absent).
struct StoreCompare
{
    std::string key;
    StoreRevision revision = 0;
};

struct StorePut
{
    std::string key;
    std::string value;
    StoreLease lease = 0;
};

/// Deletes one key, or all keys that start with `key`.
struct StoreDelete
{
    std::string key;
    bool isPrefix = false;
};

using StoreOperation = std::variant<StorePut, StoreDelete, StoreRange>;

/// Atomic compare-and-swap: runs `onSuccess` if all compares hold, `onFailure` otherwise.
struct StoreTransaction
{
    std::vector<StoreCompare> compares;
    std::vector<StoreOperation> onSuccess;
    std::vector<StoreOperation> onFailure;
};

struct StoreLeaseGrant
{
    std::int64_t seconds = 0;
};

struct StoreLeaseKeepAlive
{
    StoreLease lease = 0;
};

struct StoreLeaseRevoke
{
    StoreLease lease = 0;
};

using StoreCall =
    std::variant<StoreTransaction, StoreLeaseGrant, StoreLeaseKeepAlive, StoreLeaseRevoke>;

/// Answer to any call. `reads` has the records of each StoreRange of the branch that ran, in order.
/// `lease` and `leaseSeconds` are set by lease calls; `leaseSeconds` is 0 if the lease has expired.
struct StoreAnswer
{
    bool hasSucceeded = false;
    StoreRevision revision = 0;
    std::vector<std::vector<StoreRecord>> reads;
    StoreLease lease = 0;
    std::int64_t leaseSeconds = 0;
};

/// Failure of a call to the platform's key-value service. A write may have taken effect
/// nevertheless.
struct StoreError
{
    enum class Kind { Unreachable = 401, TimedOut = 402, Malformed = 403, Refused = 404 };

    Kind kind = Kind::Unreachable;
    std::string detail;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

using StoreReply = Expected<StoreAnswer, StoreError>;
using StoreCallback = std::function<void(StoreReply)>;

/// Requirements on an adapter to the platform's key-value service. Another service needs only
/// another type that meets them.
template <typename T>
concept KeyValueStore = requires(T &store, StoreCall call, StoreCallback callback)
{
    store.call(std::move(call), std::move(callback));
};

} // namespace shallotproxy
