#include "intent_module.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

using namespace Qt::StringLiterals;

constexpr std::string_view IntentsPath = "/intents";
constexpr std::string_view ConfirmSuffix = "/confirm";
constexpr std::string_view HistoryPath = "/history";
constexpr std::string_view Planned = "planned";
constexpr std::string_view Applied = "applied";
constexpr unsigned Ok = 200;
constexpr unsigned Created = 201;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned Unavailable = 503;

auto intentKey(const IntentId &id) -> std::string
{
    return "intents/" + id.value();
}

auto statusOf(IntentError::Kind kind) -> unsigned
{
    switch (kind) {
    case IntentError::Kind::UnknownIntent:
    case IntentError::Kind::UnknownSubject:
        return NotFound;
    case IntentError::Kind::Stale:
    case IntentError::Kind::BreaksBudget:
    case IntentError::Kind::NotApplied:
        return Conflict;
    case IntentError::Kind::OutcomeUnknown:
    case IntentError::Kind::NotFresh:
        return Unavailable;
    default:
        return BadRequest;
    }
}

auto linesJson(const std::vector<std::string> &lines) -> QJsonArray
{
    auto array = QJsonArray();
    for (const auto &it : lines)
        array.append(toQString(it));
    return array;
}

auto planJson(const Plan &plan) -> std::string
{
    const auto json = QJsonObject{{u"id"_s, toQString(plan.id.value())},
                                  {u"baseVersion"_s, static_cast<qint64>(plan.baseVersion)},
                                  {u"changes"_s, linesJson(plan.changes)},
                                  {u"warnings"_s, linesJson(plan.warnings)}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

auto stateName(ServiceState state) -> std::string
{
    return state == ServiceState::In ? "in" : state == ServiceState::Leaving ? "leaving" : "out";
}

/// Describes what an intent takes out of service or restores, as attributes of timeline events.
struct IntentSubject
{
    using Result = std::vector<TimelineAttribute>;

    const Configuration *result; // the configuration that the intent leads to

    auto operator()(const SetDataCentreState &it) const -> Result
    {
        return describe("data-centre", it.dataCentre.value(), stateName(it.state));
    }
    auto operator()(const SetPoolState &it) const -> Result
    {
        return describe("pool", it.pool.value(), stateName(it.state));
    }
    auto operator()(const SetHostState &it) const -> Result
    {
        return describe("host", it.host.value(), stateName(it.state));
    }
    auto operator()(const AddKey &it) const -> Result
    {
        return describe("keys", it.team.value(), "in");
    }
    auto operator()(const WithdrawKey &it) const -> Result
    {
        const auto team = result->teams.find(it.team);
        const auto hasKeys = team != result->teams.end() && !team->second.keys.empty();
        return describe("keys", it.team.value(), hasKeys ? "in" : "out");
    }
    template <typename Other>
    auto operator()(const Other & /*intent*/) const -> Result
    {
        return {};
    }

private:
    static auto describe(std::string what, std::string name, std::string state) -> Result
    {
        return {{"what", std::move(what)}, {"name", std::move(name)}, {"state", std::move(state)}};
    }
};

auto eventAttributes(const Intent &intent, const Configuration &result)
    -> std::vector<TimelineAttribute>
{
    auto attributes = std::visit(IntentSubject{&result}, intent);
    attributes.push_back({"version", fmt::format("{}", result.version)});
    return attributes;
}

} // namespace

IntentModule::IntentModule(ControlContext &context, ConfigurationModule &configuration)
    : m_context(context)
    , m_configuration(configuration)
{ }

auto IntentModule::handle(const ControlCall &call) -> bool
{
    const auto path = std::string_view(call.request.path);
    if (call.source != CallSource::Operators)
        return false;
    if (path == HistoryPath) {
        showHistory(call);
        return true;
    }
    if (!path.starts_with(IntentsPath))
        return false;
    const auto rest = path.substr(IntentsPath.size());
    if (rest.empty() && call.request.method == "POST") {
        plan(call);
        return true;
    }
    if (!rest.starts_with('/'))
        return false;
    const auto name = rest.substr(1);
    if (name.ends_with(ConfirmSuffix) && call.request.method == "POST") {
        const auto id = name.substr(0, name.size() - ConfirmSuffix.size());
        confirm(call, IntentId(std::string(id)));
        return true;
    }
    show(call, IntentId(std::string(name)));
    return true;
}

auto IntentModule::refuse(const ControlCall &call, const IntentError &ec,
                          const std::vector<std::string> &changes) -> void
{
    auto json = QJsonObject{{u"error"_s, ec.number()},
                            {u"name"_s, toQString(ec.name())},
                            {u"subject"_s, toQString(ec.subject)},
                            {u"detail"_s, toQString(ec.detail)}};
    if (!changes.empty())
        json.insert("changes"_L1, linesJson(changes));
    const auto body = QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
    m_context.reply(call, jsonResponse(statusOf(ec.kind), body));
}

auto IntentModule::plan(const ControlCall &call) -> void
{
    if (!m_context.isFresh()) {
        refuse(call,
               {IntentError::Kind::NotFresh, "configuration", "the configuration is not fresh"});
        return;
    }
    const auto intent = parseIntent(QByteArray::fromStdString(call.request.body));
    if (!intent) {
        refuse(call, intent.error());
        return;
    }
    const auto plan = planIntent(*m_context.configuration, *intent, m_context.failedHosts);
    if (!plan) {
        refuse(call, plan.error());
        return;
    }
    const auto record = IntentRecord{call.request.body, plan->baseVersion, std::string(Planned), 0};
    const auto key = m_context.key(intentKey(plan->id));
    // Written only if absent: a repeat of this write must not reset an intent that has been applied
    // since. The id is new, so an existing record was written by this call.
    auto transaction = StoreTransaction();
    transaction.compares.push_back({key, 0});
    transaction.onSuccess.emplace_back(StorePut{key, packRecord(record), 0});
    const auto body = planJson(*plan);
    const auto id = plan->id;
    m_context.store(std::move(transaction), [this, call, body, id](const StoreReply &reply) {
        if (!reply) {
            refuse(call,
                   {IntentError::Kind::NotFresh, id.value(),
                    "the store did not confirm the plan's record"});
            return;
        }
        m_context.record("intent.plan", id.value());
        m_context.reply(call, jsonResponse(Created, body));
    });
}

template <typename Function>
auto IntentModule::withRecord(const ControlCall &call, const IntentId &id, Function function,
                              IntentError::Kind ifUnavailable) -> void
{
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(intentKey(id)), false});
    m_context.store(
        std::move(transaction), [this, call, id, function, ifUnavailable](const StoreReply &reply) {
            if (!reply) {
                refuse(call, {ifUnavailable, id.value(), "the store did not answer"});
                return;
            }
            if (reply->reads.front().empty()) {
                refuse(call, {IntentError::Kind::UnknownIntent, id.value(), "no such intent"});
                return;
            }
            const auto record = unpackRecord<IntentRecord>(reply->reads.front().front().value);
            if (record) {
                function(*record);
            } else {
                refuse(call,
                       {IntentError::Kind::Malformed, id.value(), "the record can't be decoded"});
            }
        });
}

