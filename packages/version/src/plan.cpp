#include <algorithm>

#include <fmt/format.h>

#include "shallotproxy/version/intent/plan.hpp"

namespace shallotproxy {

namespace {

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

auto unknown(std::string subject, std::string_view kind) -> tl::unexpected<IntentError>
{
    return tl::unexpected(IntentError{IntentError::Kind::UnknownSubject, std::move(subject),
                                      fmt::format("no such {}", kind)});
}

/// Changes the configuration as one kind of intent asks.
struct IntentChange
{
    using Result = Expected<Configuration, IntentError>;

    const Configuration *current;

    auto operator()(const ApplyDeclarations &intent) const -> Result
    {
        auto result = intent.wanted;
        for (auto &[name, team] : result.teams)
            keepCreatedKeys(name, team);
        for (auto &[name, dataCentre] : result.dataCentres)
            keepState(current->dataCentres, name, dataCentre);
        for (auto &[name, host] : result.hosts)
            keepState(current->hosts, name, host);
        return result;
    }

    auto operator()(const SetDataCentreState &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.dataCentres.find(intent.dataCentre);
        if (it == result.dataCentres.end())
            return unknown(intent.dataCentre.value(), "data centre");
        it->second.state = intent.state;
        return result;
    }

    auto operator()(const SetPoolState &intent) const -> Result
    {
        auto result = *current;
        if (!result.pools.contains(intent.pool))
            return unknown(intent.pool.value(), "pool");
        for (auto &[name, host] : result.hosts) {
            if (host.pool == intent.pool)
                host.state = intent.state;
        }
        return result;
    }

    auto operator()(const SetHostState &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.hosts.find(intent.host);
        if (it == result.hosts.end())
            return unknown(intent.host.value(), "host");
        it->second.state = intent.state;
        return result;
    }

    auto operator()(const MoveHost &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.hosts.find(intent.host);
        if (it == result.hosts.end())
            return unknown(intent.host.value(), "host");
        if (!result.pools.contains(intent.pool))
            return unknown(intent.pool.value(), "pool");
        it->second.pool = intent.pool;
        return result;
    }

    auto operator()(const AddKey &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.teams.find(intent.team);
        if (it == result.teams.end())
            return unknown(intent.team.value(), "team");
        it->second.keys.push_back(intent.key);
        return result;
    }

    auto operator()(const WithdrawKey &intent) const -> Result
    {
        auto result = *current;
        const auto it = result.teams.find(intent.team);
        if (it == result.teams.end())
            return unknown(intent.team.value(), "team");
        const auto n = std::erase_if(it->second.keys,
                                     [&intent](const auto &key) { return key.name == intent.key; });
        if (n == 0)
            return unknown(intent.key.value(), "key");
        return result;
    }

private:
    /// Keys of a team that declarations do not mention stay until they are withdrawn.
    auto keepCreatedKeys(const TeamName &name, Team &team) const -> void
    {
        const auto it = current->teams.find(name);
        if (it == current->teams.end())
            return;
        for (const auto &key : it->second.keys) {
            if (std::ranges::find(team.keys, key.name, &TeamKey::name) == team.keys.end())
                team.keys.push_back(key);
        }
    }

    /// Repeating `apply` must not bring back what an operator has taken out since.
    template <typename Map, typename Value>
    static auto keepState(const Map &before, const typename Map::key_type &name, Value &value)
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

auto describePool(const Pool &from, const Pool &to) -> std::string
{
    return from.maxUnavailable == to.maxUnavailable
        ? ""
        : fmt::format("budget {} -> {} hosts", from.maxUnavailable, to.maxUnavailable);
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
    return lines;
}

auto planIntent(const Configuration &current, const Intent &intent) -> Expected<Plan, IntentError>
{
    auto changed = std::visit(IntentChange{&current}, intent);
    if (!changed)
        return tl::unexpected(changed.error());
    auto plan = Plan();
    plan.id = IntentId(randomHex(8));
    plan.baseVersion = current.version;
    plan.changes = describeChanges(current, *changed);
    plan.result = std::move(*changed);
    plan.result.version = current.version + 1;
    if (plan.changes.empty()) {
        return tl::unexpected(IntentError{IntentError::Kind::NothingToDo, "configuration",
                                          "the intent changes nothing"});
    }
    return plan;
}

} // namespace shallotproxy
