#include <functional>
#include <map>
#include <optional>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "shallotproxy/process/base/text.hpp"
#include "shallotproxy/version/input/declarations.hpp"
#include "shallotproxy/version/intent/intent_json.hpp"

namespace shallotproxy {

namespace {

using namespace Qt::StringLiterals;

using IntentResult = Expected<Intent, IntentError>;

auto malformed(std::string detail) -> tl::unexpected<IntentError>
{
    return tl::unexpected(IntentError{IntentError::Kind::Malformed, "intent", std::move(detail)});
}

auto textOf(const QJsonObject &json, QLatin1StringView key) -> std::string
{
    return json.value(key).toString().toStdString();
}

auto stateOf(const QJsonObject &json) -> std::optional<ServiceState>
{
    static const auto states = std::map<std::string, ServiceState>{
        {"in", ServiceState::In}, {"leaving", ServiceState::Leaving}, {"out", ServiceState::Out}};
    const auto it = states.find(textOf(json, "state"_L1));
    return it == states.end() ? std::nullopt : std::optional(it->second);
}

auto mayBreakBudget(const QJsonObject &json) -> bool
{
    return json.value("mayBreakBudget"_L1).toBool();
}

auto parseApply(const QJsonObject &json) -> IntentResult
{
    auto files = std::vector<DeclarationFile>();
    const auto array = json.value("files"_L1).toArray();
    for (const auto &it : array) {
        const auto object = it.toObject();
        files.push_back({textOf(object, "name"_L1), textOf(object, "text"_L1)});
    }
    auto declared = readDeclarations(files);
    if (!declared)
        return malformed(declared.error().front().message());
    return ApplyDeclarations{std::move(*declared)};
}

auto parseState(const QJsonObject &json, std::string_view kind) -> IntentResult
{
    const auto state = stateOf(json);
    if (!state)
        return malformed("state must be in, leaving or out");
    const auto name = textOf(json, "name"_L1);
    if (kind == "data-centre")
        return SetDataCentreState{DataCentreName(name), *state, mayBreakBudget(json)};
    if (kind == "pool")
        return SetPoolState{PoolName(name), *state, mayBreakBudget(json)};
    return SetHostState{HostName(name), *state, mayBreakBudget(json)};
}

auto parseGrow(const QJsonObject &json) -> IntentResult
{
    const auto role = textOf(json, "role"_L1);
    const auto hosts = json.value("hosts"_L1).toInteger();
    if (hosts < 1 || (role != "target" && role != "worker"))
        return malformed("hosts must be 1 or more, role target or worker");
    return GrowPool{PoolName(textOf(json, "name"_L1)),
                    role == "worker" ? HostRole::Worker : HostRole::Target,
                    static_cast<std::uint32_t>(hosts)};
}

auto parseAddKey(const QJsonObject &json) -> IntentResult
{
    auto key = TeamKey{KeyName(textOf(json, "key"_L1)), textOf(json, "digest"_L1)};
    if (key.name.isEmpty() || key.digest.empty())
        return malformed("key and digest must not be empty");
    return AddKey{TeamName(textOf(json, "team"_L1)), std::move(key)};
}

} // namespace

auto parseIntent(const QByteArray &json) -> Expected<Intent, IntentError>
{
    const auto document = QJsonDocument::fromJson(json);
    if (!document.isObject())
        return malformed("not a JSON object");
    const auto object = document.object();
    const auto kind = textOf(object, "kind"_L1);
    if (kind == "apply")
        return parseApply(object);
    if (kind == "data-centre" || kind == "pool" || kind == "host")
        return parseState(object, kind);
    if (kind == "move-host")
        return MoveHost{HostName(textOf(object, "name"_L1)), PoolName(textOf(object, "pool"_L1))};
    if (kind == "reboot") {
        return RebootHosts{PoolName(textOf(object, "pool"_L1)),
                           DataCentreName(textOf(object, "dataCentre"_L1))};
    }
    if (kind == "grow-pool")
        return parseGrow(object);
    if (kind == "stop-maintenance")
        return StopMaintenance{IntentId(textOf(object, "id"_L1))};
    if (kind == "add-key")
        return parseAddKey(object);
    if (kind == "withdraw-key")
        return WithdrawKey{TeamName(textOf(object, "team"_L1)), KeyName(textOf(object, "key"_L1))};
    return malformed("unknown kind '" + kind + "'");
}

} // namespace shallotproxy
