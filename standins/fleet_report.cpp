#include "fleet_report.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace standin {

namespace {

using namespace Qt::StringLiterals;

using shallotproxy::Configuration;

constexpr double NanosecondsPerSecond = 1e9;
constexpr double WindowSeconds = 10;
constexpr double BucketSeconds = 0.5;
// Windows with a lower entitlement do not count for the worst gap.
constexpr double MinEntitledSlotSeconds = 1;
constexpr double AfterReturnSeconds = 5; // part of the absence that follows the return
constexpr double FullUseFraction = 0.9; // of the possible slot-seconds of a returned data centre
const std::string anonymousTeam = "open to all"; // requests to queues that need no key

struct Event
{
    double at = 0; // seconds since boot
    std::string kind;
    std::string subject;
    QJsonObject attributes;

    [[nodiscard]] auto attribute(QLatin1StringView key) const -> std::string
    {
        return attributes.value(key).toString().toStdString();
    }
};

struct Request
{
    std::string pool;
    std::string team;
    std::string runningIn; // data centre; empty while queued
};

/// Requests and slots of a pool at the current time of the replay.
struct PoolState
{
    std::map<std::string, double> open; // per team, queued and running
    std::map<std::string, double> running; // per team
    std::map<std::string, double> runningIn; // per data centre
    std::map<std::string, double> slots; // per data centre
};

auto sum(const std::map<std::string, double> &values) -> double
{
    auto total = 0.0;
    for (const auto &[name, value] : values)
        total += value;
    return total;
}

/// Entitled and used slot-seconds of one team in one interval of `BucketSeconds`.
struct Bucket
{
    double entitled = 0;
    double used = 0;
};

/// Applies the events of a run in order of time and integrates the use of slots between them.
class Replay
{
public:
    explicit Replay(const Configuration &configuration)
        : m_configuration(configuration)
    {
        for (const auto &[name, team] : configuration.teams) {
            m_weights[name.value()] = team.share;
            m_limits[name.value()] = team.limit;
            m_report.teams[name.value()].share = team.share;
        }
        for (const auto &[name, host] : configuration.hosts) {
            if (host.role == shallotproxy::HostRole::Target)
                m_pools[host.pool.value()].slots[host.dataCentre.value()] += host.slots;
        }
    }

    auto run(const std::vector<Event> &events) -> FleetReport
    {
        if (!events.empty())
            m_startedAt = events.front().at;
        m_now = m_startedAt;
        for (const auto &event : events) {
            advance(event.at);
            apply(event);
        }
        computeWorstGaps();
        return std::move(m_report);
    }

private:
    [[nodiscard]] auto isAbsent(const std::string &dataCentre) const -> bool
    {
        return m_absentDataCentres.contains(dataCentre);
    }

    [[nodiscard]] auto slotsOf(const PoolState &pool) const -> double
    {
        auto slots = 0.0;
        for (const auto &[dataCentre, n] : pool.slots)
            slots += isAbsent(dataCentre) ? 0 : n;
        return slots;
    }

    [[nodiscard]] auto demandsOf(const PoolState &pool) const -> std::map<std::string, double>
    {
        auto demands = pool.open;
        for (auto &[team, n] : demands) {
            const auto limit = m_limits.find(team);
            if (limit != m_limits.end())
                n = std::min(n, limit->second);
        }
        return demands;
    }

    auto advance(double at) -> void
    {
        const auto step = at - m_now;
        if (step > 0) {
            for (const auto &[name, pool] : m_pools)
                advancePool(pool, step);
            advanceReturn(step);
        }
        m_now = std::max(m_now, at);
    }

    auto advancePool(const PoolState &pool, double step) -> void
    {
        const auto slots = slotsOf(pool);
        const auto demands = demandsOf(pool);
        const auto demand = sum(demands);
        for (const auto &[team, n] : pool.running)
            m_report.teams[team].usedSlotSeconds += n * step;
        if (isInAbsence()) {
            auto &absence = m_report.absences.back();
            absence.doneSlotSeconds += std::min(sum(pool.running), slots) * step;
            absence.possibleSlotSeconds += std::min(demand, slots) * step;
        }
        if (demand <= slots)
            return;
        ++m_report.fullIntervals;
        const auto bucket = static_cast<std::size_t>((m_now - m_startedAt) / BucketSeconds);
        for (const auto &[team, entitled] : divideByWeight(slots, demands, m_weights)) {
            const auto running = pool.running.find(team);
            const auto used = running == pool.running.end() ? 0 : running->second;
            auto &report = m_report.teams[team];
            report.fullSlotSeconds += used * step;
            report.entitledSlotSeconds += entitled * step;
            auto &buckets = m_buckets[team];
            buckets.resize(std::max(buckets.size(), bucket + 1));
            buckets[bucket].entitled += entitled * step;
            buckets[bucket].used += used * step;
        }
    }

