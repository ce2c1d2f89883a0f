#include <iostream>
#include <map>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "shallotproxy/connection.hpp"
#include "shallotproxy/process/base/text.hpp"
#include "target_server.hpp"

namespace {

using namespace shallotproxy;
using namespace Qt::StringLiterals;

namespace options = boost::program_options;

constexpr unsigned Ok = 200;

const std::map<QString, standin::TargetFault> faultNames = {
    {u"none"_s, standin::TargetFault::None},
    {u"close"_s, standin::TargetFault::Close},
    {u"partial"_s, standin::TargetFault::Partial},
    {u"no-end"_s, standin::TargetFault::NoEnd},
    {u"silent"_s, standin::TargetFault::Silent},
    {u"late"_s, standin::TargetFault::Late},
    {u"fail-fast"_s, standin::TargetFault::FailFast},
    {u"crossed"_s, standin::TargetFault::Crossed},
    {u"leave"_s, standin::TargetFault::Leave},
    {u"refuse"_s, standin::TargetFault::Refuse},
    {u"cut"_s, standin::TargetFault::Cut},
    {u"silent-open"_s, standin::TargetFault::SilentOpen},
};

constexpr auto DefaultLateMilliseconds = 5'000;

using Targets = std::map<int, std::unique_ptr<standin::TargetServer>>;

auto countsJson(const Targets &targets, const standin::TargetLedger &ledger) -> std::string
{
    auto total = standin::TargetCounts();
    auto ports = QJsonObject();
    for (const auto &[number, target] : targets) {
        const auto &counts = target->counts();
        total.runs += counts.runs;
        total.repeats += counts.repeats;
        total.running += counts.running;
        total.maxRunning = std::max(total.maxRunning, counts.maxRunning);
        ports.insert(QString::number(number), static_cast<qint64>(counts.runs));
    }
    auto teams = QJsonObject();
    for (const auto &[name, counts] : ledger.teams)
        teams.insert(toQString(name), static_cast<qint64>(counts.maxRunning));
    const auto json = QJsonObject{{u"runs"_s, static_cast<qint64>(total.runs)},
                                  {u"repeats"_s, static_cast<qint64>(total.repeats)},
                                  {u"repeatedBodies"_s, static_cast<qint64>(ledger.repeatedBodies)},
                                  {u"running"_s, static_cast<qint64>(total.running)},
                                  {u"mostRunning"_s, static_cast<qint64>(total.maxRunning)},
                                  {u"mostRunningOfTeam"_s, teams},
                                  {u"runsOfPort"_s, ports}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

/// Handles the control interface. `POST /fault` sets a fault: "port" is that of a target, or 0 for
/// all, "mode" the name of the fault, and "milliseconds" the delay of "late". All other requests
/// return the counts.
auto handleControl(Targets &targets, const standin::TargetLedger &ledger,
                   const HttpRequest &request) -> HttpResponse
{
    if (request.path == "/fault") {
        const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
        const auto port = body.value("port"_L1).toInt();
        const auto late = body.value("milliseconds"_L1).toInt(DefaultLateMilliseconds);
        const auto fault = faultNames.find(body.value("mode"_L1).toString());
        for (auto &[number, target] : targets) {
            if (fault != faultNames.end() && (port == 0 || port == number))
                target->setFault(fault->second, late);
        }
        return jsonResponse(Ok, "{}");
    }
    return jsonResponse(Ok, countsJson(targets, ledger));
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    auto firstPort = 0;
    auto count = 0;
    auto control = std::string();
    auto description = options::options_description("Target stand-in: executors on 127.0.0.1");
    description.add_options()("first-port", options::value(&firstPort)->required(), "first port")(
        "count", options::value(&count)->required(), "number of targets")(
        "control", options::value(&control)->required(), "ADDRESS:PORT for faults and counts");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << ec.what() << '\n' << description;
        return 2;
    }
    auto ledger = standin::TargetLedger();
    auto targets = Targets();
    for (auto i = 0; i < count; ++i) {
        const auto port = firstPort + i;
        targets[port] = std::make_unique<standin::TargetServer>(static_cast<quint16>(port), ledger);
        if (!targets[port]->isListening()) {
            std::cerr << "port " << port << " is in use\n";
            return 4;
        }
    }
    auto server =
        HttpServer({}, [&targets, &ledger](const HttpRequest &request, HttpResponder responder) {
            responder.answer(handleControl(targets, ledger, request));
        });
    const auto result = server.listen(control);
    if (!result) {
        std::cerr << result.error().message() << '\n';
        return 4;
    }
    return QCoreApplication::exec();
}
