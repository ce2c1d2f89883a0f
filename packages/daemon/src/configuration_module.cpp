#include "configuration_module.hpp"

#include <algorithm>
#include <chrono>

#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto ConfigurationLog = Log("configuration");
constexpr Duration PollInterval = 500ms;
constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration KeepAliveInterval = 3s;
constexpr Duration RequestInterval = 200ms;
constexpr Duration StoreResponseTimeout = 1s; // then peers are asked for newer configurations
constexpr Duration AbsenceGracePeriod = 2s; // to register again after a store outage
constexpr Duration AbsenceTimeout = 15s; // then an absent member is deregistered
constexpr Duration MemberChangeDelay = 150ms; // per rank, so that members don't compete
constexpr Duration AttemptInterval = 200ms;
constexpr Duration PublishTimeout = 5s; // then no new attempt is started
constexpr std::size_t MaxPublications = 16; // queued at one member
constexpr std::size_t MaxHistoryLines = 200;
constexpr ConfigurationVersion RetainedVersions = 16;
constexpr std::int64_t MemberLeaseSeconds = 10;

constexpr std::string_view HeadKey = "config/head";
constexpr std::string_view MembersPrefix = "members/";
constexpr std::string_view DepartedPrefix = "departed/";
constexpr std::string_view HistoryPrefix = "history/";

auto partsPrefix(const HeadRecord &head) -> std::string
{
    return fmt::format("config/{}.{}/", head.version, head.writer);
}

auto historyKey(ConfigurationVersion version) -> std::string
{
    return fmt::format("{}{:020}", HistoryPrefix, version);
}

auto headOf(const std::vector<StoreRecord> &records) -> std::optional<ConfigurationHead>
{
    if (records.empty())
        return ConfigurationHead();
    auto record = unpackRecord<HeadRecord>(records.front().value);
    if (!record)
        return std::nullopt;
    return ConfigurationHead{records.front().revision, std::move(*record)};
}

auto boundedLines(std::vector<std::string> lines) -> std::vector<std::string>
{
    if (lines.size() <= MaxHistoryLines)
        return lines;
    const auto rest = lines.size() - MaxHistoryLines;
    lines.resize(MaxHistoryLines);
    lines.push_back(fmt::format("and {} more", rest));
    return lines;
}

} // namespace

ConfigurationModule::ConfigurationModule(ControlContext &context)
    : m_context(context)
    , m_freshness(context.process.self)
{ }

auto ConfigurationModule::tick(BootTime now) -> void
{
    if (!m_isRegistered && !m_isDraining)
        registerMember();
    renewLease(now);
    if (now >= m_nextPoll)
        poll(now);
    stepFreshness(FreshnessTick(), now);
    stepChange(ChangeTick(), now);
    startPublication(now);
    if (now >= m_nextHeartbeat)
        sendHeartbeat(now);
}

auto ConfigurationModule::sendHeartbeat(BootTime now) -> void
{
    const auto &settings = m_context.process.settings;
    const auto revision = m_freshness.loadedHead().revision;
    m_nextHeartbeat = now + HeartbeatInterval;
    m_versions[m_context.process.self.member] = m_context.version();
    m_context.broadcast(Heartbeat{m_context.version(), revision, settings.dataCentre.value(),
                                  settings.peersEndpoint, settings.operatorsEndpoint});
    stepChange(MemberHeadReported{m_context.process.self, revision}, now);
}