    [[nodiscard]] auto isInAbsence() const -> bool
    {
        return !m_report.absences.empty()
            && (!m_absentDataCentres.empty() || m_now < m_returnedAt + AfterReturnSeconds);
    }

    // A returned data centre is in full use when, over an interval of `BucketSeconds`, it runs at
    // least `FullUseFraction` of its proportion of the open requests.
    auto advanceReturn(double step) -> void
    {
        if (!m_isReturning)
            return;
        const auto &dataCentre = m_report.absences.back().dataCentre;
        for (const auto &[name, pool] : m_pools) {
            const auto ownSlots = pool.slots.find(dataCentre);
            const auto running = pool.runningIn.find(dataCentre);
            if (ownSlots == pool.slots.end())
                continue;
            const auto slotFraction = ownSlots->second / std::max(1.0, slotsOf(pool));
            m_returnPossibleSlotSeconds +=
                std::min(ownSlots->second, sum(demandsOf(pool)) * slotFraction) * step;
            m_returnDoneSlotSeconds +=
                (running == pool.runningIn.end() ? 0 : running->second) * step;
        }
        if (m_now + step < m_returnIntervalStart + BucketSeconds)
            return;
        if (m_returnDoneSlotSeconds >= FullUseFraction * m_returnPossibleSlotSeconds) {
            m_report.absences.back().fullUseSeconds = m_returnIntervalStart - m_returnedAt;
            m_isReturning = false;
        }
        m_returnIntervalStart = m_now + step;
        m_returnDoneSlotSeconds = 0;
        m_returnPossibleSlotSeconds = 0;
    }

    auto apply(const Event &event) -> void
    {
        if (event.kind == "request.arrive")
            applyArrival(event);
        if (event.kind == "request.start")
            applyStart(event);
        if (event.kind == "request.not-sent")
            releaseSlot(event.subject);
        if (event.kind == "request.end" || event.kind == "request.drop")
            endRequest(event.subject);
        if (event.kind.starts_with("intent.") && event.attribute("what"_L1) == "data-centre")
            changeDataCentre(event);
    }

    auto applyArrival(const Event &event) -> void
    {
        const auto queue =
            m_configuration.queues.find(shallotproxy::QueueName(event.attribute("queue"_L1)));
        if (queue == m_configuration.queues.end())
            return;
        auto request = Request();
        request.pool = queue->second.pool.value();
        request.team = event.attribute("team"_L1);
        if (request.team.empty())
            request.team = anonymousTeam;
        m_pools[request.pool].open[request.team] += 1;
        m_requests[event.subject] = request;
    }

    auto applyStart(const Event &event) -> void
    {
        const auto it = m_requests.find(event.subject);
        if (it == m_requests.end())
            return;
        releaseSlot(event.subject);
        auto &request = it->second;
        request.runningIn = event.attribute("dataCentre"_L1);
        auto &pool = m_pools[request.pool];
        pool.running[request.team] += 1;
        pool.runningIn[request.runningIn] += 1;
    }

