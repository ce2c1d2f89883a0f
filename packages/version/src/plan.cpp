#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "shallotproxy/version/intent/plan.hpp"
#include "shallotproxy/version/maintenance/waves.hpp"

namespace shallotproxy {

namespace {

// Upper bound of the time until a version is in force on every member.
constexpr auto VersionActivationTime = std::chrono::seconds(5);
// Time that one host is assumed to need for a reboot, for the forecast only.
constexpr auto EstimatedRebootTime = std::chrono::seconds(120);

auto stateName(ServiceState state) -> std::string_view
{
    switch (state) {
    case ServiceState::In:
        return "in";
    case ServiceState::Leaving:
        return "leaving";
    case ServiceState::Out:
        break;
    }
    return "out";
}

auto unknownSubject(std::string subject, std::string_view kind) -> tl::unexpected<IntentError>
{
    return tl::unexpected(IntentError{IntentError::Kind::UnknownSubject, std::move(subject),
                                      fmt::format("no such {}", kind)});
}

/// Computes the configuration that results from an intent of each kind.
struct IntentApplier
{
    using Result = Expected<Configuration, IntentError>;

    const Configuration *current;
    const HostSet *failed;
    IntentId id; // names the maintenance that the intent starts

    auto operator()(const ApplyDeclarations &intent) const -> Result
    {
        auto result = intent.declared;
        result.maintenance = current->maintenance;
        for (auto &[name, team] : result.teams)
            preserveCreatedKeys(name, team);
        for (auto &[name, dataCentre] : result.dataCentres)
            preserveState(current->dataCentres, name, dataCentre);
        for (auto &[name, host] : result.hosts)
            preserveState(current->hosts, name, host);
        return result;
    }

    auto operator()(const SetDataCentreState &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.dataCentres.find(intent.dataCentre);
        if (it == result.dataCentres.end())
            return unknownSubject(intent.dataCentre.value(), "data centre");
        it->second.state = intent.state;
        return result;
    }

    auto operator()(const SetPoolState &intent) const -> Result
    {
        auto result = *current;
        if (!result.pools.contains(intent.pool))
            return unknownSubject(intent.pool.value(), "pool");
        for (auto &[name, host] : result.hosts) {
            if (host.pool == intent.pool)
                setHostState(result, host, intent.state);
        }
        return result;
    }

    auto operator()(const SetHostState &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.hosts.find(intent.host);
        if (it == result.hosts.end())
            return unknownSubject(intent.host.value(), "host");
        setHostState(result, it->second, intent.state);
        return result;
    }

    auto operator()(const MoveHost &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.hosts.find(intent.host);
        if (it == result.hosts.end())
            return unknownSubject(intent.host.value(), "host");
        if (!result.pools.contains(intent.pool))
            return unknownSubject(intent.pool.value(), "pool");
        it->second.pool = intent.pool;
        return result;
    }

    auto operator()(const RebootHosts &intent) const -> Result
    {
        if (!intent.pool.isEmpty() && !current->pools.contains(intent.pool))
            return unknownSubject(intent.pool.value(), "pool");
        if (!intent.dataCentre.isEmpty() && !current->dataCentres.contains(intent.dataCentre))
            return unknownSubject(intent.dataCentre.value(), "data centre");
        auto hosts = std::vector<HostName>();
        for (const auto &[name, host] : current->hosts) {
            const auto isSelected = (intent.pool.isEmpty() || host.pool == intent.pool)
                && (intent.dataCentre.isEmpty() || host.dataCentre == intent.dataCentre);
            if (isSelected)
                hosts.push_back(name);
        }
        return withMaintenance(MaintenanceKind::Reboot, PoolName(), hosts);
    }

    auto operator()(const GrowPool &intent) const -> Result
    {
        if (!current->pools.contains(intent.pool))
            return unknownSubject(intent.pool.value(), "pool");
        const auto hosts =
            chooseHostsToMove(*current, *failed, intent.pool, intent.role, intent.hosts);
        if (hosts.size() < intent.hosts) {
            return tl::unexpected(
                IntentError{IntentError::Kind::BreaksBudget, intent.pool.value(),
                            fmt::format("the other pools can spare {} hosts, not {}", hosts.size(),
                                        intent.hosts)});
        }
        return withMaintenance(MaintenanceKind::Move, intent.pool, hosts);
    }