auto ConfigurationModule::receive(const PeerEnvelope &envelope, BootTime now) -> void
{
    const auto &message = envelope.message;
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        m_versions[envelope.from.member] = heartbeat->version;
        addUnlistedMember(envelope, *heartbeat);
        if (heartbeat->revision > m_freshness.loadedHead().revision) {
            m_nextPoll = now;
            requestFrom(envelope.from.member, now);
        }
        stepChange(MemberHeadReported{envelope.from, heartbeat->revision}, now);
    }
    if (const auto *it = std::get_if<Announce>(&message))
        stepFreshness(FreshnessMessageReceived{envelope.from, *it}, now);
    if (const auto *it = std::get_if<AnnounceCancel>(&message))
        stepFreshness(FreshnessMessageReceived{envelope.from, *it}, now);
    if (const auto *it = std::get_if<HeadConfirmationRequest>(&message))
        stepFreshness(FreshnessMessageReceived{envelope.from, *it}, now);
    if (const auto *it = std::get_if<HeadConfirmationAnswer>(&message))
        stepFreshness(FreshnessMessageReceived{envelope.from, *it}, now);
    if (const auto *it = std::get_if<AnnounceAnswer>(&message))
        stepChange(AnnounceAnswerReceived{envelope.from, *it}, now);
    if (const auto *it = std::get_if<ConfigurationRequest>(&message))
        answerRequest(envelope.from, *it);
    if (const auto *it = std::get_if<ConfigurationReply>(&message))
        applyReply(*it, now);
}

auto ConfigurationModule::configurationChanged() -> void
{
    m_isFrontBehind = false;
    updateFreshness();
    sendHeartbeat(BootClock::now());
}

// A member that starts during a store outage has no list of members: it adds the senders of
// heartbeats.
auto ConfigurationModule::addUnlistedMember(const PeerEnvelope &envelope,
                                            const Heartbeat &heartbeat) -> void
{
    if (m_lastAnsweredPoll != BootTime() || m_context.members.contains(envelope.from.member))
        return;
    m_context.members.emplace(envelope.from.member,
                              MemberRecord{envelope.from, DataCentreName(heartbeat.dataCentre),
                                           heartbeat.peersEndpoint, heartbeat.operatorsEndpoint});
}

auto ConfigurationModule::drain() -> void
{
    m_isDraining = true;
    stepFreshness(MemberRetired(), BootClock::now());
    // The record shows writers that this incarnation no longer confirms heads.
    const auto &self = m_context.process.self;
    auto transaction = StoreTransaction();
    const auto key = m_context.key(std::string(DepartedPrefix) + self.member.value());
    transaction.onSuccess.emplace_back(StorePut{key, packRecord(self), 0});
    m_context.store(std::move(transaction), [](const StoreReply &) {});
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
    transaction.onSuccess.emplace_back(StorePut{key, packRecord(record), m_lease});
    m_isRegistering = true;
    m_context.store(std::move(transaction), [this](const StoreReply &reply) {
        m_isRegistering = false;
        m_isRegistered = reply.has_value();
        m_nextPoll = BootTime();
        if (m_isRegistered)
            m_context.record("member.register", m_context.process.self.member.value());
    });
}

auto ConfigurationModule::renewLease(BootTime now) -> void
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
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(DepartedPrefix), true});
    m_context.store(std::move(transaction), [this, now](const StoreReply &reply) {
        m_isPolling = false;
        constexpr std::size_t Reads = 3;
        if (reply && reply->reads.size() == Reads)
            applyPoll(*reply, now);
    });
}

auto ConfigurationModule::applyPoll(const StoreAnswer &answer, BootTime started) -> void
{
    const auto now = BootClock::now();
    const auto head = headOf(answer.reads[0]);
    if (!head)
        return;
    m_lastAnsweredPoll = started;
    m_departed.clear();
    for (const auto &it : answer.reads[2]) {
        if (const auto incarnation = unpackRecord<Incarnation>(it.value))
            m_departed[incarnation->member] = *incarnation;
    }
    updateDirectory(answer.reads[1], now);
    if (head->revision == 0 && !m_context.configuration)
        load(*head, Configuration());
    stepFreshness(HeadRead{started, *head}, now);
    for (const auto &[name, incarnation] : m_departed)
        stepChange(MemberLeft{incarnation}, now);
    updateRegisteredMembers(now);
}

