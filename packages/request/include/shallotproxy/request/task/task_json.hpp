#pragma once

#include <span>
#include <string>
#include <vector>

#include <QByteArray>

#include "shallotproxy/version/configuration/configuration.hpp"
#include "task_error.hpp"
#include "worker_run.hpp"

namespace shallotproxy {

/// Parses a task as submitters send it and checks it against the configuration; docs/TASKS.md
/// describes its fields. Fails if the task is malformed, its pool is unknown or no worker of its
/// pool is large enough.
auto parseTask(const QByteArray &json, const Configuration &configuration)
    -> Expected<TaskRecord, TaskError>;

/// Returns a task as its submitter sees it.
auto taskJson(const TaskRecord &record) -> std::string;

/// Returns the body of a reply that refuses a call about a task.
auto taskErrorJson(const TaskError &ec) -> std::string;

/// Returns the order that starts one run on a worker, under a lease.
auto startRunJson(const TaskRecord &record, TaskEpoch epoch, std::int64_t leaseSeconds)
    -> std::string;
/// Returns the body of an order that stops, checkpoints or throttles a run.
auto runOrderJson(const RunId &run) -> std::string;
/// Returns the order that renews leases and requests a report.
auto renewRunsJson(std::span<const RunId> runs, std::int64_t leaseSeconds) -> std::string;
/// Parses a worker's reply to any of these orders.
auto parseRunReports(const QByteArray &json) -> Expected<std::vector<RunReport>, PlatformError>;

} // namespace shallotproxy
