#include "fleet_report.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace standin {

namespace {

using namespace Qt::StringLiterals;

using shallotproxy::Configuration;

constexpr double NanosecondsOfSecond = 1e9;
constexpr double WindowSeconds = 10;
constexpr double BucketSeconds = 0.5;
constexpr double LeastEntitlement = 1; // slot-seconds in a window that is judged
constexpr double AfterReturnSeconds = 5;
constexpr double FullUse = 0.9;
const std::string OpenTeam = "open to all";

struct Event
{
    double at = 0; // s
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

/// Requests of a pool now.
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

/// Entitled and used slot-seconds of one team in one stretch of time.
struct Bucket
{
    double entitled = 0;
    double used = 0;
};

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
            m_first = events.front().at;
        m_now = m_first;
        for (const auto &event : events) {
            advance(event.at);
            apply(event);
        }
        judgeWindows();
        return std::move(m_report);
    }

private:
    auto isAbsent(const std::string &dataCentre) const -> bool
    {
        return m_out.contains(dataCentre);
    }

    auto slotsOf(const PoolState &pool) const -> double
    {
        auto slots = 0.0;
        for (const auto &[dataCentre, n] : pool.slots)
            slots += isAbsent(dataCentre) ? 0 : n;
        return slots;
    }

    auto demandsOf(const PoolState &pool) const -> std::map<std::string, double>
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
        const auto bucket = static_cast<std::size_t>((m_now - m_first) / BucketSeconds);
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

    auto isInAbsence() const -> bool
    {
        return !m_report.absences.empty()
            && (!m_out.empty() || m_now < m_returnedAt + AfterReturnSeconds);
    }

    // Full use: over half a second, the returned data centre runs its part of what is open.
    auto advanceReturn(double step) -> void
    {
        if (!m_isReturning)
            return;
        const auto &dataCentre = m_report.absences.back().dataCentre;
        for (const auto &[name, pool] : m_pools) {
            const auto own = pool.slots.find(dataCentre);
            const auto running = pool.runningIn.find(dataCentre);
            if (own == pool.slots.end())
                continue;
            const auto part = own->second / std::max(1.0, slotsOf(pool));
            m_returnPossible += std::min(own->second, sum(demandsOf(pool)) * part) * step;
            m_returnDone += (running == pool.runningIn.end() ? 0 : running->second) * step;
        }
        if (m_now + step < m_returnBucket + BucketSeconds)
            return;
        if (m_returnDone >= FullUse * m_returnPossible) {
            m_report.absences.back().fullUseSeconds = m_returnBucket - m_returnedAt;
            m_isReturning = false;
        }
        m_returnBucket = m_now + step;
        m_returnDone = 0;
        m_returnPossible = 0;
    }

    auto apply(const Event &event) -> void
    {
        if (event.kind == "request.arrive")
            arrive(event);
        if (event.kind == "request.start")
            start(event);
        if (event.kind == "request.not-sent")
            leaveHost(event.subject);
        if (event.kind == "request.end" || event.kind == "request.drop")
            end(event.subject);
        if (event.kind.starts_with("intent.") && event.attribute("what"_L1) == "data-centre")
            changeDataCentre(event);
    }

    auto arrive(const Event &event) -> void
    {
        const auto queue =
            m_configuration.queues.find(shallotproxy::QueueName(event.attribute("queue"_L1)));
        if (queue == m_configuration.queues.end())
            return;
        auto request = Request();
        request.pool = queue->second.pool.value();
        request.team = event.attribute("team"_L1);
        if (request.team.empty())
            request.team = OpenTeam;
        m_pools[request.pool].open[request.team] += 1;
        m_requests[event.subject] = request;
    }

    auto start(const Event &event) -> void
    {
        const auto it = m_requests.find(event.subject);
        if (it == m_requests.end())
            return;
        leaveHost(event.subject);
        auto &request = it->second;
        request.runningIn = event.attribute("dataCentre"_L1);
        auto &pool = m_pools[request.pool];
        pool.running[request.team] += 1;
        pool.runningIn[request.runningIn] += 1;
    }

    auto leaveHost(const std::string &id) -> void
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end() || it->second.runningIn.empty())
            return;
        auto &pool = m_pools[it->second.pool];
        pool.running[it->second.team] -= 1;
        pool.runningIn[it->second.runningIn] -= 1;
        it->second.runningIn.clear();
    }

    auto end(const std::string &id) -> void
    {
        leaveHost(id);
        const auto it = m_requests.find(id);
        if (it == m_requests.end())
            return;
        m_pools[it->second.pool].open[it->second.team] -= 1;
        m_requests.erase(it);
    }

    // Slots go when the absence is in force, and are back as soon as the return is confirmed.
    auto changeDataCentre(const Event &event) -> void
    {
        const auto name = event.attribute("name"_L1);
        const auto isBack = event.attribute("state"_L1) == "in";
        if (event.kind == "intent.applied" && !isBack && m_out.insert(name).second) {
            m_report.absences.push_back({});
            m_report.absences.back().dataCentre = name;
        }
        if (event.kind == "intent.confirm" && isBack && m_out.erase(name) > 0) {
            m_returnedAt = m_now;
            m_returnBucket = m_now;
            m_isReturning = true;
        }
    }

    auto judgeWindows() -> void
    {
        constexpr auto Width = static_cast<std::size_t>(WindowSeconds / BucketSeconds);
        for (const auto &[team, buckets] : m_buckets) {
            for (std::size_t i = 0; i < buckets.size(); ++i) {
                auto window = Bucket();
                for (auto k = i; k < std::min(i + Width, buckets.size()); ++k) {
                    window.entitled += buckets[k].entitled;
                    window.used += buckets[k].used;
                }
                if (window.entitled < LeastEntitlement)
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
    std::set<std::string> m_out;
    double m_first = 0;
    double m_now = 0;
    double m_returnedAt = 0;
    double m_returnBucket = 0;
    double m_returnDone = 0;
    double m_returnPossible = 0;
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
    auto given = std::map<std::string, double>();
    auto open = std::set<std::string>();
    for (const auto &[name, demand] : demands) {
        given[name] = 0;
        if (demand > 0)
            open.insert(name);
    }
    auto left = slots;
    // Each round satisfies at least one demand, or divides all that is left.
    while (!open.empty() && left > 0) {
        auto weight = 0.0;
        for (const auto &name : open)
            weight += weightOf(name);
        auto satisfied = std::vector<std::string>();
        for (const auto &name : open) {
            if (demands.at(name) <= left * weightOf(name) / weight)
                satisfied.push_back(name);
        }
        if (satisfied.empty()) {
            for (const auto &name : open)
                given[name] = left * weightOf(name) / weight;
            break;
        }
        for (const auto &name : satisfied) {
            given[name] = demands.at(name);
            left -= demands.at(name);
            open.erase(name);
        }
    }
    return given;
}

auto reportOf(const std::vector<QJsonObject> &events, const Configuration &configuration)
    -> FleetReport
{
    auto list = std::vector<Event>();
    list.reserve(events.size());
    for (const auto &it : events) {
        list.push_back(
            {static_cast<double>(it.value("bootNs"_L1).toInteger()) / NanosecondsOfSecond,
             it.value("kind"_L1).toString().toStdString(),
             it.value("subject"_L1).toString().toStdString(),
             it.value("attributes"_L1).toObject()});
    }
    std::ranges::stable_sort(list, {}, &Event::at);
    return Replay(configuration).run(list);
}

} // namespace standin