    auto operator()(const StopMaintenance &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.maintenance.find(intent.intent);
        if (it == result.maintenance.end())
            return unknownSubject(intent.intent.value(), "maintenance under way");
        // Hosts that are out of service finish: a reboot in progress cannot be cancelled.
        it->second.waiting.clear();
        if (it->second.active.empty())
            result.maintenance.erase(it);
        return result;
    }

    auto operator()(const AddKey &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.teams.find(intent.team);
        if (it == result.teams.end())
            return unknownSubject(intent.team.value(), "team");
        it->second.keys.push_back(intent.key);
        return result;
    }

    auto operator()(const WithdrawKey &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.teams.find(intent.team);
        if (it == result.teams.end())
            return unknownSubject(intent.team.value(), "team");
        const auto n = std::erase_if(it->second.keys,
                                     [&intent](const auto &key) { return key.name == intent.key; });
        if (n == 0)
            return unknownSubject(intent.key.value(), "key");
        return result;
    }

private:
    /// Adds a maintenance job for these hosts, if there are any.
    [[nodiscard]] auto withMaintenance(MaintenanceKind kind, const PoolName &pool,
                                       const std::vector<HostName> &hosts) const -> Result
    {
        auto result = *current;
        auto job = MaintenanceJob();
        job.name = id;
        job.kind = kind;
        job.pool = pool;
        job.waiting = maintenanceOrder(*current, hosts);
        if (!job.waiting.empty())
            result.maintenance.emplace(id, std::move(job));
        return result;
    }

    /// Sets the state of a host. One that maintenance has taken out of service gets it once
    /// maintenance of the host ends, never before.
    static auto setHostState(Configuration &result, Host &host, ServiceState state) -> void
    {
        for (auto &[name, job] : result.maintenance) {
            const auto it = std::ranges::find(job.active, host.name, &ActiveHost::host);
            if (it != job.active.end()) {
                it->previousState = state;
                return;
            }
        }
        host.state = state;
    }

    /// Keeps the keys of a team that are not in the declarations; they stay until withdrawn.
    auto preserveCreatedKeys(const TeamName &name, Team &team) const -> void
    {
        const auto it = current->teams.find(name);
        if (it == current->teams.end())
            return;
        for (const auto &key : it->second.keys) {
            if (std::ranges::find(team.keys, key.name, &TeamKey::name) == team.keys.end())
                team.keys.push_back(key);
        }
    }