    auto releaseSlot(const std::string &id) -> void
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end() || it->second.runningIn.empty())
            return;
        auto &pool = m_pools[it->second.pool];
        pool.running[it->second.team] -= 1;
        pool.runningIn[it->second.runningIn] -= 1;
        it->second.runningIn.clear();
    }

    auto endRequest(const std::string &id) -> void
    {
        releaseSlot(id);
        const auto it = m_requests.find(id);
        if (it == m_requests.end())
            return;
        m_pools[it->second.pool].open[it->second.team] -= 1;
        m_requests.erase(it);
    }

    // The slots are removed when the absence is in force, and added when the return is confirmed.
    auto changeDataCentre(const Event &event) -> void
    {
        const auto name = event.attribute("name"_L1);
        const auto isReturn = event.attribute("state"_L1) == "in";
        if (event.kind == "intent.applied" && !isReturn
            && m_absentDataCentres.insert(name).second) {
            m_report.absences.push_back({});
            m_report.absences.back().dataCentre = name;
        }
        if (event.kind == "intent.confirm" && isReturn && m_absentDataCentres.erase(name) > 0) {
            m_returnedAt = m_now;
            m_returnIntervalStart = m_now;
            m_isReturning = true;
        }
    }

    auto computeWorstGaps() -> void
    {
        constexpr auto Width = static_cast<std::size_t>(WindowSeconds / BucketSeconds);
        for (const auto &[team, buckets] : m_buckets) {
            for (std::size_t i = 0; i < buckets.size(); ++i) {
                auto window = Bucket();
                for (auto k = i; k < std::min(i + Width, buckets.size()); ++k) {
                    window.entitled += buckets[k].entitled;
                    window.used += buckets[k].used;
                }
                if (window.entitled < MinEntitledSlotSeconds)
                    continue;
                auto &worst = m_report.teams[team].worstGap;
                worst = std::max(worst, 1 - window.used / window.entitled);
            }
        }
    }

    const Configuration &m_configuration;
    std::map<std::string, double> m_weights;
    std::map<std::string, double> m_limits;
    std::map<std::string, PoolState> m_pools;
    std::map<std::string, Request> m_requests;
    std::map<std::string, std::vector<Bucket>> m_buckets;
    std::set<std::string> m_absentDataCentres;
    double m_startedAt = 0;
    double m_now = 0;
    double m_returnedAt = 0;
    double m_returnIntervalStart = 0;
    double m_returnDoneSlotSeconds = 0;
    double m_returnPossibleSlotSeconds = 0;
    bool m_isReturning = false;
    FleetReport m_report;
};

} // namespace

auto TeamReport::gap() const -> double
{
    return entitledSlotSeconds > 0 ? std::max(0.0, 1 - fullSlotSeconds / entitledSlotSeconds) : 0;
}

auto AbsenceReport::doneShare() const -> double
{
    return possibleSlotSeconds > 0 ? doneSlotSeconds / possibleSlotSeconds : 1;
}

auto divideByWeight(double slots, const std::map<std::string, double> &demands,
                    const std::map<std::string, double> &weights) -> std::map<std::string, double>
{
    const auto weightOf = [&weights](const std::string &name) {
        const auto it = weights.find(name);
        return it == weights.end() || it->second <= 0 ? 1.0 : it->second;
    };
    auto allocated = std::map<std::string, double>();
    auto unsatisfied = std::set<std::string>();
    for (const auto &[name, demand] : demands) {
        allocated[name] = 0;
        if (demand > 0)
            unsatisfied.insert(name);
    }
    auto remaining = slots;
    // Each round satisfies at least one demand, or divides all remaining slots and ends the loop.
    while (!unsatisfied.empty() && remaining > 0) {
        auto weight = 0.0;
        for (const auto &name : unsatisfied)
            weight += weightOf(name);
        auto satisfied = std::vector<std::string>();
        for (const auto &name : unsatisfied) {
            if (demands.at(name) <= remaining * weightOf(name) / weight)
                satisfied.push_back(name);
        }
        if (satisfied.empty()) {
            for (const auto &name : unsatisfied)
                allocated[name] = remaining * weightOf(name) / weight;
            break;
        }
        for (const auto &name : satisfied) {
            allocated[name] = demands.at(name);
            remaining -= demands.at(name);
            unsatisfied.erase(name);
        }
    }
    return allocated;
}

auto reportOf(const std::vector<QJsonObject> &events, const Configuration &configuration)
    -> FleetReport
{
    auto list = std::vector<Event>();
    list.reserve(events.size());
    for (const auto &it : events) {
        list.push_back(
            {static_cast<double>(it.value("bootNs"_L1).toInteger()) / NanosecondsPerSecond,
             it.value("kind"_L1).toString().toStdString(),
             it.value("subject"_L1).toString().toStdString(),
             it.value("attributes"_L1).toObject()});
    }
    std::ranges::stable_sort(list, {}, &Event::at);
    return Replay(configuration).run(list);
}

} // namespace standin