auto ConfigurationModule::updateDirectory(const std::vector<StoreRecord> &records, BootTime now)
    -> void
{
    auto members = MemberDirectory();
    for (const auto &it : records) {
        auto record = unpackRecord<MemberRecord>(it.value);
        if (record)
            members.emplace(record->incarnation.member, std::move(*record));
    }
    const auto &self = m_context.process.self;
    const auto own = members.find(self.member);
    if (own == members.end() || own->second.incarnation != self)
        m_isRegistered = false;
    for (const auto &[name, record] : members)
        m_absentSince.erase(name);
    for (const auto &[name, record] : m_context.members) {
        if (members.contains(name))
            continue;
        const auto departed = m_departed.find(name);
        const auto hasLeft = departed != m_departed.end() && departed->second == record.incarnation;
        const auto since = m_absentSince.try_emplace(name, now).first->second;
        if (!hasLeft && now - since < AbsenceGracePeriod)
            members.emplace(name, record);
    }
    m_context.members = std::move(members);
}

auto ConfigurationModule::answerRequest(const Incarnation &from,
                                        const ConfigurationRequest &request) -> void
{
    if (m_freshness.loadedHead().revision <= request.revision || !m_context.configuration)
        return;
    const auto &head = m_freshness.loadedHead();
    auto parts = head.record.parts == 0 ? std::vector<std::string>()
                                        : encodeConfiguration(*m_context.configuration);
    m_context.send(from.member, ConfigurationReply{head, std::move(parts)});
}

auto ConfigurationModule::applyReply(const ConfigurationReply &reply, BootTime now) -> void
{
    if (reply.head.revision <= m_freshness.loadedHead().revision)
        return;
    auto configuration = reply.head.record.parts == 0 ? std::optional(Configuration())
                                                      : decodeConfiguration(reply.parts);
    if (!configuration || configuration->version != reply.head.record.version)
        return;
    load(reply.head, std::move(*configuration));
    stepFreshness(HeadLoaded{reply.head}, now);
}

auto ConfigurationModule::requestFrom(const MemberName &peer, BootTime now) -> void
{
    if (now - m_lastAnsweredPoll < StoreResponseTimeout || now < m_nextRequest)
        return;
    m_nextRequest = now + RequestInterval;
    m_context.send(peer, ConfigurationRequest{m_freshness.loadedHead().revision});
}

auto ConfigurationModule::stepFreshness(const FreshnessEvent &event, BootTime now) -> void
{
    const auto actions = m_freshness.step(event, now);
    for (const auto &action : actions)
        std::visit([this](const auto &it) { perform(it); }, action);
    updateFreshness();
}

auto ConfigurationModule::perform(const SendFreshnessMessage &action) -> void
{
    std::visit([this, &action](const auto &message) { m_context.send(action.to, message); },
               action.message);
}

auto ConfigurationModule::perform(const FetchFromStore &action) -> void
{
    const auto &head = action.head;
    if (head.record.parts == 0) {
        load(head, Configuration());
        stepFreshness(HeadLoaded{head}, BootClock::now());
        return;
    }
    if (m_isReading)
        return;
    m_isReading = true;
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(partsPrefix(head.record)), true});
    m_context.store(std::move(transaction), [this, head](const StoreReply &reply) {
        m_isReading = false;
        if (!reply || reply->reads.size() != 1 || reply->reads[0].size() != head.record.parts)
            return;
        auto parts = std::vector<std::string>();
        for (const auto &it : reply->reads[0])
            parts.push_back(it.value);
        auto configuration = decodeConfiguration(parts);
        if (!configuration || configuration->version != head.record.version)
            return;
        load(head, std::move(*configuration));
        stepFreshness(HeadLoaded{head}, BootClock::now());
    });
}

auto ConfigurationModule::perform(const FetchFromPeer &action) -> void
{
    requestFrom(action.peer, BootClock::now());
}

auto ConfigurationModule::perform(const FenceHead &action) -> void
{
    const auto key = m_context.key(HeadKey);
    auto transaction = StoreTransaction();
    transaction.compares.push_back({key, action.head.revision});
    transaction.onSuccess.emplace_back(StorePut{key, packRecord(action.head.record), 0});
    m_context.record("configuration.fence", "head");
    m_context.store(std::move(transaction),
                    [this](const StoreReply &) { m_nextPoll = BootTime(); });
}

auto ConfigurationModule::load(const ConfigurationHead &head, Configuration configuration) -> void
{
    if (m_context.configuration && configuration.version <= m_context.version())
        return;
    m_context.configuration = std::make_shared<const Configuration>(std::move(configuration));
    m_isFrontBehind = true;
    ConfigurationLog.info("loaded configuration version {} (head revision {})", m_context.version(),
                          head.revision);
}