    /// Keeps the state that an operator has set: applying the same declarations again must not
    /// bring back into service what was taken out since.
    template <typename Map, typename Value>
    static auto preserveState(const Map &before, const typename Map::key_type &name, Value &value)
        -> void
    {
        const auto it = before.find(name);
        if (it != before.end() && value.state == ServiceState::In)
            value.state = it->second.state;
    }
};

template <typename Map, typename Describe>
auto describeMap(const Map &from, const Map &to, std::string_view kind, Describe describe,
                 std::vector<std::string> &lines) -> void
{
    for (const auto &[name, value] : from) {
        if (!to.contains(name))
            lines.push_back(fmt::format("{} {}: removed", kind, name.value()));
    }
    for (const auto &[name, value] : to) {
        const auto it = from.find(name);
        if (it == from.end()) {
            lines.push_back(fmt::format("{} {}: added", kind, name.value()));
        } else if (const auto text = describe(it->second, value); !text.empty()) {
            lines.push_back(fmt::format("{} {}: {}", kind, name.value(), text));
        }
    }
}

auto stateChange(ServiceState from, ServiceState to) -> std::string
{
    return from == to ? std::string()
                      : fmt::format("state {} -> {}", stateName(from), stateName(to));
}

auto describeHost(const Host &from, const Host &to) -> std::string
{
    auto text = stateChange(from.state, to.state);
    if (from.pool != to.pool) {
        text += fmt::format("{}pool {} -> {}", text.empty() ? "" : ", ", from.pool.value(),
                            to.pool.value());
    }
    const auto isSame = from.address == to.address && from.slots == to.slots
        && from.cores == to.cores && from.memoryBytes == to.memoryBytes && from.rack == to.rack
        && from.dataCentre == to.dataCentre && from.connections == to.connections
        && from.accelerators == to.accelerators && from.role == to.role;
    if (!isSame)
        text += fmt::format("{}changed", text.empty() ? "" : ", ");
    return text;
}

auto describeTeam(const Team &from, const Team &to) -> std::string
{
    auto parts = std::vector<std::string>();
    if (from.share != to.share)
        parts.push_back(fmt::format("share {} -> {}", from.share, to.share));
    if (from.limit != to.limit)
        parts.push_back(fmt::format("limit {} -> {}", from.limit, to.limit));
    const auto has = [](const Team &team, const TeamKey &key) {
        return std::ranges::any_of(team.keys, [&key](const auto &it) {
            return it.name == key.name && it.digest == key.digest;
        });
    };
    for (const auto &it : from.keys) {
        if (!has(to, it))
            parts.push_back(fmt::format("key {} withdrawn", it.name.value()));
    }
    for (const auto &it : to.keys) {
        if (!has(from, it))
            parts.push_back(fmt::format("key {} given", it.name.value()));
    }
    return fmt::format("{}", fmt::join(parts, ", "));
}

auto describeQueue(const Queue &from, const Queue &to) -> std::string
{
    const auto isSame = from.pool == to.pool && from.isOpen == to.isOpen
        && from.isUrgent == to.isUrgent && from.isIdempotent == to.isIdempotent
        && from.deadlineMilliseconds == to.deadlineMilliseconds && from.capacity == to.capacity;
    return isSame ? "" : "changed";
}

auto describeJob(const MaintenanceJob &from, const MaintenanceJob &to) -> std::string
{
    auto parts = std::vector<std::string>();
    if (from.waiting.size() != to.waiting.size()) {
        parts.push_back(
            fmt::format("{} hosts wait, {} before", to.waiting.size(), from.waiting.size()));
    }
    for (const auto &it : to.active) {
        const auto before = std::ranges::find(from.active, it.host, &ActiveHost::host);
        if (before != from.active.end() && before->previousState != it.previousState) {
            parts.push_back(fmt::format("host {} goes back to state {}", it.host.value(),
                                        stateName(it.previousState)));
        }
    }
    return fmt::format("{}", fmt::join(parts, ", "));
}

auto describePool(const Pool &from, const Pool &to) -> std::string
{
    return from.maxUnavailable == to.maxUnavailable
        ? ""
        : fmt::format("budget {} -> {} hosts", from.maxUnavailable, to.maxUnavailable);
}

auto describeMargin(const PoolMargin &margin) -> std::string
{
    return fmt::format("pool {}: {} of {} hosts unavailable, {} allowed, margin {}",
                       margin.pool.value(), margin.unavailable, margin.hosts, margin.allowed,
                       margin.remaining());
}

auto mayBreakBudget(const Intent &intent) -> bool
{
    return std::visit(
        [](const auto &it) {
            if constexpr (requires { it.mayBreakBudget; })
                return it.mayBreakBudget;
            return false;
        },
        intent);
}

auto inServicePerDataCentre(const Configuration &configuration, const HostSet &failed)
    -> std::map<DataCentreName, std::uint32_t>
{
    auto counts = std::map<DataCentreName, std::uint32_t>();
    for (const auto &[name, host] : configuration.hosts) {
        auto &count = counts[host.dataCentre];
        if (!isUnavailable(configuration, host, failed))
            ++count;
    }
    return counts;
}

/// Adds the margins of the pools and the available hosts of the data centres that change, and the
/// smallest margin.
auto describeCapacity(const Configuration &current, Plan &plan, const HostSet &failed) -> void
{
    const auto before = poolMargins(current, failed);
    const auto after = poolMargins(plan.result, failed);
    auto isChanged = false;
    for (const auto &[name, margin] : after) {
        const auto it = before.find(name);
        if (it == before.end() || it->second.unavailable == margin.unavailable)
            continue;
        isChanged = true;
        plan.changes.push_back("then " + describeMargin(margin));
    }
    const auto dataCentresBefore = inServicePerDataCentre(current, failed);
    for (const auto &[name, count] : inServicePerDataCentre(plan.result, failed)) {
        const auto it = dataCentresBefore.find(name);
        if (it != dataCentresBefore.end() && it->second != count) {
            plan.changes.push_back(fmt::format("then data centre {}: {} hosts in service, was {}",
                                               name.value(), count, it->second));
        }
    }
    if (isChanged) {
        plan.changes.push_back("least margin: " + describeMargin(minMargin(plan.result, failed)));
    }
}

auto joinNames(const std::vector<HostName> &hosts) -> std::string
{
    auto names = std::vector<std::string>();
    for (const auto &it : hosts)
        names.push_back(it.value());
    return fmt::format("{}", fmt::join(names, ", "));
}

/// Adds one line per wave, with the pool that has the smallest margin and the data centre that has
/// the fewest hosts in service during it.
auto describeWaves(Plan &plan, const HostSet &failed) -> void
{
    const auto &job = plan.result.maintenance.at(plan.id);
    const auto forecast = forecastMaintenance(plan.result, failed, plan.id);
    auto number = 0;
    for (const auto &wave : forecast.waves) {
        const auto pool =
            std::ranges::min_element(wave.pools, [](const auto &left, const auto &right) {
                return left.second.remaining() < right.second.remaining();
            });
        const auto dataCentre =
            std::ranges::min_element(wave.inService, [](const auto &left, const auto &right) {
                return left.second < right.second;
            });
        plan.changes.push_back(fmt::format(
            "wave {} of {}: {} {}; least: {}; data centre {}: {} hosts in service", ++number,
            forecast.waves.size(), maintenanceName(job.kind), joinNames(wave.hosts),
            describeMargin(pool->second), dataCentre->first.value(), dataCentre->second));
    }
    // A request may take until its deadline to leave a host.
    std::uint32_t drainMilliseconds = 0;
    for (const auto &[name, queue] : plan.result.queues)
        drainMilliseconds = std::max(drainMilliseconds, queue.deadlineMilliseconds);
    const auto perWave = std::chrono::milliseconds(drainMilliseconds) + VersionActivationTime
        + (job.kind == MaintenanceKind::Reboot ? EstimatedRebootTime : std::chrono::seconds(0));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        perWave * static_cast<std::int64_t>(forecast.waves.size()));
    plan.changes.push_back(fmt::format("about {} s in {} waves, {} hosts; least margin: {}",
                                       seconds.count(), forecast.waves.size(), job.waiting.size(),
                                       describeMargin(forecast.minMargin)));
    if (!forecast.blocked.empty()) {
        plan.warnings.push_back("no margin now, will wait for it: " + joinNames(forecast.blocked));
    }
}

} // namespace

