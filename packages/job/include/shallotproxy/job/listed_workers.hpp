#pragma once

#include <map>
#include <span>
#include <vector>

#include "host_view.hpp"

namespace shallotproxy {

/// Remembers on which hosts the workers were listed, and tells which of them lists show no more.
///
/// Expected conditions: workers that restart under their names between two lists, lists that arrive
/// late, and hosts that are missing from a list.
class ListedWorkers
{
public:
    /// A worker whose host isn't up any more or has another worker.
    struct Ended
    {
        WorkerName worker;
        /// The host as it is listed now.
        HostReport host;
        /// The host is being moved or maintained, or belongs to another pool now.
        bool isMaintained = false;
    };

    /// Applies a list. Returns the same worker for each list until it is listed or forgotten.
    auto step(std::span<const HostReport> hosts) -> std::vector<Ended>;
    auto forget(const WorkerName &worker) -> void { m_hosts.erase(worker); }

private:
    /// The hosts of the workers, as they were listed last with them.
    std::map<WorkerName, HostReport> m_hosts;
};

} // namespace shallotproxy
