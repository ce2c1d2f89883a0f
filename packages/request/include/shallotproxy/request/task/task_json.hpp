#pragma once

#include <span>
#include <string>
#include <vector>

#include <QByteArray>

#include "shallotproxy/version/configuration/configuration.hpp"
#include "task_error.hpp"
#include "worker_run.hpp"

namespace shallotproxy {

/// Reads a task as submitters send it and checks it against the configuration; docs/TASKS.md
/// gives its members. Errors: malformed, unknown pool, fits no worker of its pool.
auto parseTask(const QByteArray &json, const Configuration &configuration)
    -> Expected<TaskRecord, TaskError>;

/// A task as its submitter sees it.
auto taskJson(const TaskRecord &record) -> std::string;

auto taskErrorJson(const TaskError &ec) -> std::string;

/// The order that starts one run on a worker, under a lease.
auto startRunJson(const TaskRecord &record, TaskEpoch epoch, std::int64_t leaseSeconds)
    -> std::string;
auto runOrderJson(const RunId &run) -> std::string;
/// The order that renews leases and asks for a report.
auto renewRunsJson(std::span<const RunId> runs, std::int64_t leaseSeconds) -> std::string;
/// A worker's answer to any of these orders.
auto parseRunReports(const QByteArray &json) -> Expected<std::vector<RunReport>, PlatformError>;

} // namespace shallotproxy
