#include "shallotproxy/request/task/task_json.hpp"

#include <algorithm>
#include <array>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "shallotproxy/process/base/text.hpp"

namespace shallotproxy {

namespace {

using namespace Qt::StringLiterals;

constexpr std::array<std::string_view, 7> RunStateNames = {
    "unknown", "running", "done", "failed", "checkpointed", "stopped", "lapsed"};
constexpr double MaxCores = 1'000'000;
constexpr double MaxMemoryBytes = 1e15;
constexpr double MaxSeconds = 30.0 * 86'400; // 30 days.

auto compact(const QJsonObject &json) -> std::string
{
    return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

auto malformed(std::string detail) -> tl::unexpected<TaskError>
{
    return tl::unexpected(TaskError{TaskError::Kind::Malformed, std::move(detail)});
}

/// Returns a whole number from 0 to `max`, 0 if the field is missing, or no value for anything
/// else.
auto wholeNumber(const QJsonValue &value, double max) -> std::optional<std::uint64_t>
{
    if (value.isUndefined())
        return 0;
    const auto number = value.toDouble(-1);
    if (number < 0 || number > max || number != static_cast<double>(value.toInteger()))
        return std::nullopt;
    return static_cast<std::uint64_t>(value.toInteger());
}

/// Checks that some worker of the task's pool is large enough for it.
auto checkFits(const TaskRecord &record, const Configuration &configuration)
    -> Expected<void, TaskError>
{
    const auto isLargeEnough = [&record](const auto &it) {
        const auto &host = it.second;
        return host.role == HostRole::Worker && host.pool == record.pool
            && fitsInto(record.declared, {host.cores, host.memoryBytes, host.accelerators});
    };
    if (std::ranges::any_of(configuration.hosts, isLargeEnough))
        return {};
    return tl::unexpected(TaskError{TaskError::Kind::NeverFits,
                                    "no worker of pool " + record.pool.value()
                                        + " has the declared cores, memory and accelerators"});
}

auto runJson(const RunId &run) -> QJsonObject
{
    return {{u"id"_s, toQString(run.task.value())}, {u"epoch"_s, static_cast<qint64>(run.epoch)}};
}

} // namespace

auto parseTask(const QByteArray &json, const Configuration &configuration)
    -> Expected<TaskRecord, TaskError>
{
    const auto document = QJsonDocument::fromJson(json);
    if (!document.isObject())
        return malformed("the body is not a JSON object");
    const auto object = document.object();
    auto record = TaskRecord();
    record.pool = PoolName(object.value("pool"_L1).toString().toStdString());
    if (!configuration.pools.contains(record.pool))
        return tl::unexpected(TaskError{TaskError::Kind::UnknownPool, record.pool.value()});
    const auto cores = wholeNumber(object.value("cores"_L1), MaxCores);
    const auto memory = wholeNumber(object.value("memory"_L1), MaxMemoryBytes);
    const auto accelerators = wholeNumber(object.value("accelerators"_L1), MaxCores);
    const auto seconds = wholeNumber(object.value("seconds"_L1), MaxSeconds);
    if (!cores || *cores == 0 || !memory || !accelerators || !seconds) {
        return malformed(
            "cores (1 or more), memory, accelerators and seconds must be whole numbers");
    }
    record.declared = {static_cast<std::uint32_t>(*cores), *memory,
                       static_cast<std::uint32_t>(*accelerators)};
    record.expectedSeconds = static_cast<std::uint32_t>(*seconds);
    record.isUrgent = object.value("urgent"_L1).toBool();
    record.kind = object.value("kind"_L1).toString().toStdString();
    if (const auto fits = checkFits(record, configuration); !fits)
        return tl::unexpected(fits.error());
    return record;
}

auto taskJson(const TaskRecord &record) -> std::string
{
    auto json = QJsonObject{{u"id"_s, toQString(record.id.value())},
                            {u"pool"_s, toQString(record.pool.value())},
                            {u"kind"_s, toQString(record.kind)},
                            {u"state"_s, toQString(taskStateName(record.state))},
                            {u"failures"_s, static_cast<qint64>(record.failures)},
                            {u"checkpoints"_s, static_cast<qint64>(record.checkpoints)},
                            {u"progress"_s, record.progress}};
    if (!record.host.isEmpty())
        json.insert(u"host"_s, toQString(record.host.value()));
    return compact(json);
}

auto taskErrorJson(const TaskError &ec) -> std::string
{
    // Only with an unknown outcome is it open whether the task was accepted.
    const auto isUnknown = ec.kind == TaskError::Kind::OutcomeUnknown;
    return compact({{u"error"_s, ec.number()},
                    {u"name"_s, toQString(ec.name())},
                    {u"outcome"_s, isUnknown ? u"unknown"_s : u"not-run"_s},
                    {u"detail"_s, toQString(ec.detail)}});
}

auto startRunJson(const TaskRecord &record, TaskEpoch epoch, std::int64_t leaseSeconds)
    -> std::string
{
    auto json = runJson({record.id, epoch});
    json.insert(u"team"_s, toQString(record.team.value()));
    json.insert(u"kind"_s, toQString(record.kind));
    json.insert(u"cores"_s, static_cast<qint64>(record.declared.cores));
    json.insert(u"memory"_s, static_cast<qint64>(record.declared.memoryBytes));
    json.insert(u"accelerators"_s, static_cast<qint64>(record.declared.accelerators));
    json.insert(u"seconds"_s, static_cast<qint64>(record.expectedSeconds));
    json.insert(u"progress"_s, record.progress);
    json.insert(u"lease"_s, static_cast<qint64>(leaseSeconds));
    return compact(json);
}

auto runOrderJson(const RunId &run) -> std::string
{
    return compact(runJson(run));
}

auto renewRunsJson(std::span<const RunId> runs, std::int64_t leaseSeconds) -> std::string
{
    auto array = QJsonArray();
    for (const auto &it : runs)
        array.append(runJson(it));
    return compact({{u"lease"_s, static_cast<qint64>(leaseSeconds)}, {u"runs"_s, array}});
}

auto parseRunReports(const QByteArray &json) -> Expected<std::vector<RunReport>, PlatformError>
{
    const auto document = QJsonDocument::fromJson(json);
    const auto runs = document.object().value("runs"_L1);
    if (!runs.isArray()) {
        return tl::unexpected(
            PlatformError{PlatformError::Kind::Malformed, "the field runs is not an array"});
    }
    auto reports = std::vector<RunReport>();
    const auto array = runs.toArray();
    for (const auto &it : array) {
        const auto object = it.toObject();
        const auto name = object.value("state"_L1).toString().toStdString();
        const auto *state = std::ranges::find(RunStateNames, name);
        if (state == RunStateNames.end()) {
            return tl::unexpected(
                PlatformError{PlatformError::Kind::Malformed, "unknown run state \"" + name + '"'});
        }
        auto report = RunReport();
        report.run = {TaskId(object.value("id"_L1).toString().toStdString()),
                      static_cast<TaskEpoch>(object.value("epoch"_L1).toInteger())};
        report.state = static_cast<RunState>(std::distance(RunStateNames.begin(), state));
        report.progress = object.value("progress"_L1).toDouble();
        report.cores = object.value("cores"_L1).toDouble();
        report.memoryBytes = object.value("memory"_L1).toDouble();
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace shallotproxy