// The front duty must receive a new version before it is notified that this version is fresh.
auto ConfigurationModule::updateFreshness() -> void
{
    const auto until = m_freshness.freshUntil();
    if (m_isFrontBehind || until <= m_context.freshUntil)
        return;
    m_context.freshUntil = until;
    m_context.updateFront(FreshnessChanged{until});
}

auto ConfigurationModule::membersToRegister(BootTime now) -> std::vector<Incarnation>
{
    auto registered = m_freshness.loadedHead().record.registered;
    std::erase_if(registered, [this, now](const Incarnation &it) {
        if (m_context.members.contains(it.member))
            return false;
        const auto departed = m_departed.find(it.member);
        if (departed != m_departed.end() && departed->second == it)
            return true;
        return now - m_absentSince.try_emplace(it.member, now).first->second >= AbsenceTimeout;
    });
    for (const auto &[name, record] : m_context.members) {
        const auto it = std::ranges::find(registered, name, &Incarnation::member);
        if (it == registered.end()) {
            registered.push_back(record.incarnation);
        } else {
            *it = record.incarnation;
        }
    }
    return registered;
}

// Any member may register all members that have a record, so that one swap covers several. Members
// start in the order of their names, each after a delay, so that usually only the first one swaps.
auto ConfigurationModule::updateRegisteredMembers(BootTime now) -> void
{
    const auto &loadedHead = m_freshness.loadedHead();
    const auto &members = m_context.members;
    const auto own = members.find(m_context.process.self.member);
    auto registered = membersToRegister(now);
    if (registered == loadedHead.record.registered || own == members.end() || m_isDraining) {
        m_membersDifferSince = BootTime();
        return;
    }
    if (m_membersDifferSince == BootTime())
        m_membersDifferSince = now;
    const auto rank = std::distance(members.begin(), own);
    if (m_change || now - m_membersDifferSince < rank * MemberChangeDelay)
        return;
    auto next = loadedHead.record;
    next.registered = std::move(registered);
    m_isMembersChange = true;
    startChange("members", std::move(next), now);
}

auto ConfigurationModule::publish(const Configuration &next, PublishCallback callback) -> void
{
    publish(next, {}, std::move(callback));
}

auto ConfigurationModule::publish(const Configuration &next, std::vector<StorePut> records,
                                  PublishCallback callback) -> void
{
    if (next.version != m_context.version() + 1 || m_publications.size() >= MaxPublications) {
        callback(PublishOutcome::NotApplied);
        return;
    }
    const auto now = BootClock::now();
    m_publications.push_back(
        {randomHex(8), next, std::move(records), std::move(callback), now + PublishTimeout, false});
    if (m_publications.size() == 1)
        writeParts();
}

auto ConfigurationModule::isPublishing() const -> bool
{
    return m_change && !m_isMembersChange;
}

// Parts are written first, under a prefix that no other writer uses, so that the head never refers
// to an incomplete version.
auto ConfigurationModule::writeParts() -> void
{
    const auto &publication = m_publications.front();
    const auto parts = encodeConfiguration(publication.next);
    const auto prefix = partsPrefix({publication.next.version, publication.id, 0, {}});
    auto transaction = StoreTransaction();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto key = m_context.key(fmt::format("{}{:04}", prefix, i));
        transaction.onSuccess.emplace_back(StorePut{key, parts[i], 0});
    }
    m_context.store(std::move(transaction), [this, id = publication.id](const StoreReply &reply) {
        if (m_publications.empty() || m_publications.front().id != id)
            return;
        if (!reply) {
            finishPublication(PublishOutcome::NotApplied);
            return;
        }
        m_publications.front().isWritten = true;
        startPublication(BootClock::now());
    });
}

