#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "resources.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/error.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// How long the finite tasks that wait in a pool would occupy all of it, by priority of their
/// queue.
class PoolBacklog
{
public:
    /// The part of the backlog that new work of the same priority waits for.
    enum class Kind : std::uint8_t {
        /// May still meet its deadline, and its team is within its rate.
        Entitled,
        /// Its team is within its rate, but its deadline has passed.
        Late,
        /// Beyond the rate of its team.
        Surplus,
    };

    /// `room` is what the pool offers finite tasks, hosts that are on their way included.
    explicit PoolBacklog(const Resources &room)
        : m_room(room)
    { }

    auto add(std::uint32_t priority, Kind kind, const Resources &task, std::int64_t count,
             Duration runTime) -> void;

private:
    friend auto waitsIn(const PoolBacklog &backlog) -> std::vector<struct PoolWait>;

    struct Waiting
    {
        Duration entitled{};
        Duration late{};
        Duration surplus{};
    };

    Resources m_room;
    std::map<std::uint32_t, Waiting> m_waiting;
};

/// How long new work of a priority waits in a pool.
struct PoolWait
{
    std::uint32_t priority = 0;
    /// For work of a team that is within its rate, if it can be in time.
    std::int64_t entitledMilliseconds = 0;
    /// For such work that can't: it comes after what can.
    std::int64_t lateMilliseconds = 0;
    /// For work of a team that isn't.
    std::int64_t surplusMilliseconds = 0;

    auto operator==(const PoolWait &) const -> bool = default;
    MSGPACK_DEFINE(priority, entitledMilliseconds, lateMilliseconds, surplusMilliseconds)
};

/// Returns the waits for the priorities that have a backlog, the first priority first; none if the
/// pool offers no room at all, as it isn't known then when it will.
auto waitsIn(const PoolBacklog &backlog) -> std::vector<PoolWait>;

/// What members have to know of all pools to refuse work that can't be done in time.
struct AdmissionOutlook
{
    /// Pools without a wait are left out.
    std::map<PoolName, std::vector<PoolWait>> pools;
    /// Teams that have used up their rate.
    std::vector<TeamName> exhaustedTeams;

    [[nodiscard]] auto isEmpty() const -> bool { return pools.empty(); }
    auto operator==(const AdmissionOutlook &) const -> bool = default;
    MSGPACK_DEFINE(pools, exhaustedTeams)
};

auto encodeOutlook(const AdmissionOutlook &outlook) -> std::string;
/// Returns no value if the bytes aren't an outlook.
auto decodeOutlook(std::string_view bytes) -> std::optional<AdmissionOutlook>;

/// Decides when an outlook is published.
///
/// Load pattern: peaks of some seconds. Without a backlog nothing is published; during a peak the
/// members learn of changes within a fraction of the shortest deadline. Each publication costs a
/// read of the store for each member: hundreds of members learn of changes less often.
class OutlookPublisher
{
public:
    /// Shortest time between two publications.
    static constexpr std::chrono::milliseconds MinInterval{250};
    /// Longest time between two publications of a backlog, as members forget it after a while.
    static constexpr std::chrono::milliseconds MaxInterval{500};

    /// Most reads a second that the members' watches may cost, of the 2,000 that all calls share.
    static constexpr int MaxReadsPerSecond = 400;
    /// Longest `minInterval`: two publications are within the time that members use one.
    static constexpr std::chrono::milliseconds LongestMinInterval{700};

    /// Returns the shortest time between two publications to this many members.
    static auto minInterval(std::size_t members) -> std::chrono::milliseconds;
    /// Whether an outlook may be published now; before that none has to be made.
    [[nodiscard]] auto isDue(std::size_t members, BootTime now) const -> bool
    {
        return now >= m_publishedAt + minInterval(members);
    }
    /// Whether the outlook is to be published now; the caller does so.
    auto step(const AdmissionOutlook &outlook, std::size_t members, BootTime now) -> bool;

private:
    AdmissionOutlook m_published;
    BootTime m_publishedAt;
};

} // namespace shallotproxy
