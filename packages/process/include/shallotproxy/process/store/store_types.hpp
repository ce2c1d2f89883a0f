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

/// Revision of the platform's key-value service; 0 stands for "absent".
using StoreRevision = std::int64_t;
using StoreLease = std::int64_t;

struct StoreRecord
{
    std::string key;
    std::string value;
    StoreRevision revision = 0;
};

/// Reads one key, or all keys that start with it.
struct StoreRange
{
    std::string key;
    bool isPrefix = false;
};

/// Holds if the key's last change has this revision (0: the key is absent).
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

/// Deletes one key, or all keys that start with it.
struct StoreDelete
{
    std::string key;
    bool isPrefix = false;
};

using StoreOperation = std::variant<StorePut, StoreDelete, StoreRange>;

/// Atomic compare-and-swap: all compares hold, then `onSuccess`; else `onFailure`.
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

/// Answer to any call. `reads` holds the records of each StoreRange of the branch that ran, in
/// order; `lease` and `leaseSeconds` belong to lease calls (`leaseSeconds` 0: the lease is gone).
struct StoreAnswer
{
    bool hasSucceeded = false;
    StoreRevision revision = 0;
    std::vector<std::vector<StoreRecord>> reads;
    StoreLease lease = 0;
    std::int64_t leaseSeconds = 0;
};

/// Failure of a call to the platform's service. After any of them a write may have taken effect.
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

/// Adapter to the platform's key-value service; another service replaces this one type.
template <typename T>
concept KeyValueStore = requires(T &store, StoreCall call, StoreCallback callback)
{
    store.call(std::move(call), std::move(callback));
};

} // namespace shallotproxy
