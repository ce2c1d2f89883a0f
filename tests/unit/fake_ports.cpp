#include "fake_ports.hpp"

namespace shallotproxy::test {

namespace {

template <typename Function>
auto later(Function function) -> void
{
    QTimer::singleShot(0, std::move(function));
}

auto clockMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               BootClock::now().time_since_epoch())
        .count();
}

auto compactedHistory() -> tl::unexpected<StoreFailure>
{
    return tl::unexpected(StoreFailure{StoreFailure::Kind::HistoryCompacted, "compacted", {}});
}

} // namespace

auto FakeRecordStore::put(const std::string &key, const std::string &value) -> void
{
    write(key, value, false);
    answerWatches();
}

auto FakeRecordStore::remove(const std::string &key) -> void
{
    write(key, {}, true);
    answerWatches();
}

auto FakeRecordStore::compact() -> void
{
    m_oldestRevision = m_revision + 1;
    m_history.clear();
    for (auto &it : std::exchange(m_watches, {}))
        later([reply = std::move(it.reply)] { reply(compactedHistory()); });
}

auto FakeRecordStore::write(const std::string &key, const std::string &value, bool isDeleted)
    -> void
{
    ++m_revision;
    const auto known = m_records.find(key);
    const auto created = known == m_records.end() ? m_revision : known->second.creationRevision;
    const auto record = VersionedRecord{key, value, m_revision, created, isDeleted};
    m_history.push_back(record);
    if (isDeleted) {
        m_records.erase(key);
    } else {
        m_records[key] = record;
    }
}

auto FakeRecordStore::answerWatches() -> void
{
    for (auto &it : std::exchange(m_watches, {}))
        watch(it.prefix, it.after, std::chrono::hours(1), std::move(it.reply));
}

auto FakeRecordStore::commit(const StoreCommit &commit, RecordStoreCallback<std::uint64_t> reply)
    -> void
{
    for (const auto &it : commit.compares) {
        const auto known = m_records.find(it.key);
        const auto revision =
            known == m_records.end() ? 0 : static_cast<StoreRevision>(known->second.revision);
        if (revision != it.revision) {
            auto failure = StoreFailure{StoreFailure::Kind::Conflict, "revision", {}};
            for (const auto &compared : commit.compares) {
                if (const auto record = m_records.find(compared.key); record != m_records.end())
                    failure.records.push_back(record->second);
            }
            later([reply, failure] { reply(tl::unexpected(failure)); });
            return;
        }
    }
    for (const auto &it : commit.puts)
        write(it.key, it.value, false);
    for (const auto &it : commit.removes)
        write(it, {}, true);
    later([reply, revision = m_revision] { reply(revision); });
    answerWatches();
}

auto FakeRecordStore::read(const std::string &key, RecordStoreCallback<StoreRead> reply) -> void
{
    if (failedReads > 0) {
        --failedReads;
        later([reply] {
            reply(tl::unexpected(StoreFailure{StoreFailure::Kind::NotApplied, "read", {}}));
        });
        return;
    }
    auto result = StoreRead{{}, m_revision};
    if (const auto it = m_records.find(key); it != m_records.end())
        result.records.push_back(it->second);
    later([reply, result] { reply(result); });
}

auto FakeRecordStore::readAll(const std::string &prefix, RecordStoreCallback<StoreRead> reply)
    -> void
{
    auto result = StoreRead{{}, m_revision};
    for (const auto &[key, record] : m_records) {
        if (key.starts_with(prefix))
            result.records.push_back(record);
    }
    later([reply, result] { reply(result); });
}

auto FakeRecordStore::watch(const std::string &prefix, std::uint64_t after,
                            std::chrono::milliseconds, RecordStoreCallback<StoreRead> reply) -> void
{
    if (after < m_oldestRevision) {
        later([reply] { reply(compactedHistory()); });
        return;
    }
    auto result = StoreRead{{}, m_revision};
    for (const auto &it : m_history) {
        if (it.revision > after && it.key.starts_with(prefix))
            result.records.push_back(it);
    }
    if (result.records.empty()) {
        m_watches.push_back({prefix, after, std::move(reply)});
        return;
    }
    later([reply, result] { reply(result); });
}

auto FakeRecordStore::grantLease(std::chrono::milliseconds duration,
                                 RecordStoreCallback<GrantedLease> reply) -> void
{
    later([reply, duration] { reply(GrantedLease{1, duration}); });
}

auto FakeRecordStore::renewLease(StoreLease lease, RecordStoreCallback<GrantedLease> reply) -> void
{
    later([reply, lease] { reply(GrantedLease{lease, std::chrono::seconds(1)}); });
}

auto FakeWorkerPort::start(const WorkerReport &worker, std::uint64_t,
                           const steward_action::StartRun &order, Reply reply) -> void
{
    ++starts[worker.name];
    auto &ended = m_ended[worker.name];
    ended.push_back({ended.size() + 1, order.task, order.run, RunEnd::Done, {}});
    later([reply] { reply({OrderOutcome::Accepted, clockMilliseconds()}); });
}

auto FakeWorkerPort::stop(const WorkerReport &, std::uint64_t, const steward_action::StopRun &,
                          Reply reply) -> void
{
    later([reply] { reply({OrderOutcome::Accepted, clockMilliseconds()}); });
}

auto FakeWorkerPort::setRunSpeed(const WorkerReport &, std::uint64_t,
                                 const steward_action::SetRunSpeed &, Reply reply) -> void
{
    later([reply] { reply({OrderOutcome::Accepted, clockMilliseconds()}); });
}

auto FakeWorkerPort::poll(const WorkerReport &worker, std::uint64_t,
                          const steward_action::PollWorker &order, PollReply reply) -> void
{
    ++polls[worker.name];
    auto result = steward_event::WorkerPolled();
    result.worker = worker.name;
    result.clockMilliseconds = clockMilliseconds();
    result.startedMilliseconds = worker.startedMilliseconds;
    for (const auto &it : m_ended[worker.name]) {
        if (it.sequence > order.acknowledged)
            result.ended.push_back(it);
    }
    later([reply, result] { reply({OrderOutcome::Accepted, result.clockMilliseconds}, result); });
}

auto FakeHostPort::list(ListReply reply) -> void
{
    later([reply, hosts = hosts] { reply(hosts); });
}

auto FakeHostPort::move(const HostMove &, std::uint64_t, Reply reply) -> void
{
    later([reply] { reply(HostOutcome::Refused); });
}

auto FakeHostPort::startUpkeep(const UpkeepStart &, std::uint64_t, Reply reply) -> void
{
    ++upkeepOrders;
    later([reply, outcome = upkeepOutcome] { reply(outcome); });
}

} // namespace shallotproxy::test