// If a change of the registered members or a fence has moved the head in between, the same version
// is tried again on the new revision. If another version has been applied, the publication fails.
auto ConfigurationModule::startPublication(BootTime now) -> void
{
    if (m_publications.empty() || !m_publications.front().isWritten || m_change)
        return;
    const auto &publication = m_publications.front();
    const auto &loadedHead = m_freshness.loadedHead();
    if (loadedHead.record.version >= publication.next.version || now >= publication.deadline) {
        finishPublication(PublishOutcome::NotApplied);
        return;
    }
    if (now < m_nextAttempt)
        return;
    auto next = loadedHead.record;
    next.version = publication.next.version;
    next.writer = publication.id;
    next.parts = static_cast<std::uint32_t>(encodeConfiguration(publication.next).size());
    m_isMembersChange = false;
    startChange(publication.id, std::move(next), now);
}

auto ConfigurationModule::startChange(const std::string &id, HeadRecord next, BootTime now) -> void
{
    const auto &self = m_context.process.self;
    const auto unique =
        fmt::format("{}/{}.{}.{}", id, self.member.value(), self.number, ++m_lastAttempt);
    m_change.emplace(unique, m_freshness.loadedHead(), std::move(next), now);
    stepChange(ChangeStarted(), now);
    m_context.record("configuration.announce", id);
    for (const auto &[name, incarnation] : m_departed)
        stepChange(MemberLeft{incarnation}, now);
}

auto ConfigurationModule::stepChange(const HeadChangeEvent &event, BootTime now) -> void
{
    if (!m_change)
        return;
    const auto actions = m_change->step(event, now);
    for (const auto &action : actions) {
        // This member's own answer may have finished the change in an earlier iteration.
        if (m_change)
            std::visit([this](const auto &it) { perform(it); }, action);
    }
}

auto ConfigurationModule::perform(const SendAnnounce &action) -> void
{
    const auto &self = m_context.process.self;
    const auto announce = Announce{m_change->base().revision, m_change->id()};
    if (action.to.member != self.member) {
        m_context.send(action.to.member, announce);
        return;
    }
    const auto now = BootClock::now();
    const auto actions = m_freshness.step(FreshnessMessageReceived{self, announce}, now);
    for (const auto &it : actions) {
        const auto *sent = std::get_if<SendFreshnessMessage>(&it);
        const auto *answer =
            sent == nullptr ? nullptr : std::get_if<AnnounceAnswer>(&sent->message);
        if (answer != nullptr)
            stepChange(AnnounceAnswerReceived{self, *answer}, now);
    }
}

auto ConfigurationModule::perform(const SendAnnounceCancel & /*action*/) -> void
{
    const auto cancel = AnnounceCancel{m_change->id()};
    m_context.broadcast(cancel);
    m_freshness.step(FreshnessMessageReceived{m_context.process.self, cancel}, BootClock::now());
}

auto ConfigurationModule::readOperations() const -> std::vector<StoreOperation>
{
    const auto version = m_change->next().version;
    return {StoreRange{m_context.key(HeadKey), false},
            StoreRange{m_context.key(historyKey(version)), false}};
}

auto ConfigurationModule::historyPut(const Publication &publication) const -> StorePut
{
    const auto &next = publication.next;
    const auto record =
        HistoryRecord{next.version, publication.id, wallMilliseconds(),
                      boundedLines(describeChanges(*m_context.configuration, next))};
    return {m_context.key(historyKey(next.version)), packRecord(record), 0};
}

auto ConfigurationModule::perform(const SwapHead & /*action*/) -> void
{
    const auto key = m_context.key(HeadKey);
    auto transaction = StoreTransaction();
    transaction.compares.push_back({key, m_change->base().revision});
    transaction.onSuccess.emplace_back(StorePut{key, packRecord(m_change->next()), 0});
    if (isPublishing()) {
        const auto &publication = m_publications.front();
        transaction.onSuccess.emplace_back(historyPut(publication));
        for (const auto &it : publication.records)
            transaction.onSuccess.emplace_back(it);
    }
    transaction.onFailure = readOperations();
    m_context.store(std::move(transaction), [this, id = m_change->id()](const StoreReply &reply) {
        if (!m_change || m_change->id() != id)
            return;
        if (reply && reply->hasSucceeded) {
            m_nextPoll = BootTime();
            stepChange(ChangeRead{reply->revision, true}, BootClock::now());
        } else {
            applyChangeReply(reply, false);
        }
    });
}

