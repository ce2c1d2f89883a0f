#include "host_duty.hpp"
#include "shallotproxy/member/steward_duty.hpp"
#include "store_keys.hpp"

namespace shallotproxy {

/// Publishes the backlog of the pools under the lease of the steward's key, so that it ends with
/// the term. Members follow it by the watch that tells them of the steward.
auto StewardDuty::publishOutlook(BootTime now) -> void
{
    const auto members = m_workers.memberCount();
    if (m_isPublishing || !m_hosts || !m_outlookPublisher.isDue(members, now))
        return;
    const auto outlook = m_steward->admissionOutlook(m_hosts->arrivingCapacity());
    if (!m_outlookPublisher.step(outlook, members, now))
        return;
    reportOutlook(outlook);
    auto commit = fencedCommit();
    commit.puts.push_back({std::string(store_keys::Outlook), encodeOutlook(outlook), m_lease});
    m_isPublishing = true;
    m_context.store.commit(commit, ifSameTerm([this](const auto &reply) {
                               // A lost outlook is followed by the next one; until then members use
                               // the last one.
                               m_isPublishing = false;
                               if (!reply) {
                                   m_context.log.info("event=outlook-not-published reason={}",
                                                      reply.error().name());
                               }
                           }));
}

auto StewardDuty::reportOutlook(const AdmissionOutlook &outlook) -> void
{
    const auto setWait = [this](const PoolName &pool, std::int64_t wait) {
        m_context.metrics.gauge("shallotproxy_pool_wait_seconds",
                                fmt::format("pool=\"{}\"", pool.value()),
                                static_cast<double>(wait) / 1'000);
    };
    for (const auto &pool : std::exchange(m_shortPools, {}))
        setWait(pool, 0);
    for (const auto &[pool, waits] : outlook.pools) {
        const auto &last = waits.back();
        m_shortPools.push_back(pool);
        setWait(pool, last.lateMilliseconds);
        m_context.log.info("event=pool-short pool={} wait-ms={} late-wait-ms={} surplus-wait-ms={} "
                           "teams-above-rate={}",
                           pool.value(), last.entitledMilliseconds, last.lateMilliseconds,
                           last.surplusMilliseconds, outlook.exhaustedTeams.size());
    }
}

auto StewardDuty::outlookChanged(const VersionedRecord *record) -> void
{
    auto outlook = record == nullptr ? std::nullopt : decodeOutlook(record->value);
    if (outlook) {
        m_admissionGate.outlookReceived(std::move(*outlook), BootClock::now());
        return;
    }
    if (record != nullptr) {
        m_context.log.warning("event=record-unreadable key={} error=\"expected an outlook\"",
                              record->key);
    }
    m_admissionGate.outlookRemoved();
}

} // namespace shallotproxy
