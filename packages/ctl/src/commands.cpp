#include "commands.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include "shallotproxy/process/base/text.hpp"
#include "shallotproxy/process/observe/timeline_merge.hpp"
#include "shallotproxy/version.hpp"

namespace shallotproxy {

namespace {

using namespace Qt::StringLiterals;
using Parameters = std::span<const std::string>;

auto bytesOf(const QJsonObject &json) -> QByteArray
{
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

auto objectOf(const QByteArray &bytes) -> QJsonObject
{
    return QJsonDocument::fromJson(bytes).object();
}

auto textOf(const QJsonObject &json, QLatin1StringView key) -> std::string
{
    return json.value(key).toString().toStdString();
}

auto printLine(std::string_view line) -> void
{
    std::cout << line << '\n';
}

/// Prints the error of a call and returns the exit code for it. A refusal is printed as the
/// member's JSON body describes it.
auto reportError(const ClientError &ec) -> ExitCode
{
    const auto json = objectOf(QByteArray::fromStdString(ec.detail));
    if (ec.kind == ClientError::Kind::Refused && !json.isEmpty()) {
        std::cerr << fmt::format("shallotctl: {} ({}): {}: {}\n", textOf(json, "name"_L1),
                                 json.value("error"_L1).toInt(), textOf(json, "subject"_L1),
                                 textOf(json, "detail"_L1));
        for (const auto &it : json.value("changes"_L1).toArray())
            std::cerr << "  " << it.toString().toStdString() << '\n';
        constexpr auto OutcomeUnknown = static_cast<int>(IntentError::Kind::OutcomeUnknown);
        const auto isUnknown = json.value("error"_L1).toInt() == OutcomeUnknown;
        return isUnknown ? ExitCode::OutcomeUnknown : ExitCode::Refused;
    }
    std::cerr << "shallotctl: " << ec.message() << '\n';
    if (ec.kind == ClientError::Kind::NoAnswer)
        return ExitCode::OutcomeUnknown;
    return ec.kind == ClientError::Kind::Refused ? ExitCode::Refused : ExitCode::Unreachable;
}

auto reportInputErrors(const InputErrors &errors) -> ExitCode
{
    for (const auto &it : errors)
        std::cerr << it.message() << '\n';
    return ExitCode::BadInput;
}

auto printPlan(const QJsonObject &plan) -> void
{
    printLine(fmt::format("plan {} from version {}", textOf(plan, "id"_L1),
                          plan.value("baseVersion"_L1).toInteger()));
    for (const auto &it : plan.value("changes"_L1).toArray())
        printLine("  " + it.toString().toStdString());
    for (const auto &it : plan.value("warnings"_L1).toArray())
        printLine("  warning: " + it.toString().toStdString());
}

auto confirmPlan(const CommandContext &context, const std::string &id) -> ExitCode
{
    const auto reply = context.client->post("/intents/" + id + "/confirm", "{}");
    if (!reply)
        return reportError(reply.error());
    if (context.output == OutputFormat::Json) {
        printLine(reply->toStdString());
    } else {
        const auto json = objectOf(*reply);
        printLine(fmt::format("{} as version {}", textOf(json, "outcome"_L1),
                              json.value("version"_L1).toInteger()));
    }
    return ExitCode::Done;
}

/// Plans the intent and prints the plan; with --yes, also confirms it.
auto planIntentJson(const CommandContext &context, QJsonObject intent) -> ExitCode
{
    if (context.mayBreakBudget)
        intent.insert("mayBreakBudget"_L1, true);
    const auto reply = context.client->post("/intents", bytesOf(intent));
    if (!reply)
        return reportError(reply.error());
    const auto plan = objectOf(*reply);
    if (context.output == OutputFormat::Json) {
        printLine(reply->toStdString());
    } else {
        printPlan(plan);
    }
    if (context.isConfirmed)
        return confirmPlan(context, textOf(plan, "id"_L1));
    if (context.output == OutputFormat::Text)
        printLine("confirm with: shallotctl intent confirm " + textOf(plan, "id"_L1));
    return ExitCode::Done;
}

auto planServiceState(const CommandContext &context, QLatin1StringView kind,
                      const std::string &name, QLatin1StringView state) -> ExitCode
{
    return planIntentJson(context,
                          {{u"kind"_s, kind}, {u"name"_s, toQString(name)}, {u"state"_s, state}});
}

auto declarationsIntent(const std::vector<DeclarationFile> &files) -> QJsonObject
{
    auto array = QJsonArray();
    for (const auto &it : files)
        array.append(QJsonObject{{u"name"_s, toQString(it.name)}, {u"text"_s, toQString(it.text)}});
    return {{u"kind"_s, u"apply"_s}, {u"files"_s, array}};
}

auto runStatus(const CommandContext &context, Parameters /*parameters*/) -> ExitCode
{
    const auto reply = context.client->get("/status");
    if (!reply)
        return reportError(reply.error());
    if (context.output == OutputFormat::Json) {
        printLine(reply->toStdString());
        return ExitCode::Done;
    }
    const auto json = objectOf(*reply);
    printLine(fmt::format("version {} ({}), asked of {}", json.value("version"_L1).toInteger(),
                          json.value("fresh"_L1).toBool() ? "fresh" : "not fresh",
                          textOf(json, "member"_L1)));
    for (const auto &it : json.value("members"_L1).toArray()) {
        const auto member = it.toObject();
        printLine(fmt::format("  {:20} {:16} version {}", textOf(member, "name"_L1),
                              textOf(member, "dataCentre"_L1),
                              member.value("version"_L1).toInteger()));
    }
    return ExitCode::Done;
}

auto runTimeline(const CommandContext &context, Parameters /*parameters*/) -> ExitCode
{
    auto events = std::vector<QJsonObject>();
    auto failures = std::size_t{0};
    for (const auto &it : context.client->endpoints()) {
        const auto reply = context.client->getFrom(it, "/timeline?after=0");
        if (!reply) {
            std::cerr << "shallotctl: " << reply.error().message() << '\n';
            ++failures;
            continue;
        }
        for (const auto &line : reply->split('\n')) {
            if (!line.isEmpty())
                events.push_back(objectOf(line));
        }
    }
    for (const auto &it : mergeTimelines(std::move(events))) {
        if (context.output == OutputFormat::Json) {
            printLine(bytesOf(it).toStdString());
        } else {
            printLine(describeEvent(it));
        }
    }
    return failures == context.client->endpoints().size() ? ExitCode::Unreachable : ExitCode::Done;
}

auto runMetrics(const CommandContext &context, Parameters /*parameters*/) -> ExitCode
{
    const auto reply = context.client->get("/metrics");
    if (!reply)
        return reportError(reply.error());
    std::cout << reply->toStdString();
    return ExitCode::Done;
}

auto runUsage(const CommandContext &context, Parameters /*parameters*/) -> ExitCode
{
    const auto reply = context.client->get("/usage");
    if (!reply)
        return reportError(reply.error());
    if (context.output == OutputFormat::Json) {
        printLine(reply->toStdString());
        return ExitCode::Done;
    }
    printLine(
        fmt::format("{:20} {:>14} {:>12} {:>10}", "team", "slot-seconds", "requests", "tasks"));
    for (const auto &it : objectOf(*reply).value("teams"_L1).toArray()) {
        const auto team = it.toObject();
        const auto name = textOf(team, "team"_L1);
        printLine(fmt::format("{:20} {:14.3f} {:12} {:10}", name.empty() ? "(no key)" : name,
                              team.value("slotSeconds"_L1).toDouble(),
                              team.value("requests"_L1).toInteger(),
                              team.value("tasks"_L1).toInteger()));
    }
    return ExitCode::Done;
}

auto runIntentPlan(const CommandContext &context, Parameters parameters) -> ExitCode
{
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(parameters[0]));
    if (!json.isObject()) {
        std::cerr << "shallotctl: the intent is not a JSON object\n";
        return ExitCode::BadInput;
    }
    return planIntentJson(context, json.object());
}

auto runIntentConfirm(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return confirmPlan(context, parameters[0]);
}

auto runIntentStatus(const CommandContext &context, Parameters parameters) -> ExitCode
{
    const auto reply = context.client->get("/intents/" + parameters[0]);
    if (!reply)
        return reportError(reply.error());
    if (context.output == OutputFormat::Json) {
        printLine(reply->toStdString());
        return ExitCode::Done;
    }
    const auto json = objectOf(*reply);
    const auto state = textOf(json, "state"_L1);
    const auto outcome = state == "applied"
        ? fmt::format("applied as version {}", json.value("version"_L1).toInteger())
        : state;
    printLine(fmt::format("intent {}, planned from version {}: {}", textOf(json, "id"_L1),
                          json.value("baseVersion"_L1).toInteger(), outcome));
    return ExitCode::Done;
}

auto runConfigHistory(const CommandContext &context, Parameters /*parameters*/) -> ExitCode
{
    const auto reply = context.client->get("/history");
    if (!reply)
        return reportError(reply.error());
    if (context.output == OutputFormat::Json) {
        printLine(reply->toStdString());
        return ExitCode::Done;
    }
    for (const auto &it : objectOf(*reply).value("versions"_L1).toArray()) {
        const auto version = it.toObject();
        const auto time = QDateTime::fromMSecsSinceEpoch(
            version.value("wallMilliseconds"_L1).toInteger(), Qt::UTC);
        printLine(fmt::format("version {} at {}", version.value("version"_L1).toInteger(),
                              time.toString(Qt::ISODateWithMs).toStdString()));
        for (const auto &line : version.value("changes"_L1).toArray())
            printLine("  " + line.toString().toStdString());
    }
    return ExitCode::Done;
}

auto runDataCentreOut(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planServiceState(context, "data-centre"_L1, parameters[0], "out"_L1);
}

auto runDataCentreIn(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planServiceState(context, "data-centre"_L1, parameters[0], "in"_L1);
}

auto runPoolDrain(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planServiceState(context, "pool"_L1, parameters[0], "leaving"_L1);
}

auto runPoolRestore(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planServiceState(context, "pool"_L1, parameters[0], "in"_L1);
}

auto runHostDrain(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planServiceState(context, "host"_L1, parameters[0], "leaving"_L1);
}

auto runHostRestore(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planServiceState(context, "host"_L1, parameters[0], "in"_L1);
}

auto runHostMove(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planIntentJson(context,
                          {{u"kind"_s, u"move-host"_s},
                           {u"name"_s, toQString(parameters[0])},
                           {u"pool"_s, toQString(parameters[1])}});
}

auto runKeyCreate(const CommandContext &context, Parameters parameters) -> ExitCode
{
    const auto key = makeKey();
    const auto code = planIntentJson(context,
                                     {{u"kind"_s, u"add-key"_s},
                                      {u"team"_s, toQString(parameters[0])},
                                      {u"key"_s, toQString(key.stored.name.value())},
                                      {u"digest"_s, toQString(key.stored.digest)}});
    if (code == ExitCode::Done)
        printLine("key (shown once): " + key.text);
    return code;
}

auto runKeyWithdraw(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planIntentJson(context,
                          {{u"kind"_s, u"withdraw-key"_s},
                           {u"team"_s, toQString(parameters[0])},
                           {u"key"_s, toQString(parameters[1])}});
}

auto runConfigCheck(const CommandContext &context, Parameters parameters) -> ExitCode
{
    const auto files = loadDeclarationFiles(parameters[0]);
    if (!files)
        return reportInputErrors(files.error());
    const auto configuration = readDeclarations(*files);
    if (!configuration)
        return reportInputErrors(configuration.error());
    if (context.output == OutputFormat::Text) {
        printLine(fmt::format("{} data centres, {} pools, {} hosts, {} teams, {} queues: good",
                              configuration->dataCentres.size(), configuration->pools.size(),
                              configuration->hosts.size(), configuration->teams.size(),
                              configuration->queues.size()));
    }
    return ExitCode::Done;
}

auto planDeclarations(const CommandContext &context, const std::string &path) -> ExitCode
{
    const auto files = loadDeclarationFiles(path);
    if (!files)
        return reportInputErrors(files.error());
    const auto configuration = readDeclarations(*files);
    if (!configuration)
        return reportInputErrors(configuration.error());
    return planIntentJson(context, declarationsIntent(*files));
}

auto runConfigApply(const CommandContext &context, Parameters parameters) -> ExitCode
{
    return planDeclarations(context, parameters[0]);
}

auto runConfigDiff(const CommandContext &context, Parameters parameters) -> ExitCode
{
    auto planOnly = context;
    planOnly.isConfirmed = false;
    return planDeclarations(planOnly, parameters[0]);
}

constexpr auto Commands = std::to_array<Command>({
    {"status", "", 0, "show the configuration's version on every member", runStatus},
    {"timeline", "", 0, "show the merged time line of all members", runTimeline},
    {"metrics", "", 0, "show one member's metrics", runMetrics},
    {"usage", "", 0, "show what was done for each team: slot-seconds, requests, tasks", runUsage},
    {"config check", "DIR", 1, "check declarations without a member", runConfigCheck},
    {"config diff", "DIR", 1, "show what applying declarations would change", runConfigDiff},
    {"config apply", "DIR", 1, "plan to put declarations in force", runConfigApply},
    {"config history", "", 0, "show the newest versions and what each changed", runConfigHistory},
    {"data-centre out", "NAME", 1, "plan to take a data centre out", runDataCentreOut},
    {"data-centre in", "NAME", 1, "plan to bring a data centre back", runDataCentreIn},
    {"pool drain", "NAME", 1, "plan to drain a pool", runPoolDrain},
    {"pool restore", "NAME", 1, "plan to bring a pool back", runPoolRestore},
    {"host drain", "NAME", 1, "plan to drain a host", runHostDrain},
    {"host restore", "NAME", 1, "plan to bring a host back", runHostRestore},
    {"host move", "NAME POOL", 2, "plan to move a host to another pool", runHostMove},
    {"key create", "TEAM", 1, "create a key and plan to add it to a team", runKeyCreate},
    {"key withdraw", "TEAM KEY", 2, "plan to withdraw a key by its name", runKeyWithdraw},
    {"intent plan", "JSON", 1, "plan any intent", runIntentPlan},
    {"intent confirm", "ID", 1, "confirm a plan", runIntentConfirm},
    {"intent status", "ID", 1, "show an intent", runIntentStatus},
});

} // namespace

auto commands() -> std::span<const Command>
{
    return Commands;
}

auto findCommand(std::span<const std::string> words) -> const Command *
{
    const auto it = std::ranges::find_if(Commands, [words](const Command &command) {
        const auto wordCount = static_cast<std::size_t>(std::ranges::count(command.words, ' ')) + 1;
        if (words.size() != wordCount + command.parameterCount)
            return false;
        return fmt::format("{}", fmt::join(words.first(wordCount), " ")) == command.words;
    });
    return it == Commands.end() ? nullptr : &*it;
}

} // namespace shallotproxy
