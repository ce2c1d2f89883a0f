#pragma once

#include <map>
#include <optional>
#include <string>

#include <QElapsedTimer>
#include <QJsonObject>

namespace standin {

/// How a worker misbehaves.
enum class WorkerFault {
    None,
    BlackHole, // fails every run at once
    Silent, // runs what it is told but never answers
};

/// One run of a task on one worker.
struct Run
{
    qint64 epoch = 0;
    std::string state = "running";
    qint64 started = 0; // milliseconds
    qint64 leaseEnd = 0;
    double workSeconds = 0; // true run time of the whole task
    double progress = 0; // at its start
    double cores = 0; // true use
    double memory = 0;
};

/// A host as the platform sees it: a worker, or a target that it only reboots.
struct PlatformHost
{
    WorkerFault fault = WorkerFault::None;
    std::string state = "live"; // live, leaving or gone
    std::string operation; // last reboot
    qint64 rebootEnd = 0;
    std::map<std::string, Run> runs;
};

struct PlatformCounts
{
    int starts = 0;
    int doubleStarts = 0; // started while a run of the same task was alive
    int staleOrders = 0; // refused by their epoch
    int reboots = 0;
    int rebootedBusy = 0; // rebooted while a task was running there
};

/// All workers and the host list of one platform, in one process. Hosts are known by address.
class WorkerPlatform
{
public:
    WorkerPlatform();

    /// Answers a worker's call; no value if the worker is silent or rebooting.
    auto handleWorker(const std::string &address, const std::string &path, const QJsonObject &body)
        -> std::optional<QJsonObject>;
    /// Answers a call to the platform's own address: host list, reboot, fault, counts.
    auto handlePlatform(const std::string &path, const QJsonObject &body) -> QJsonObject;

private:
    auto start(PlatformHost &host, const QJsonObject &body) -> QJsonObject;
    auto order(PlatformHost &host, const std::string &name, const QJsonObject &body) -> QJsonObject;
    auto renew(PlatformHost &host, const QJsonObject &body) -> QJsonObject;
    auto reboot(const QJsonObject &body) -> QJsonObject;
    auto setFault(const QJsonObject &body) -> void;
    [[nodiscard]] auto hostList() const -> QJsonObject;
    [[nodiscard]] auto countsJson() const -> QJsonObject;
    [[nodiscard]] auto isAlive(const std::string &task) const -> bool;
    auto update(PlatformHost &host) -> void;
    [[nodiscard]] auto report(const std::string &task, const Run &run) const -> QJsonObject;

    QElapsedTimer m_clock;
    std::map<std::string, PlatformHost> m_hosts;
    PlatformCounts m_counts;
    double m_timeFactor = 1; // true over declared
    double m_sizeFactor = 1;
    qint64 m_rebootMilliseconds = 500;
};

} // namespace standin
