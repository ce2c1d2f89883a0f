#pragma once

#include <string>
#include <vector>

#include <QJsonObject>

namespace shallotproxy {

/// Orders events of several processes so that each process's own order and every cause before its
/// effect are kept; where neither says, the wall clock decides. Takes time in
/// proportion to events times processes.
auto mergeTimelines(std::vector<QJsonObject> events) -> std::vector<QJsonObject>;

/// One line of text for an event.
auto describeEvent(const QJsonObject &event) -> std::string;

} // namespace shallotproxy
