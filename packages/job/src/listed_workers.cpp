#include "shallotproxy/job/listed_workers.hpp"

namespace shallotproxy {

auto ListedWorkers::step(std::span<const HostReport> hosts) -> std::vector<Ended>
{
    auto listed = std::map<HostName, const HostReport *>();
    for (const auto &it : hosts) {
        listed[it.host] = &it;
        if (it.state == HostState::Up && !it.worker.isEmpty())
            m_hosts[it.worker] = it;
    }
    auto ended = std::vector<Ended>();
    for (const auto &[worker, before] : m_hosts) {
        const auto it = listed.find(before.host);
        if (it == listed.end())
            continue; // a host that is missing from the list may still run its worker
        const auto &now = *it->second;
        const auto hasOtherWorker = !now.worker.isEmpty() && now.worker != worker;
        if (now.state == HostState::Up && !hasOtherWorker)
            continue;
        const auto isMaintained = now.state == HostState::Moving || now.state == HostState::InUpkeep
            || now.pool != before.pool;
        ended.push_back({worker, now, isMaintained});
    }
    return ended;
}

} // namespace shallotproxy