auto IntentModule::show(const ControlCall &call, const IntentId &id) -> void
{
    withRecord(call, id, [this, call, id](const IntentRecord &record) {
        const auto isStale = record.state == Planned && record.baseVersion != m_context.version();
        const auto state = isStale ? std::string("stale") : record.state;
        const auto json =
            QJsonObject{{u"id"_s, toQString(id.value())},
                        {u"baseVersion"_s, static_cast<qint64>(record.baseVersion)},
                        {u"state"_s, toQString(state)},
                        {u"version"_s, static_cast<qint64>(record.appliedVersion)},
                        {u"intent"_s,
                         QJsonDocument::fromJson(QByteArray::fromStdString(record.json)).object()}};
        const auto body = QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
        m_context.reply(call, jsonResponse(Ok, body));
    });
}

auto IntentModule::confirm(const ControlCall &call, const IntentId &id) -> void
{
    withRecord(call, id,
               [this, call, id](const IntentRecord &record) { confirmRecord(call, id, record); });
}

auto IntentModule::confirmRecord(const ControlCall &call, const IntentId &id,
                                 const IntentRecord &record) -> void
{
    if (record.state == Applied) {
        answerApplied(call, id, record.appliedVersion);
        return;
    }
    if (!m_context.isFresh()) {
        refuse(call, {IntentError::Kind::NotFresh, id.value(), "the configuration is not fresh"});
        return;
    }
    if (record.baseVersion != m_context.version()) {
        refuseStale(call, id, record.baseVersion);
        return;
    }
    const auto intent = parseIntent(QByteArray::fromStdString(record.json));
    if (!intent) {
        refuse(call, intent.error());
        return;
    }
    const auto plan = planIntent(*m_context.configuration, *intent, m_context.failedHosts, id);
    if (!plan) {
        refuse(call, plan.error());
        return;
    }
    auto attributes = eventAttributes(*intent, plan->result);
    m_context.record("intent.confirm", id.value(), attributes);
    const auto version = plan->result.version;
    auto applied = record;
    applied.state = Applied;
    applied.appliedVersion = version;
    const auto put = StorePut{m_context.key(intentKey(id)), packRecord(applied), 0};
    m_configuration.publish(
        plan->result, {put}, [this, call, id, version, attributes](PublishOutcome outcome) {
            if (outcome == PublishOutcome::Applied) {
                m_context.record("intent.applied", id.value(), attributes);
                answerApplied(call, id, version);
            } else if (outcome == PublishOutcome::NotApplied) {
                resolveNotApplied(call, id);
            } else {
                refuse(call,
                       {IntentError::Kind::OutcomeUnknown, id.value(),
                        "query it with: shallotctl intent status " + id.value()});
            }
        });
}

