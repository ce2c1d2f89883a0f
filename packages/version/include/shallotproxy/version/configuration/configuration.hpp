#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../maintenance/job.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

enum class HostRole : std::uint8_t { Target, Worker };

/// The state that operators have requested for a host or data centre.
enum class ServiceState : std::uint8_t { In, Leaving, Out };

struct DataCentre
{
    DataCentreName name;
    ServiceState state = ServiceState::In;
    MSGPACK_DEFINE(name, state)
};

/// A pool of hosts with its availability budget.
struct Pool
{
    PoolName name;
    std::uint32_t maxUnavailable = 1; // hosts that may be unavailable at once
    MSGPACK_DEFINE(name, maxUnavailable)
};

/// A host. Its pool is a single field, so a host is in exactly one pool.
struct Host
{
    HostName name;
    DataCentreName dataCentre;
    RackName rack;
    PoolName pool;
    HostRole role = HostRole::Target;
    ServiceState state = ServiceState::In;
    std::string address; // ADDRESS:PORT
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t cores = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;
    MSGPACK_DEFINE(name, dataCentre, rack, pool, role, state, address, slots, connections, cores,
                   memoryBytes, accelerators)
};

/// A key of a team. Only its digest is stored.
struct TeamKey
{
    KeyName name;
    std::string digest; // SHA-256, lower-case hexadecimal
    MSGPACK_DEFINE(name, digest)
};

struct Team
{
    TeamName name;
    std::uint32_t share = 1; // weight when demand exceeds capacity
    std::uint32_t limit = 0; // maximum of requests and tasks running at once, fleet-wide
    std::vector<TeamKey> keys;
    MSGPACK_DEFINE(name, share, limit, keys)
};

struct Queue
{
    QueueName name;
    PoolName pool;
    bool isOpen = false; // accepts work without a key
    bool isUrgent = false;
    bool isIdempotent = false;
    std::uint32_t deadlineMilliseconds = 30'000;
    std::uint32_t capacity = 1'000; // waiting requests per member
    MSGPACK_DEFINE(name, pool, isOpen, isUrgent, isIdempotent, deadlineMilliseconds, capacity)
};

/// A version of everything that operators declare. Immutable once published.
struct Configuration
{
    ConfigurationVersion version = 0;
    std::map<DataCentreName, DataCentre> dataCentres;
    std::map<PoolName, Pool> pools;
    std::map<HostName, Host> hosts;
    std::map<TeamName, Team> teams;
    std::map<QueueName, Queue> queues;
    MaintenanceJobs maintenance;

    /// Returns whether new work may start on the host: it and its data centre are in service.
    [[nodiscard]] auto acceptsWork(const Host &host) const -> bool;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace shallotproxy

MSGPACK_ADD_ENUM(shallotproxy::HostRole)
MSGPACK_ADD_ENUM(shallotproxy::ServiceState)
