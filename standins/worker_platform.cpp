#include "worker_platform.hpp"

#include <algorithm>

#include <QJsonArray>

namespace standin {

namespace {

using namespace Qt::StringLiterals;

constexpr auto UsageReportLagMilliseconds = 700; // a run reports no usage before
constexpr double MillisecondsPerSecond = 1'000;

auto stringValue(const QJsonObject &json, QLatin1StringView key) -> std::string
{
    return json.value(key).toString().toStdString();
}

} // namespace

WorkerPlatform::WorkerPlatform()
{
    m_clock.start();
}

auto WorkerPlatform::updateRuns(PlatformHost &host) -> void
{
    const auto now = m_clock.elapsed();
    for (auto &[task, run] : host.runs) {
        if (run.state != "running")
            continue;
        const auto elapsedSeconds = static_cast<double>(now - run.started) / MillisecondsPerSecond;
        const auto remainingSeconds = run.workSeconds * (1 - run.progress);
        const auto leaseMilliseconds = run.leaseEnd - run.started;
        const auto isDoneInTime =
            remainingSeconds * MillisecondsPerSecond <= static_cast<double>(leaseMilliseconds);
        if (elapsedSeconds >= remainingSeconds && isDoneInTime) {
            run.state = "done";
        } else if (now > run.leaseEnd) {
            run.state = "lapsed";
        }
    }
}

auto WorkerPlatform::report(const std::string &task, const Run &run) const -> QJsonObject
{
    const auto elapsedMilliseconds = m_clock.elapsed() - run.started;
    const auto isUsageReported =
        elapsedMilliseconds > UsageReportLagMilliseconds && run.state == "running";
    const auto fraction = run.workSeconds <= 0
        ? 1.0
        : static_cast<double>(elapsedMilliseconds) / MillisecondsPerSecond / run.workSeconds;
    return {{u"id"_s, QString::fromStdString(task)},
            {u"epoch"_s, run.epoch},
            {u"state"_s, QString::fromStdString(run.state)},
            {u"progress"_s, std::min(1.0, run.progress + fraction)},
            {u"cores"_s, isUsageReported ? run.cores : 0},
            {u"memory"_s, isUsageReported ? run.memory : 0}};
}

auto WorkerPlatform::isAlive(const std::string &task) const -> bool
{
    return std::ranges::any_of(m_hosts, [&task](const auto &it) {
        const auto run = it.second.runs.find(task);
        return run != it.second.runs.end() && run->second.state == "running";
    });
}

auto WorkerPlatform::start(PlatformHost &host, const QJsonObject &body) -> QJsonObject
{
    const auto task = stringValue(body, "id"_L1);
    const auto epoch = body.value("epoch"_L1).toInteger();
    auto &run = host.runs[task];
    if (epoch < run.epoch) {
        ++m_counts.staleOrders;
        return report(task, run);
    }
    if (epoch == run.epoch)
        return report(task, run); // a repeated order has no effect
    for (auto &[address, other] : m_hosts)
        updateRuns(other);
    if (isAlive(task) && run.epoch != 0)
        ++m_counts.doubleStarts;
    run.state = "ended";
    if (isAlive(task))
        ++m_counts.doubleStarts;
    ++m_counts.starts;
    run = Run();
    run.epoch = epoch;
    run.started = m_clock.elapsed();
    run.leaseEnd = run.started + body.value("lease"_L1).toInteger() * 1'000;
    run.progress = body.value("progress"_L1).toDouble();
    run.workSeconds = body.value("seconds"_L1).toDouble() * m_timeFactor;
    run.cores = body.value("cores"_L1).toDouble() * m_sizeFactor;
    run.memory = body.value("memory"_L1).toDouble() * m_sizeFactor;
    if (host.fault == WorkerFault::BlackHole)
        run.state = "failed";
    return report(task, run);
}

auto WorkerPlatform::order(PlatformHost &host, const std::string &name, const QJsonObject &body)
    -> QJsonObject
{
    const auto task = stringValue(body, "id"_L1);
    const auto epoch = body.value("epoch"_L1).toInteger();
    auto &run = host.runs[task];
    if (epoch < run.epoch) {
        ++m_counts.staleOrders;
        return report(task, run);
    }
    if (epoch > run.epoch) {
        run = Run();
        run.epoch = epoch; // a delayed start with this epoch then counts as repeated
        run.state = "stopped";
    }
    if (run.state == "running" && name != "throttle") {
        const auto current = report(task, run);
        run.progress = current.value("progress"_L1).toDouble();
        run.started = m_clock.elapsed();
        run.state = name == "checkpoint" ? "checkpointed" : "stopped";
    }
    return report(task, run);
}

auto WorkerPlatform::renew(PlatformHost &host, const QJsonObject &body) -> QJsonObject
{
    auto reports = QJsonArray();
    const auto runs = body.value("runs"_L1).toArray();
    for (const auto &it : runs) {
        const auto object = it.toObject();
        const auto task = stringValue(object, "id"_L1);
        const auto entry = host.runs.find(task);
        if (entry == host.runs.end()
            || entry->second.epoch != object.value("epoch"_L1).toInteger()) {
            reports.append(QJsonObject{{u"id"_s, QString::fromStdString(task)},
                                       {u"epoch"_s, object.value("epoch"_L1)},
                                       {u"state"_s, u"unknown"_s}});
            continue;
        }
        entry->second.leaseEnd = m_clock.elapsed() + body.value("lease"_L1).toInteger() * 1'000;
        reports.append(report(task, entry->second));
    }
    return {{u"runs"_s, reports}};
}

auto WorkerPlatform::handleWorker(const std::string &address, const std::string &path,
                                  const QJsonObject &body) -> std::optional<QJsonObject>
{
    auto &host = m_hosts[address];
    if (host.state == "gone" || m_clock.elapsed() < host.rebootEnd)
        return std::nullopt;
    updateRuns(host);
    auto answer = QJsonObject();
    if (path == "/runs/renew") {
        answer = renew(host, body);
    } else {
        const auto runReport = path == "/runs/start"
            ? start(host, body)
            : order(host, path.substr(path.rfind('/') + 1), body);
        answer = {{u"runs"_s, QJsonArray{runReport}}};
    }
    if (host.fault == WorkerFault::Silent)
        return std::nullopt;
    return answer;
}

auto WorkerPlatform::reboot(const QJsonObject &body) -> QJsonObject
{
    auto &host = m_hosts[stringValue(body, "address"_L1)];
    const auto operation = stringValue(body, "operation"_L1);
    if (host.operation != operation) {
        updateRuns(host);
        const auto isBusy = std::ranges::any_of(
            host.runs, [](const auto &it) { return it.second.state == "running"; });
        m_counts.rebootedBusy += isBusy ? 1 : 0;
        host.operation = operation;
        host.rebootEnd = m_clock.elapsed() + m_rebootMilliseconds;
        host.runs.clear();
        ++m_counts.reboots;
    }
    const auto isDone = m_clock.elapsed() >= host.rebootEnd;
    return {{u"state"_s, isDone ? u"done"_s : u"rebooting"_s}};
}

auto WorkerPlatform::setFault(const QJsonObject &body) -> void
{
    const auto address = stringValue(body, "address"_L1);
    const auto mode = stringValue(body, "mode"_L1);
    if (body.contains("timeFactor"_L1))
        m_timeFactor = body.value("timeFactor"_L1).toDouble();
    if (body.contains("sizeFactor"_L1))
        m_sizeFactor = body.value("sizeFactor"_L1).toDouble();
    if (body.contains("rebootMilliseconds"_L1))
        m_rebootMilliseconds = body.value("rebootMilliseconds"_L1).toInteger();
    if (address.empty())
        return;
    auto &host = m_hosts[address];
    if (mode == "live" || mode == "leaving" || mode == "gone") {
        host.state = mode;
    } else {
        host.fault = mode == "black-hole" ? WorkerFault::BlackHole
            : mode == "silent"            ? WorkerFault::Silent
                                          : WorkerFault::None;
    }
}

auto WorkerPlatform::hostList() const -> QJsonObject
{
    auto hosts = QJsonArray();
    for (const auto &[address, host] : m_hosts) {
        hosts.append(QJsonObject{{u"address"_s, QString::fromStdString(address)},
                                 {u"state"_s, QString::fromStdString(host.state)}});
    }
    return {{u"hosts"_s, hosts}};
}

auto WorkerPlatform::countsJson() const -> QJsonObject
{
    return {{u"starts"_s, m_counts.starts},
            {u"doubleStarts"_s, m_counts.doubleStarts},
            {u"staleOrders"_s, m_counts.staleOrders},
            {u"reboots"_s, m_counts.reboots},
            {u"rebootedBusy"_s, m_counts.rebootedBusy}};
}

auto WorkerPlatform::handlePlatform(const std::string &path, const QJsonObject &body) -> QJsonObject
{
    if (path == "/hosts")
        return hostList();
    if (path == "/hosts/reboot")
        return reboot(body);
    if (path == "/fault")
        setFault(body);
    return countsJson();
}

} // namespace standin
