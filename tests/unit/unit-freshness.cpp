#include <functional>
#include <map>
#include <memory>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/process.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration InForceBound = 5s; // Target: a change is in force on every member by then.
constexpr Duration RunTime = 40s;
constexpr Duration ShortOutageTime = 30s;
constexpr Duration LongOutageTime = 10min;
constexpr auto LongOutages = 5;

enum class FaultKind : std::uint8_t {
    StoreDown,
    LoseStoreAnswers,
    DelayStoreWrites,
    PauseMember,
    KillMember,
    ReplaceMember,
    CutFromStore,
    CutFromPeer, // Messages in one direction are lost.
    LoseMessages,
};

/// Step of a change at which a fault is injected.
enum class FaultStep : std::uint8_t { AnyTime, Announced, Swapped, Answered };

struct Fault
{
    FaultKind kind = FaultKind::StoreDown;
    int startMilliseconds = 0; // After the start of the run, or after the step.
    int milliseconds = 0;
    std::size_t member = 0;
    std::size_t other = 0;
    FaultStep step = FaultStep::AnyTime;
    bool isOfWriter = false; // Affects the writer of the change instead of `member`.
};

struct OperatorChange
{
    int startMilliseconds = 0;
    std::size_t member = 0;
};

struct Schedule
{
    std::uint32_t seed = 0; // Seed of the message delays.
    std::vector<Fault> faults;
    std::vector<OperatorChange> changes;
};

auto showValue(const Fault &fault, std::ostream &os) -> void
{
    os << "fault " << static_cast<int>(fault.kind) << " at " << fault.startMilliseconds
       << " ms for " << fault.milliseconds << " ms, member " << fault.member << ", other "
       << fault.other;
}

auto showValue(const OperatorChange &change, std::ostream &os) -> void
{
    os << "change at " << change.startMilliseconds << " ms by member " << change.member;
}

auto showValue(const Schedule &schedule, std::ostream &os) -> void
{
    os << "seed " << schedule.seed;
    for (const auto &it : schedule.faults) {
        os << "\n  ";
        showValue(it, os);
    }
    for (const auto &it : schedule.changes) {
        os << "\n  ";
        showValue(it, os);
    }
}

/// The reported outcome of one change and its actual effect in the store.
struct ChangeRecord
{
    ConfigurationVersion version = 0; // 0: The change is of the registered members only.
    std::optional<ChangeOutcome> outcome;
    BootTime answeredAt;
    std::optional<BootTime> effectiveAt;
};

/// Simulates several members with a Freshness and HeadChange each, a store and the messages between
/// them, in simulated time.
class World
{
public:
    static constexpr std::size_t MemberCount = 5;

    explicit World(const Schedule &schedule)
        : m_random(schedule.seed)
        , m_faults(schedule.faults)
        , m_now(BootTime(1h))
        , m_start(m_now)
    {
        m_members.resize(MemberCount);
        for (std::size_t i = 0; i < MemberCount; ++i) {
            boot(i);
            schedulePoll(i);
        }
        for (const auto &it : schedule.faults)
            scheduleFault(it);
        for (const auto &it : schedule.changes) {
            at(m_start + std::chrono::milliseconds(it.startMilliseconds),
               [this, member = it.member] { startVersion(member); });
        }
    }

    auto run(Duration time) -> void
    {
        const auto end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
        m_now = end;
    }

    auto startVersion(std::size_t i) -> std::string
    {
        auto &member = m_members[i];
        auto id = "change-" + std::to_string(++m_lastChange);
        if (!member.unit || isPaused(i) || member.change || !isFresh(i))
            return "";
        auto next = member.unit->loadedHead().record;
        ++next.version;
        next.writer = id;
        m_changes[id].version = next.version;
        startChange(i, id, std::move(next));
        return id;
    }

