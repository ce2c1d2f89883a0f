#pragma once

#include <string>
#include <vector>

#include <QJsonObject>

namespace shallotproxy {

/// Merges the events of several processes. Events of one process stay in their order, and a cause
/// precedes its effect; otherwise, the wall clock decides. The run time is proportional to the
/// number of events times the number of processes.
auto mergeTimelines(std::vector<QJsonObject> events) -> std::vector<QJsonObject>;

/// Returns an event as one line of text.
auto describeEvent(const QJsonObject &event) -> std::string;

} // namespace shallotproxy