auto IntentError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::UnknownSubject:
        return "unknown-subject";
    case Kind::Stale:
        return "stale-plan";
    case Kind::BreaksBudget:
        return "breaks-budget";
    case Kind::NothingToDo:
        return "nothing-to-do";
    case Kind::UnknownIntent:
        return "unknown-intent";
    case Kind::Malformed:
        return "malformed-intent";
    case Kind::NotApplied:
        return "not-applied";
    case Kind::OutcomeUnknown:
        return "outcome-unknown";
    case Kind::NotFresh:
        break;
    }
    return "not-fresh";
}

auto IntentError::message() const -> std::string
{
    return fmt::format("{}: {}: {}", name(), subject, detail);
}

auto describeChanges(const Configuration &from, const Configuration &to) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    const auto dataCentre = [](const DataCentre &left, const DataCentre &right) {
        return stateChange(left.state, right.state);
    };
    describeMap(from.dataCentres, to.dataCentres, "data centre", dataCentre, lines);
    describeMap(from.pools, to.pools, "pool", describePool, lines);
    describeMap(from.hosts, to.hosts, "host", describeHost, lines);
    describeMap(from.teams, to.teams, "team", describeTeam, lines);
    describeMap(from.queues, to.queues, "queue", describeQueue, lines);
    describeMap(from.maintenance, to.maintenance, "maintenance", describeJob, lines);
    return lines;
}

auto planIntent(const Configuration &current, const Intent &intent, const HostSet &failed,
                const IntentId &id) -> Expected<Plan, IntentError>
{
    auto plan = Plan();
    plan.id = id.isEmpty() ? IntentId(randomHex(8)) : id;
    auto changed = std::visit(IntentApplier{&current, &failed, plan.id}, intent);
    if (!changed)
        return tl::unexpected(changed.error());
    plan.baseVersion = current.version;
    plan.changes = describeChanges(current, *changed);
    plan.result = std::move(*changed);
    plan.result.version = current.version + 1;
    if (plan.changes.empty()) {
        return tl::unexpected(IntentError{IntentError::Kind::NothingToDo, "configuration",
                                          "the intent changes nothing"});
    }
    const auto broken = brokenBudgets(current, plan.result, failed);
    for (const auto &it : broken)
        plan.warnings.push_back("breaks the budget of " + describeMargin(it));
    if (!broken.empty() && !mayBreakBudget(intent)) {
        return tl::unexpected(IntentError{IntentError::Kind::BreaksBudget,
                                          broken.front().pool.value(),
                                          describeMargin(broken.front())});
    }
    describeCapacity(current, plan, failed);
    if (plan.result.maintenance.contains(plan.id))
        describeWaves(plan, failed);
    return plan;
}

} // namespace shallotproxy