    [[nodiscard]] auto isFresh(std::size_t i) const -> bool
    {
        const auto &unit = m_members[i].unit;
        return unit && !isPaused(i) && m_now < unit->freshUntil()
            && unit->loadedHead().revision != 0;
    }
    [[nodiscard]] auto freshCount() const -> std::size_t
    {
        auto count = std::size_t{0};
        for (std::size_t i = 0; i < MemberCount; ++i)
            count += isFresh(i) ? 1U : 0U;
        return count;
    }
    [[nodiscard]] auto versionOf(std::size_t i) const -> ConfigurationVersion
    {
        return m_members[i].unit->loadedHead().record.version;
    }
    [[nodiscard]] auto changes() const -> const std::map<std::string, ChangeRecord> &
    {
        return m_changes;
    }
    [[nodiscard]] auto head() const -> const ConfigurationHead & { return m_head; }
    [[nodiscard]] auto staleTime() const -> Duration { return m_staleTime; }
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &
    {
        return m_violations;
    }
    [[nodiscard]] auto hasPendingAnnouncement() const -> bool
    {
        return std::ranges::any_of(
            m_members, [](const auto &it) { return it.unit && it.unit->hasPendingAnnouncement(); });
    }
    auto addFault(const Fault &fault) -> void
    {
        m_faults.push_back(fault);
        scheduleFault(fault);
    }
    [[nodiscard]] auto elapsedMilliseconds() const -> int
    {
        return static_cast<int>((m_now - m_start) / 1ms);
    }

private:
    static constexpr Duration Tick = 100ms;
    static constexpr Duration PollInterval = 500ms;
    static constexpr Duration StoreTimeout = 800ms;
    static constexpr std::uint64_t IncarnationsPerMember = 1'000;
    static constexpr int MaxStepDelayMilliseconds = 20;

    struct Member
    {
        Incarnation self;
        std::optional<Freshness> unit;
        std::optional<HeadChange> change;
        ConfigurationHead highest;
        BootTime nextRegistration;
    };

    using StoreReply = std::function<void(bool isAnswered)>;

    auto at(BootTime time, std::function<void()> function) -> void
    {
        m_events.emplace(time, std::move(function));
    }

    auto delay(int fromMicroseconds, int toMicroseconds) -> Duration
    {
        return std::chrono::microseconds(
            std::uniform_int_distribution<int>(fromMicroseconds, toMicroseconds)(m_random));
    }

    auto chance(int percent) -> bool
    {
        return std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
    }

    [[nodiscard]] auto isActive(FaultKind kind, std::size_t member = 0, std::size_t other = 0) const
        -> bool
    {
        const auto elapsed = m_now - m_start;
        return std::ranges::any_of(m_faults, [&](const Fault &it) {
            const auto isOfMember = kind == FaultKind::PauseMember
                || kind == FaultKind::CutFromStore || kind == FaultKind::CutFromPeer;
            const auto start = std::chrono::milliseconds(it.startMilliseconds);
            return it.kind == kind && it.step == FaultStep::AnyTime
                && (!isOfMember || it.member == member)
                && (kind != FaultKind::CutFromPeer || it.other == other) && elapsed >= start
                && elapsed < start + std::chrono::milliseconds(it.milliseconds);
        });
    }

    [[nodiscard]] auto isPaused(std::size_t i) const -> bool
    {
        return isActive(FaultKind::PauseMember, i);
    }

