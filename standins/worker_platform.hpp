#pragma once

#include <map>
#include <optional>
#include <string>

#include <QElapsedTimer>
#include <QJsonObject>

namespace standin {

/// Fault that a worker simulates.
enum class WorkerFault {
    None,
    BlackHole, // every run fails at once
    Silent, // executes its orders but never responds
};

/// One run of a task on one worker. A later run has a higher epoch.
struct Run
{
    qint64 epoch = 0;
    std::string state = "running";
    qint64 started = 0; // milliseconds
    qint64 leaseEnd = 0; // milliseconds
    double workSeconds = 0; // actual run time of the whole task, not the declared one
    double progress = 0; // fraction of the task that was done when the run started
    double cores = 0; // actual use, not the declared one
    double memory = 0; // actual use, not the declared one
};

/// A host of the platform: a worker, or a target, which the platform only reboots.
struct PlatformHost
{
    WorkerFault fault = WorkerFault::None;
    std::string state = "live"; // live, leaving or gone
    std::string operation; // id of the last reboot
    qint64 rebootEnd = 0; // milliseconds
    std::map<std::string, Run> runs;
};

struct PlatformCounts
{
    int starts = 0;
    int doubleStarts = 0; // starts while another run of the same task was running
    int staleOrders = 0; // orders refused because their epoch was outdated
    int reboots = 0;
    int rebootedBusy = 0; // reboots of a host on which a task was running
};

/// Simulates all workers and the host list of one platform. Hosts are identified by their address.
class WorkerPlatform
{
public:
    WorkerPlatform();

    /// Handles a call to a worker. Returns no value if the worker does not respond: it is silent,
    /// rebooting or gone.
    auto handleWorker(const std::string &address, const std::string &path, const QJsonObject &body)
        -> std::optional<QJsonObject>;
    /// Handles a call to the platform's own address: host list, reboot, fault or counts.
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
    auto updateRuns(PlatformHost &host) -> void;
    [[nodiscard]] auto report(const std::string &task, const Run &run) const -> QJsonObject;

    QElapsedTimer m_clock;
    std::map<std::string, PlatformHost> m_hosts;
    PlatformCounts m_counts;
    double m_timeFactor = 1; // actual run time relative to the declared one
    double m_sizeFactor = 1; // actual cores and memory relative to the declared ones
    qint64 m_rebootMilliseconds = 500;
};

} // namespace standin
