#include "status_module.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace shallotproxy {

namespace {

using namespace Qt::StringLiterals;

constexpr unsigned Ok = 200;

} // namespace

StatusModule::StatusModule(ControlContext &context, const ConfigurationModule &configuration)
    : m_context(context)
    , m_configuration(configuration)
{ }

auto StatusModule::handle(const ControlCall &call) -> bool
{
    if (call.source != CallSource::Operators || call.request.path != "/status")
        return false;
    m_context.reply(call, jsonResponse(Ok, statusJson()));
    return true;
}

auto StatusModule::statusJson() const -> std::string
{
    const auto &versions = m_configuration.memberVersions();
    auto members = QJsonArray();
    for (const auto &[name, member] : m_context.members) {
        const auto it = versions.find(name);
        const auto version = it == versions.end() ? ConfigurationVersion{0} : it->second;
        members.append(QJsonObject{{u"name"_s, toQString(name.value())},
                                   {u"dataCentre"_s, toQString(member.dataCentre.value())},
                                   {u"operators"_s, toQString(member.operatorsEndpoint)},
                                   {u"version"_s, static_cast<qint64>(version)}});
    }
    const auto json =
        QJsonObject{{u"member"_s, toQString(m_context.process.self.member.value())},
                    {u"incarnation"_s, QString::number(m_context.process.self.number)},
                    {u"version"_s, static_cast<qint64>(m_context.version())},
                    {u"fresh"_s, m_context.isFresh()},
                    {u"members"_s, members}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace shallotproxy
