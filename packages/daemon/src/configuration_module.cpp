#include "configuration_module.hpp"

#include <algorithm>
#include <chrono>

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto ConfigurationLog = Log("configuration");
constexpr Duration PollInterval = 500ms;
constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration KeepAliveInterval = 3s;
constexpr Duration FreshTime = 3s;
constexpr Duration PublishTime = 5s;
constexpr std::int64_t MemberLeaseSeconds = 10;

constexpr std::string_view HeadKey = "config/head";
constexpr std::string_view MembersPrefix = "members/";

template <typename T>
auto pack(const T &value) -> std::string
{
    auto buf = msgpack::sbuffer();
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

template <typename T>
auto unpack(const std::string &bytes) -> std::optional<T>
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<T>();
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    }
}

auto partsPrefix(const ConfigurationHead &head) -> std::string
{
    return fmt::format("config/{}.{}/", head.version, head.writer);
}

} // namespace

ConfigurationModule::ConfigurationModule(ControlContext &context)
    : m_context(context)
{ }

auto ConfigurationModule::tick(BootTime now) -> void
{
    if (!m_isRegistered && !m_isDraining)
        registerMember();
    keepLease(now);
    if (now >= m_nextPoll)
        poll(now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + HeartbeatInterval;
        m_versions[m_context.process.self.member] = m_context.version();
        m_context.broadcast(Heartbeat{m_context.version()});
    }
    checkPublication(now);
}

auto ConfigurationModule::receive(const PeerEnvelope &envelope, BootTime now) -> void
{
    const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message);
    if (heartbeat == nullptr)
        return;
    m_versions[envelope.from.member] = heartbeat->version;
    if (heartbeat->version > m_context.version())
        m_nextPoll = now;
    checkPublication(now);
}

auto ConfigurationModule::drain() -> void
{
    m_isDraining = true;
    if (m_lease != 0)
        m_context.store(StoreLeaseRevoke{m_lease}, [](const StoreReply &) {});
}

auto ConfigurationModule::memberVersions() const
    -> const std::map<MemberName, ConfigurationVersion> &
{
    return m_versions;
}

auto ConfigurationModule::registerMember() -> void
{
    if (m_isRegistering)
        return;
    m_isRegistering = true;
    m_context.store(StoreLeaseGrant{MemberLeaseSeconds}, [this](const StoreReply &reply) {
        m_isRegistering = false;
        if (!reply || reply->lease == 0)
            return;
        m_lease = reply->lease;
        writeMemberRecord();
    });
}

auto ConfigurationModule::writeMemberRecord() -> void
{
    const auto &settings = m_context.process.settings;
    const auto record = MemberRecord{m_context.process.self, settings.dataCentre,
                                     settings.peersEndpoint, settings.operatorsEndpoint};
    const auto key = m_context.key(std::string(MembersPrefix) + settings.name.value());
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StorePut{key, pack(record), m_lease});
    m_isRegistering = true;
    m_context.store(std::move(transaction), [this](const StoreReply &reply) {
        m_isRegistering = false;
        m_isRegistered = reply.has_value();
        if (m_isRegistered)
            m_context.record("member.register", m_context.process.self.member.value());
    });
}

auto ConfigurationModule::keepLease(BootTime now) -> void
{
    if (!m_isRegistered || now < m_nextKeepAlive || m_isDraining)
        return;
    m_nextKeepAlive = now + KeepAliveInterval;
    m_context.store(StoreLeaseKeepAlive{m_lease}, [this](const StoreReply &reply) {
        if (reply && reply->leaseSeconds <= 0)
            m_isRegistered = false;
    });
}

auto ConfigurationModule::poll(BootTime now) -> void
{
    if (m_isPolling)
        return;
    m_isPolling = true;
    m_nextPoll = now + PollInterval;
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(HeadKey), false});
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(MembersPrefix), true});
    m_context.store(std::move(transaction), [this, now](const StoreReply &reply) {
        m_isPolling = false;
        if (reply && reply->reads.size() == 2)
            applyPoll(*reply, now);
    });
}

auto ConfigurationModule::applyPoll(const StoreAnswer &answer, BootTime started) -> void
{
    auto members = MemberDirectory();
    for (const auto &it : answer.reads[1]) {
        auto record = unpack<MemberRecord>(it.value);
        if (record)
            members.emplace(record->incarnation.member, std::move(*record));
    }
    m_context.members = std::move(members);
    if (answer.reads[0].empty()) {
        if (!m_context.configuration)
            hold(std::make_shared<const Configuration>());
        extendFreshness(started + FreshTime);
        return;
    }
    const auto head = unpack<ConfigurationHead>(answer.reads[0].front().value);
    if (!head || head->version < m_context.version())
        return;
    if (head->version == m_context.version() && m_context.configuration) {
        m_headRevision = answer.reads[0].front().revision;
        m_head = *head;
        extendFreshness(started + FreshTime);
        return;
    }
    readParts(*head, answer.reads[0].front().revision, started);
}