auto ConfigurationModule::perform(const ReadBack & /*action*/) -> void
{
    auto transaction = StoreTransaction();
    transaction.onSuccess = readOperations();
    m_context.store(std::move(transaction), [this, id = m_change->id()](const StoreReply &reply) {
        if (m_change && m_change->id() == id)
            applyChangeReply(reply, false);
    });
}

auto ConfigurationModule::perform(const FenceSwap & /*action*/) -> void
{
    const auto key = m_context.key(HeadKey);
    auto transaction = StoreTransaction();
    transaction.compares.push_back({key, m_change->base().revision});
    transaction.onSuccess.emplace_back(StorePut{key, packRecord(m_change->base().record), 0});
    transaction.onFailure = readOperations();
    m_context.store(std::move(transaction), [this, id = m_change->id()](const StoreReply &reply) {
        if (m_change && m_change->id() == id)
            applyChangeReply(reply, true);
    });
}

auto ConfigurationModule::applyChangeReply(const StoreReply &reply, bool isFence) -> void
{
    const auto now = BootClock::now();
    m_nextPoll = BootTime();
    if (!reply) {
        stepChange(ChangeAnswerLost(), now);
    } else if (isFence && reply->hasSucceeded) {
        stepChange(ChangeFenced(), now);
    } else {
        stepChange(readChange(*reply), now);
    }
}

auto ConfigurationModule::readChange(const StoreAnswer &answer) const -> ChangeRead
{
    constexpr std::size_t Reads = 2;
    const auto head = answer.reads.size() == Reads ? headOf(answer.reads[0]) : std::nullopt;
    if (!head)
        return {m_change->base().revision, false};
    if (m_isMembersChange)
        return {head->revision, head->record == m_change->next()};
    const auto history = answer.reads[1].empty()
        ? std::nullopt
        : unpackRecord<HistoryRecord>(answer.reads[1].front().value);
    return {head->revision, history && history->change == m_publications.front().id};
}

auto ConfigurationModule::perform(const ChangeFinished &action) -> void
{
    const auto now = BootClock::now();
    const auto wasPublishing = isPublishing();
    m_nextPoll = BootTime();
    m_nextAttempt = now + AttemptInterval;
    m_membersDifferSince = BootTime();
    m_change.reset();
    if (wasPublishing && action.outcome != PublishOutcome::NotApplied)
        finishPublication(action.outcome);
}

auto ConfigurationModule::finishPublication(PublishOutcome outcome) -> void
{
    const auto publication = std::move(m_publications.front());
    m_publications.pop_front();
    if (outcome == PublishOutcome::Applied)
        removeOldVersions();
    if (outcome == PublishOutcome::NotApplied) {
        const auto prefix = partsPrefix({publication.next.version, publication.id, 0, {}});
        auto transaction = StoreTransaction();
        transaction.onSuccess.emplace_back(StoreDelete{m_context.key(prefix), true});
        m_context.store(std::move(transaction), [](const StoreReply &) {});
    }
    publication.callback(outcome);
    if (!m_publications.empty())
        writeParts();
}

auto ConfigurationModule::removeOldVersions() -> void
{
    const auto version = m_context.version();
    if (version <= RetainedVersions)
        return;
    const auto old = version - RetainedVersions;
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(
        StoreDelete{m_context.key(fmt::format("config/{}.", old)), true});
    transaction.onSuccess.emplace_back(StoreDelete{m_context.key(historyKey(old)), false});
    m_context.store(std::move(transaction), [](const StoreReply &) {});
}

auto ConfigurationModule::readHistory(const HistoryCallback &callback) -> void
{
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(HistoryPrefix), true});
    m_context.store(std::move(transaction), [callback](const StoreReply &reply) {
        auto history = std::vector<HistoryRecord>();
        if (reply && reply->reads.size() == 1) {
            for (const auto &it : reply->reads[0]) {
                if (auto record = unpackRecord<HistoryRecord>(it.value))
                    history.push_back(std::move(*record));
            }
        }
        callback(history);
    });
}

} // namespace shallotproxy