    auto boot(std::size_t i) -> void
    {
        auto &member = m_members[i];
        const auto number =
            member.self.number == 0 ? i * IncarnationsPerMember + 1 : member.self.number + 1;
        member = {};
        member.self = {MemberName("entry-" + std::to_string(i)), number};
        member.unit.emplace(member.self);
        member.nextRegistration = m_now + delay(0, 400'000);
    }

    auto scheduleFault(const Fault &fault) -> void
    {
        if (fault.step != FaultStep::AnyTime)
            return;
        const auto start = m_start + std::chrono::milliseconds(fault.startMilliseconds);
        if (fault.kind == FaultKind::KillMember || fault.kind == FaultKind::ReplaceMember)
            at(start, [this, i = fault.member] { m_members[i].unit.reset(); });
        if (fault.kind == FaultKind::ReplaceMember) {
            at(start + std::chrono::milliseconds(fault.milliseconds),
               [this, i = fault.member] { boot(i); });
        }
    }

    /// Injects, once, the faults that are scheduled for this step of a change of the version.
    auto reachStep(FaultStep step, std::size_t writer, const std::string &id) -> void
    {
        if (m_changes[id].version == 0)
            return;
        for (auto &fault : m_faults) {
            if (fault.step != step)
                continue;
            fault.step = FaultStep::AnyTime;
            fault.startMilliseconds =
                elapsedMilliseconds() + fault.startMilliseconds % MaxStepDelayMilliseconds;
            if (fault.isOfWriter)
                fault.member = writer;
            scheduleFault(fault);
        }
    }

    /// Runs a function on a member: once it resumes if the member is paused, never if it is dead.
    auto onMember(std::size_t i, const Incarnation &self, const std::function<void()> &function)
        -> void
    {
        if (!m_members[i].unit || m_members[i].self != self)
            return;
        if (isPaused(i)) {
            at(m_now + 10ms, [this, i, self, function] { onMember(i, self, function); });
            return;
        }
        function();
        checkMember(i);
    }

    auto checkMember(std::size_t i) -> void
    {
        auto &member = m_members[i];
        if (!member.unit)
            return;
        const auto &loadedHead = member.unit->loadedHead();
        if (loadedHead.revision < member.highest.revision
            || loadedHead.record.version < member.highest.record.version)
            m_violations.emplace_back("a member's configuration went back to an older one");
        member.highest = loadedHead;
        if (!isFresh(i))
            return;
        for (const auto &[id, change] : m_changes) {
            if (loadedHead.record.version >= change.version)
                continue;
            if (change.effectiveAt && m_now > *change.effectiveAt + InForceBound)
                m_violations.push_back("fresh without " + id + " 5 s after its swap");
            if (change.outcome == ChangeOutcome::Applied && m_now > change.answeredAt) {
                m_staleTime = std::max(m_staleTime, m_now - change.answeredAt);
            }
        }
    }

    auto schedulePoll(std::size_t i) -> void
    {
        at(m_now + delay(0, 100'000), [this, i] { tickMember(i, 0); });
    }

    auto tickMember(std::size_t i, int count) -> void
    {
        at(m_now + Tick, [this, i, count] { tickMember(i, count + 1); });
        if (!m_members[i].unit || isPaused(i))
            return;
        checkMember(i);
        perform(i, m_members[i].unit->step(FreshnessTick(), m_now));
        stepChange(i, ChangeTick());
        constexpr auto TicksPerPoll = static_cast<int>(PollInterval / Tick);
        if (count % TicksPerPoll == 0) {
            poll(i);
            heartbeat(i);
        }
    }

    auto heartbeat(std::size_t i) -> void
    {
        const auto revision = m_members[i].unit->loadedHead().revision;
        stepChange(i, MemberHeadReported{m_members[i].self, revision});
        for (std::size_t to = 0; to < MemberCount; ++to) {
            if (to != i) {
                sendMessage(i, to, [this, to, from = m_members[i].self, revision] {
                    stepChange(to, MemberHeadReported{from, revision});
                });
            }
        }
    }

    auto poll(std::size_t i) -> void
    {
        auto read = std::make_shared<HeadRead>();
        read->startedAt = m_now;
        callStore(
            i, false, [this, read] { read->head = m_head; },
            [this, i, read](bool isAnswered) {
                if (!isAnswered)
                    return;
                perform(i, m_members[i].unit->step(*read, m_now));
                registerIfNeeded(i);
            });
    }

    auto registerIfNeeded(std::size_t i) -> void
    {
        auto &member = m_members[i];
        const auto &loadedHead = member.unit->loadedHead();
        if (loadedHead.isRegistered(member.self) || member.change || m_now < member.nextRegistration
            || loadedHead.revision != m_head.revision)
            return;
        member.nextRegistration = m_now + delay(500'000, 1'500'000);
        auto next = loadedHead.record;
        std::erase_if(next.registered,
                      [&member](const auto &it) { return it.member == member.self.member; });
        next.registered.push_back(member.self);
        startChange(i, "members-" + std::to_string(++m_lastChange), std::move(next));
    }

    auto startChange(std::size_t i, const std::string &id, HeadRecord next) -> void
    {
        auto &member = m_members[i];
        member.change.emplace(id, member.unit->loadedHead(), std::move(next), m_now);
        m_changes[id];
        stepChange(i, ChangeStarted());
    }

    auto stepChange(std::size_t i, const HeadChangeEvent &event) -> void
    {
        auto &member = m_members[i];
        if (!member.change)
            return;
        for (const auto &action : member.change->step(event, m_now))
            std::visit([this, i](const auto &it) { performChange(i, it); }, action);
    }

    auto performChange(std::size_t i, const SendAnnounce &action) -> void
    {
        const auto &change = *m_members[i].change;
        reachStep(FaultStep::Announced, i, change.id());
        sendUnit(i, indexOf(action.to.member), Announce{change.base().revision, change.id()});
    }

    auto performChange(std::size_t i, const SendAnnounceCancel & /*action*/) -> void
    {
        for (std::size_t to = 0; to < MemberCount; ++to)
            sendUnit(i, to, AnnounceCancel{m_members[i].change->id()});
    }

    auto performChange(std::size_t i, const SwapHead & /*action*/) -> void
    {
        const auto &change = *m_members[i].change;
        auto read = std::make_shared<ChangeRead>();
        callStore(
            i, true,
            [this, i, read, id = change.id(), base = change.base().revision, next = change.next()] {
                if (m_head.revision == base) {
                    m_head = {++m_storeRevision, next};
                    m_changes[id].effectiveAt = m_now;
                    reachStep(FaultStep::Swapped, i, id);
                }
                *read = readChange(id);
            },
            [this, i, read](bool isAnswered) { answerChange(i, isAnswered, *read); });
    }

    auto performChange(std::size_t i, const ReadBack & /*action*/) -> void
    {
        auto read = std::make_shared<ChangeRead>();
        callStore(
            i, false, [this, read, id = m_members[i].change->id()] { *read = readChange(id); },
            [this, i, read](bool isAnswered) { answerChange(i, isAnswered, *read); });
    }

    auto performChange(std::size_t i, const FenceSwap & /*action*/) -> void
    {
        const auto &change = *m_members[i].change;
        auto read = std::make_shared<ChangeRead>();
        auto isFenced = std::make_shared<bool>(false);
        callStore(
            i, true,
            [this, read, isFenced, id = change.id(), base = change.base()] {
                *isFenced = fence(base);
                *read = readChange(id);
            },
            [this, i, read, isFenced](bool isAnswered) {
                if (isAnswered && *isFenced) {
                    stepChange(i, ChangeFenced());
                } else {
                    answerChange(i, isAnswered, *read);
                }
            });
    }

    auto performChange(std::size_t i, const ChangeFinished &action) -> void
    {
        auto &record = m_changes[m_members[i].change->id()];
        record.outcome = action.outcome;
        record.answeredAt = m_now;
        reachStep(FaultStep::Answered, i, m_members[i].change->id());
        at(m_now, [this, i, self = m_members[i].self] {
            if (m_members[i].self == self)
                m_members[i].change.reset();
        });
    }

    auto answerChange(std::size_t i, bool isAnswered, const ChangeRead &read) -> void
    {
        if (isAnswered) {
            stepChange(i, read);
        } else {
            stepChange(i, ChangeAnswerLost());
        }
    }

    auto readChange(const std::string &id) -> ChangeRead
    {
        return {m_head.revision, m_changes[id].effectiveAt.has_value()};
    }

    auto fence(const ConfigurationHead &base) -> bool
    {
        if (m_head.revision != base.revision)
            return false;
        m_head.revision = ++m_storeRevision;
        return true;
    }

    auto perform(std::size_t i, const std::vector<FreshnessAction> &actions) -> void
    {
        for (const auto &action : actions)
            std::visit([this, i](const auto &it) { performUnit(i, it); }, action);
    }

    auto performUnit(std::size_t i, const SendFreshnessMessage &action) -> void
    {
        const auto to = indexOf(action.to);
        if (const auto *answer = std::get_if<AnnounceAnswer>(&action.message)) {
            sendMessage(i, to, [this, to, from = m_members[i].self, answer = *answer] {
                stepChange(to, AnnounceAnswerReceived{from, answer});
            });
        }
        if (const auto *request = std::get_if<HeadConfirmationRequest>(&action.message))
            sendUnit(i, to, *request);
        if (const auto *answer = std::get_if<HeadConfirmationAnswer>(&action.message))
            sendUnit(i, to, *answer);
    }

    auto performUnit(std::size_t i, const FetchFromStore &action) -> void
    {
        callStore(
            i, false, [] {},
            [this, i, head = action.head](bool isAnswered) {
                if (isAnswered)
                    perform(i, m_members[i].unit->step(HeadLoaded{head}, m_now));
            });
    }

    auto performUnit(std::size_t i, const FetchFromPeer &action) -> void
    {
        const auto peer = indexOf(action.peer);
        sendMessage(i, peer, [this, i, peer] {
            sendMessage(peer, i, [this, i, head = m_members[peer].unit->loadedHead()] {
                perform(i, m_members[i].unit->step(HeadLoaded{head}, m_now));
            });
        });
    }

    auto performUnit(std::size_t i, const FenceHead &action) -> void
    {
        callStore(
            i, true, [this, head = action.head] { fence(head); }, [](bool /*isAnswered*/) {});
    }

    auto sendUnit(std::size_t from, std::size_t to, const FreshnessMessage &message) -> void
    {
        sendMessage(from, to, [this, to, sender = m_members[from].self, message] {
            perform(to, m_members[to].unit->step(FreshnessMessageReceived{sender, message}, m_now));
        });
    }

    /// Delivers one message, possibly late, twice or not at all.
    auto sendMessage(std::size_t from, std::size_t to, const std::function<void()> &receive) -> void
    {
        const auto isLost = isActive(FaultKind::CutFromPeer, from, to)
            || (isActive(FaultKind::LoseMessages) && chance(60));
        if (isLost)
            return;
        const auto copies = chance(5) ? 2 : 1;
        for (auto i = 0; i < copies; ++i) {
            const auto time = m_now + (chance(3) ? delay(0, 2'000'000) : delay(200, 5'000));
            // Messages are addressed by name: a newer incarnation gets those sent to its
            // predecessor.
            at(time, [this, to, receive] { onMember(to, m_members[to].self, receive); });
        }
    }

    /// Calls the store: `effect` runs in the store and `reply` at the caller, which gives up after
    /// StoreTimeout.
    auto callStore(std::size_t i, bool isWrite, const std::function<void()> &effect,
                   const StoreReply &reply) -> void
    {
        const auto self = m_members[i].self;
        auto isDone = std::make_shared<bool>(false);
        const auto finish = [this, i, self, isDone, reply](bool isAnswered) {
            if (std::exchange(*isDone, true))
                return;
            onMember(i, self, [reply, isAnswered] { reply(isAnswered); });
        };
        at(m_now + StoreTimeout, [finish] { finish(false); });
        if (isActive(FaultKind::CutFromStore, i))
            return;
        const auto isSlow = isWrite && isActive(FaultKind::DelayStoreWrites);
        at(m_now + (isSlow ? delay(0, 6'000'000) : delay(500, 4'000)),
           [this, i, isWrite, effect, finish] {
               if (isActive(FaultKind::StoreDown))
                   return;
               effect();
               const auto isLost = isActive(FaultKind::CutFromStore, i)
                   || (isWrite && isActive(FaultKind::LoseStoreAnswers));
               if (!isLost)
                   at(m_now + delay(500, 4'000), [finish] { finish(true); });
           });
    }

    static auto indexOf(const MemberName &name) -> std::size_t
    {
        constexpr std::size_t PrefixLength = 6; // "entry-"
        return std::stoul(name.value().substr(PrefixLength));
    }

    std::mt19937 m_random;
    std::vector<Fault> m_faults;
    BootTime m_now;
    BootTime m_start;
    std::multimap<BootTime, std::function<void()>> m_events;
    std::vector<Member> m_members;
    ConfigurationHead m_head;
    StoreRevision m_storeRevision = 1;
    std::map<std::string, ChangeRecord> m_changes;
    int m_lastChange = 0;
    Duration m_staleTime = {};
    std::vector<std::string> m_violations;
};

/// Generates any value of a range; the range of rapidcheck's `inRange` grows with the test size.
template <typename T>
auto uniform(T min, T max) -> rc::Gen<T>
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

auto genFault() -> rc::Gen<Fault>
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind,
                     rc::gen::map(uniform(0, 9), [](int n) { return static_cast<FaultKind>(n); })),
        rc::gen::set(&Fault::startMilliseconds, uniform(0, 20'000)),
        rc::gen::set(&Fault::milliseconds, uniform(0, 15'000)),
        rc::gen::set(&Fault::step,
                     rc::gen::map(uniform(0, 6),
                                  [](int n) { return static_cast<FaultStep>(n < 4 ? n : 2); })),
        rc::gen::set(&Fault::isOfWriter),
        rc::gen::set(&Fault::member, uniform<std::size_t>(0, World::MemberCount)),
        rc::gen::set(&Fault::other, uniform<std::size_t>(0, World::MemberCount)));
}

auto genSchedule() -> rc::Gen<Schedule>
{
    const auto change = rc::gen::build<OperatorChange>(
        rc::gen::set(&OperatorChange::startMilliseconds, uniform(1'000, 22'000)),
        rc::gen::set(&OperatorChange::member, uniform<std::size_t>(0, World::MemberCount)));
    return rc::gen::build<Schedule>(
        rc::gen::set(&Schedule::seed, rc::gen::arbitrary<std::uint32_t>()),
        rc::gen::set(&Schedule::faults,
                     rc::gen::resize(8, rc::gen::container<std::vector<Fault>>(genFault()))),
        rc::gen::set(&Schedule::changes,
                     rc::gen::resize(12, rc::gen::container<std::vector<OperatorChange>>(change))));
}

RC_GTEST_PROP(Freshness, StaleMemberStopsBeingFreshWithinBound, ())
{
    auto world = World(*genSchedule());
    world.run(RunTime);
    for (const auto &it : world.violations())
        RC_FAIL(it);
    RC_ASSERT(world.staleTime() <= FreshnessPeriod);
}

RC_GTEST_PROP(Freshness, ReportedOutcomeMatchesStore, ())
{
    auto world = World(*genSchedule());
    world.run(RunTime + RunTime); // Long enough for every call in flight to end.
    auto versions = std::map<ConfigurationVersion, int>();
    for (const auto &[id, change] : world.changes()) {
        if (change.outcome == ChangeOutcome::NotApplied)
            RC_ASSERT(!change.effectiveAt.has_value());
        if (change.outcome == ChangeOutcome::Applied)
            RC_ASSERT(change.effectiveAt.has_value());
        if (change.effectiveAt && change.version != 0)
            RC_ASSERT(++versions[change.version] == 1);
    }
    RC_ASSERT(versions.size() == world.head().record.version);
}

/// Checks that, in an outage of the store with one member killed and one pair disconnected in one
/// direction, all other members stay fresh throughout.
auto checkOutage(std::uint32_t seed, Duration time) -> void
{
    auto world = World({seed, {}, {}});
    world.run(10s);
    world.startVersion(1);
    world.run(10s);
    ASSERT_EQ(world.head().record.version, 1U);
    ASSERT_FALSE(world.hasPendingAnnouncement());
    const auto start = world.elapsedMilliseconds();
    const auto milliseconds = static_cast<int>(time / 1ms);
    world.addFault({FaultKind::StoreDown, start, milliseconds, 0, 0});
    world.addFault({FaultKind::KillMember, start + 5'000, 0, 3, 0});
    world.addFault({FaultKind::CutFromPeer, start + 5'000, milliseconds, 0, 1});
    for (auto elapsed = Duration(); elapsed + 1s < time; elapsed += 1s) {
        world.run(1s);
        for (const auto member : {0U, 1U, 2U, 4U})
            ASSERT_TRUE(world.isFresh(member));
    }
    ASSERT_TRUE(world.violations().empty());
}

RC_GTEST_PROP(Freshness, SurvivesStoreOutage, (std::uint32_t seed))
{
    checkOutage(seed, ShortOutageTime);
    RC_ASSERT(!testing::Test::HasFailure());
}

TEST(Freshness, SurvivesLongStoreOutage)
{
    for (auto i = 0; i < LongOutages; ++i) {
        const auto seed = static_cast<std::uint32_t>(randomNumber());
        SCOPED_TRACE(seed);
        checkOutage(seed, LongOutageTime);
    }
}

RC_GTEST_PROP(Freshness, AppliesExactlyOneOfTwoRacingChanges, (std::uint32_t seed))
{
    auto world = World({seed, {}, {}});
    world.run(10s);
    const auto first = world.startVersion(0);
    world.run(std::chrono::milliseconds(*rc::gen::inRange(0, 10)));
    const auto second = world.startVersion(1);
    RC_PRE(!first.empty() && !second.empty());
    world.run(15s);
    const auto isApplied = [&world](const std::string &id) {
        const auto outcome = world.changes().at(id).outcome;
        RC_ASSERT(outcome.has_value() && *outcome != ChangeOutcome::Unknown);
        return *outcome == ChangeOutcome::Applied;
    };
    if (world.changes().at(first).version == world.changes().at(second).version)
        RC_ASSERT(isApplied(first) != isApplied(second));
    RC_ASSERT(world.freshCount() == World::MemberCount);
}

RC_GTEST_PROP(Freshness, RecoversAfterFaults, ())
{
    auto schedule = *genSchedule();
    std::erase_if(schedule.faults,
                  [](const Fault &it) { return it.kind == FaultKind::KillMember; });
    auto world = World(schedule);
    world.run(RunTime + RunTime);
    RC_ASSERT(world.freshCount() == World::MemberCount);
    RC_ASSERT(!world.hasPendingAnnouncement());
}

// During the outage it is unknown whether the announced swap took effect, so no head is confirmed.
// The share of such cases is printed.
RC_GTEST_PROP(Freshness, RecoversAfterOutageDuringChange, (std::uint32_t seed))
{
    auto world = World({seed, {}, {}});
    world.run(10s);
    const auto id = world.startVersion(1);
    RC_PRE(!id.empty());
    world.run(std::chrono::microseconds(*uniform(0, 20'000)));
    constexpr auto Milliseconds = static_cast<int>(ShortOutageTime / 1ms);
    world.addFault({FaultKind::StoreDown, world.elapsedMilliseconds(), Milliseconds, 0, 0});
    world.run(ShortOutageTime);
    RC_CLASSIFY(world.freshCount() == 0, "no member fresh at the outage's end");
    RC_CLASSIFY(world.freshCount() == World::MemberCount, "all members fresh at the outage's end");
    world.run(InForceBound);
    RC_ASSERT(world.freshCount() == World::MemberCount);
    RC_ASSERT(world.violations().empty());
}

TEST(Freshness, CountsFromStartOfRead)
{
    const auto self = Incarnation{MemberName("entry-0"), 1};
    auto unit = Freshness(self);
    const auto start = BootTime(1h);
    const auto head = ConfigurationHead{5, {1, "w", 1, {self}}};
    unit.step(HeadLoaded{head}, start);
    unit.step(HeadRead{start, head}, start + 700ms);
    EXPECT_EQ(unit.freshUntil(), start + FreshnessPeriod); // Counted from when the read was sent.
}

TEST(Freshness, StoreReadDoesNotRefreshUnregisteredMember)
{
    auto unit = Freshness({MemberName("entry-0"), 2});
    const auto start = BootTime(1h);
    const auto head = ConfigurationHead{5, {1, "w", 1, {{MemberName("entry-0"), 1}}}};
    unit.step(HeadLoaded{head}, start);
    unit.step(HeadRead{start, head}, start);
    EXPECT_LT(unit.freshUntil(), start);
}

TEST(Freshness, IgnoresOlderStoreAnswer)
{
    const auto self = Incarnation{MemberName("entry-0"), 1};
    auto unit = Freshness(self);
    const auto start = BootTime(1h);
    unit.step(HeadLoaded{{7, {2, "w", 1, {self}}}}, start);
    const auto actions = unit.step(HeadRead{start, {5, {1, "v", 1, {self}}}}, start);
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(unit.loadedHead().revision, 7);
    EXPECT_LT(unit.freshUntil(), start);
}

} // namespace

} // namespace shallotproxy
