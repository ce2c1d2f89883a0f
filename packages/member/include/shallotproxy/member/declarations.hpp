#pragma once

#include <memory>
#include <variant>

#include "shallotproxy/job.hpp"

namespace shallotproxy {

/// A queue that callers reach under a host name and a path prefix.
struct JobQueue
{
    QueueName name;
    std::string hostName;
    std::string pathPrefix;
    bool isPublic = false; // callers need no API key
    QueueRules rules;
};

/// The parts of one version of the operators' configuration that concern jobs.
struct FleetDeclaration
{
    ConfigurationVersion version = 0;
    std::vector<JobQueue> queues;
    std::map<std::string, TeamName> teamsByApiKey;
    SchedulingRules rules;
};

/// The operators closed this data centre: nothing new starts in it.
struct ClosedDataCentre
{
    DataCentreName dataCentre;
};

/// The content of one record that operators write to the store.
using Declaration = std::variant<FleetDeclaration, ClosedDataCentre, UpkeepWave>;

/// The queue that an admitted call is for, and the team that makes it.
struct AdmittedCall
{
    const JobQueue *queue = nullptr;
    TeamName team;
    std::string subpath; // the path after the queue's prefix
};

/// Why a call isn't admitted. A refused call has had no effect.
struct CallRefusal
{
    enum class Kind { NoConfiguration = 921, Stale = 922, NoQueue = 923, UnknownKey = 924 };

    Kind kind = Kind::NoConfiguration;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string { return std::string(name()); }
    [[nodiscard]] auto status() const -> unsigned;
};

/// The newest configuration that this member has read, and when the store last confirmed that
/// there is no newer one.
///
/// A withdrawn API key must stop working within seconds, also at a member that can't reach the
/// store. Such a member refuses calls with a key until the store has confirmed its configuration
/// again.
class DeclarationCache
{
public:
    explicit DeclarationCache(Duration freshnessPeriod)
        : m_freshnessPeriod(freshnessPeriod)
    { }

    /// Replaces the configuration unless the new version is no higher. Returns whether it did.
    auto update(std::shared_ptr<const FleetDeclaration> declaration) -> bool;
    /// Records that all changes that the store had at `at` have been applied.
    auto confirmed(BootTime at) -> void { m_confirmedAt = std::max(m_confirmedAt, at); }
    /// Whether the last confirmation is recent enough to admit calls with a key.
    [[nodiscard]] auto isFresh(BootTime now) const -> bool;
    [[nodiscard]] auto age(BootTime now) const -> Duration { return now - m_confirmedAt; }
    [[nodiscard]] auto current() const -> const std::shared_ptr<const FleetDeclaration> &
    {
        return m_current;
    }
    /// Finds the queue of a call by its longest path prefix and checks the call's API key.
    [[nodiscard]] auto admit(std::string_view hostName, std::string_view path,
                             std::string_view apiKey, BootTime now) const
        -> Expected<AdmittedCall, CallRefusal>;

private:
    Duration m_freshnessPeriod;
    BootTime m_confirmedAt;
    std::shared_ptr<const FleetDeclaration> m_current;
};

} // namespace shallotproxy