auto IntentModule::answerApplied(const ControlCall &call, const IntentId &id,
                                 ConfigurationVersion version) -> void
{
    const auto body =
        fmt::format(R"({{"id":"{}","outcome":"applied","version":{}}})", id.value(), version);
    m_context.reply(call, jsonResponse(Ok, body));
}

// Another member may have applied the same intent, confirmed twice, at the same time.
auto IntentModule::resolveNotApplied(const ControlCall &call, const IntentId &id) -> void
{
    withRecord(
        call, id,
        [this, call, id](const IntentRecord &record) {
            if (record.state == Applied) {
                answerApplied(call, id, record.appliedVersion);
            } else if (record.baseVersion != m_context.version()) {
                refuseStale(call, id, record.baseVersion);
            } else {
                refuse(call,
                       {IntentError::Kind::NotApplied, id.value(),
                        "no majority of the members answered, or the store did not answer"});
            }
        },
        IntentError::Kind::OutcomeUnknown);
}

auto IntentModule::refuseStale(const ControlCall &call, const IntentId &id,
                               ConfigurationVersion base) -> void
{
    const auto now = m_context.version();
    m_configuration.readHistory(
        [this, call, id, base, now](const std::vector<HistoryRecord> &history) {
            auto changes = std::vector<std::string>();
            for (const auto &it : history) {
                for (const auto &line : it.lines) {
                    if (it.version > base)
                        changes.push_back(fmt::format("version {}: {}", it.version, line));
                }
            }
            const auto detail = fmt::format("planned from version {}, now {}", base, now);
            refuse(call, {IntentError::Kind::Stale, id.value(), detail}, changes);
        });
}

auto IntentModule::showHistory(const ControlCall &call) -> void
{
    m_configuration.readHistory([this, call](const std::vector<HistoryRecord> &history) {
        auto versions = QJsonArray();
        for (const auto &it : history) {
            versions.append(
                QJsonObject{{u"version"_s, static_cast<qint64>(it.version)},
                            {u"wallMilliseconds"_s, static_cast<qint64>(it.wallMilliseconds)},
                            {u"changes"_s, linesJson(it.lines)}});
        }
        const auto json = QJsonObject{{u"versions"_s, versions}};
        const auto body = QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
        m_context.reply(call, jsonResponse(Ok, body));
    });
}

} // namespace shallotproxy
