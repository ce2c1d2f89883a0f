#pragma once

#include <memory>
#include <variant>

#include "shallotproxy/job.hpp"

namespace shallotproxy {

/// A queue that callers reach under a host name and the beginning of a path.
struct JobQueue
{
    QueueName name;
    std::string hostName;
    std::string pathPrefix;
    bool isOpen = false; // needs no key
    QueueRules rules;
};

/// One version of the operators' declarations, as far as jobs need it.
struct FleetDeclaration
{
    ConfigurationVersion version = 0;
    std::vector<JobQueue> queues;
    std::map<std::string, TeamName> teamsByKey;
    SchedulingRules rules;
};

/// Nothing more is to be started in this data centre.
struct ClosedDataCentre
{
    DataCentreName dataCentre;
};

/// What one record of the operators says.
using Declaration = std::variant<FleetDeclaration, ClosedDataCentre, UpkeepWave>;

/// Which queue a call is for, and on whose behalf.
struct AdmittedCall
{
    const JobQueue *queue = nullptr;
    TeamName team;
    std::string rest; // of the path, after the queue's prefix
};

/// Why a call isn't admitted. Nothing has run.
struct CallRefusal
{
    enum class Kind { NoConfiguration = 921, Stale = 922, NoQueue = 923, UnknownKey = 924 };

    Kind kind = Kind::NoConfiguration;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string { return std::string(name()); }
    [[nodiscard]] auto status() const -> unsigned;
};

/// What this member knows of the operators' declarations, and since when it has known no newer
/// ones.
///
/// Load: a key that was withdrawn must stop working within seconds, also at a member that can't
/// reach the store. Such a member refuses calls with a key until it is sure again.
class DeclarationBoard
{
public:
    explicit DeclarationBoard(Duration longestUnsure)
        : m_longestUnsure(longestUnsure)
    { }

    /// The newest declaration; older versions are dropped. Returns whether it was taken.
    auto declared(std::shared_ptr<const FleetDeclaration> declaration) -> bool;
    /// Everything that the store had at `at` has been taken in.
    auto confirmed(BootTime at) -> void { m_confirmedAt = std::max(m_confirmedAt, at); }
    [[nodiscard]] auto isFresh(BootTime now) const -> bool;
    [[nodiscard]] auto age(BootTime now) const -> Duration { return now - m_confirmedAt; }
    [[nodiscard]] auto current() const -> const std::shared_ptr<const FleetDeclaration> &
    {
        return m_current;
    }
    [[nodiscard]] auto admit(std::string_view hostName, std::string_view path, std::string_view key,
                             BootTime now) const -> Expected<AdmittedCall, CallRefusal>;

private:
    Duration m_longestUnsure;
    BootTime m_confirmedAt;
    std::shared_ptr<const FleetDeclaration> m_current;
};

} // namespace shallotproxy