auto ConfigurationModule::readParts(const ConfigurationHead &head, StoreRevision revision,
                                    BootTime started) -> void
{
    if (m_isReading)
        return;
    m_isReading = true;
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(partsPrefix(head)), true});
    m_context.store(
        std::move(transaction), [this, head, revision, started](const StoreReply &reply) {
            m_isReading = false;
            if (!reply || reply->reads.size() != 1 || reply->reads[0].size() != head.parts)
                return;
            auto parts = std::vector<std::string>();
            for (const auto &it : reply->reads[0])
                parts.push_back(it.value);
            auto configuration = decodeConfiguration(parts);
            if (!configuration || configuration->version <= m_context.version())
                return;
            m_head = head;
            m_headRevision = revision;
            hold(std::make_shared<const Configuration>(std::move(*configuration)));
            extendFreshness(started + FreshTime);
            m_nextPoll = started;
        });
}

auto ConfigurationModule::hold(ConfigurationPointer configuration) -> void
{
    m_context.configuration = std::move(configuration);
    ConfigurationLog.info("holds version {}", m_context.version());
    m_nextHeartbeat = {};
}

auto ConfigurationModule::extendFreshness(BootTime until) -> void
{
    if (until <= m_context.freshUntil)
        return;
    m_context.freshUntil = until;
    m_context.updateFront(FreshnessChanged{until});
}

auto ConfigurationModule::publish(const Configuration &next, PublishCallback callback) -> void
{
    if (m_publication || next.version != m_context.version() + 1) {
        callback(PublishOutcome::NotApplied);
        return;
    }
    const auto parts = encodeConfiguration(next);
    m_publication = std::make_unique<Publication>();
    m_publication->head = {next.version, randomHex(8), static_cast<std::uint32_t>(parts.size())};
    m_publication->callback = std::move(callback);
    m_publication->deadline = BootClock::now() + PublishTime;
    writeParts(parts);
}

// Parts go first, under a name of this writer's own, so that the head never names a version that
// is not whole.
auto ConfigurationModule::writeParts(const std::vector<std::string> &parts) -> void
{
    auto transaction = StoreTransaction();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto suffix = fmt::format("{}{:04}", partsPrefix(m_publication->head), i);
        transaction.onSuccess.emplace_back(StorePut{m_context.key(suffix), parts[i], 0});
    }
    m_context.store(std::move(transaction), [this](const StoreReply &reply) {
        if (reply) {
            swapHead();
        } else {
            finishPublication(PublishOutcome::NotApplied);
        }
    });
}

auto ConfigurationModule::swapHead() -> void
{
    const auto key = m_context.key(HeadKey);
    auto transaction = StoreTransaction();
    transaction.compares.push_back({key, m_headRevision});
    transaction.onSuccess.emplace_back(StorePut{key, pack(m_publication->head), 0});
    transaction.onFailure.emplace_back(StoreRange{key, false});
    m_context.store(std::move(transaction), [this](const StoreReply &reply) {
        if (reply && reply->isSucceeded) {
            m_publication->isSwapped = true;
            m_nextPoll = {};
            return;
        }
        readBack();
    });
}

// The answer to the swap was lost, or a repeat of it failed its compare: the head says which.
auto ConfigurationModule::readBack() -> void
{
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(HeadKey), false});
    m_context.store(std::move(transaction), [this](const StoreReply &reply) {
        if (!reply) {
            if (BootClock::now() < m_publication->deadline) {
                readBack();
            } else {
                finishPublication(PublishOutcome::Unknown);
            }
            return;
        }
        const auto &records = reply->reads.front();
        const auto head =
            records.empty() ? std::nullopt : unpack<ConfigurationHead>(records.front().value);
        if (head && head->writer == m_publication->head.writer) {
            m_publication->isSwapped = true;
            m_nextPoll = {};
            return;
        }
        finishPublication(PublishOutcome::NotApplied);
    });
}

auto ConfigurationModule::checkPublication(BootTime now) -> void
{
    if (!m_publication || !m_publication->isSwapped)
        return;
    const auto version = m_publication->head.version;
    const auto isInForce = std::ranges::all_of(m_context.members, [this, version](const auto &it) {
        const auto held = m_versions.find(it.first);
        return held != m_versions.end() && held->second >= version;
    });
    // Past the deadline a silent member's freshness has lapsed, so it starts nothing.
    if (isInForce || now >= m_publication->deadline)
        finishPublication(PublishOutcome::Applied);
}

auto ConfigurationModule::finishPublication(PublishOutcome outcome) -> void
{
    const auto publication = std::move(m_publication);
    publication->callback(outcome);
}

} // namespace shallotproxy
