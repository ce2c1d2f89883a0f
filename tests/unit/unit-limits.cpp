#include <algorithm>
#include <deque>
#include <optional>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/process.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

const auto redTeam = TeamName("red");
constexpr Duration Step = 100ms;
constexpr Duration MaxRunTime = 2s;
constexpr std::size_t MemberCount = 4;
constexpr std::size_t MaxFaults = 6;

enum class FaultKind {
    Kill,
    Pause,
    Replace, // Kills the member and starts a new incarnation.
    CutStore,
    CutPeers,
    StoreDown,
    LoseAnswers,
    Limit,
    Leave
};

/// One fault of the schedule; `amount` is a new limit.
struct Fault
{
    FaultKind kind = FaultKind::Kill;
    std::size_t member = 0;
    int afterMilliseconds = 0; // After the preceding fault.
    int durationMilliseconds = 0;
    std::uint32_t amount = 0;
};

auto showValue(const Fault &fault, std::ostream &stream) -> void
{
    stream << fmt::format("{{{}, member {}, after {} ms, lasts {} ms, amount {}}}",
                          static_cast<int>(fault.kind), fault.member, fault.afterMilliseconds,
                          fault.durationMilliseconds, fault.amount);
}

auto faults() -> rc::Gen<std::vector<Fault>>
{
    const auto one = rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind,
                     rc::gen::map(rc::gen::inRange(0, 9),
                                  [](int it) { return static_cast<FaultKind>(it); })),
        rc::gen::set(&Fault::member, rc::gen::inRange<std::size_t>(0, MemberCount)),
        rc::gen::set(&Fault::afterMilliseconds, rc::gen::inRange(0, 5'000)),
        rc::gen::set(&Fault::durationMilliseconds, rc::gen::inRange(100, 20'000)),
        rc::gen::set(&Fault::amount, rc::gen::inRange<std::uint32_t>(0, 30)));
    return rc::gen::mapcat(rc::gen::inRange<std::size_t>(0, MaxFaults + 1), [one](std::size_t n) {
        return rc::gen::container<std::vector<Fault>>(n, one);
    });
}

/// The ledger record in the platform's key-value service.
struct ModelStore
{
    UnitLedger ledger;
    std::int64_t revision = 0;
    bool isDown = false;
    bool losesAnswers = false;
};

/// An update that reaches the front at `at`: new units, or how long it may start requests. The
/// daemon sends both through one ring.
struct FrontUpdate
{
    BootTime at;
    std::optional<SetUnits> units;
    BootTime freshUntil;
};

/// One member: the class under test and a front that applies updates with a delay.
struct ModelMember
{
    Incarnation process;
    MemberUnits unitManager;
    std::set<Incarnation> directory;
    BootTime pausedUntil;
    BootTime cutFromStoreUntil;
    BootTime cutFromPeersUntil;
    std::deque<FrontUpdate> updates; // In flight to the front, which applies them in this order.
    std::uint32_t units = 0; // In force at the front.
    std::uint64_t generation = 0;
    std::vector<BootTime> running; // End times of the running requests.
    std::uint32_t queued = 0;
    BootTime freshUntil; // The front starts no request after this time.
    std::uint32_t configured = 0;
    bool isLeaving = false;

    explicit ModelMember(Incarnation incarnation)
        : process(incarnation)
        , unitManager(std::move(incarnation))
    { }
};

/// Simulates several members, a store and a lossy message bus in simulated time.
class Fleet
{
public:
    explicit Fleet(std::uint32_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < MemberCount; ++i)
            m_members.emplace_back(newProcess(i));
    }

    auto run(Duration time) -> void
    {
        for (const auto end = m_now + time; m_now < end;) {
            m_now += Step;
            step();
            check();
        }
    }

    auto apply(const Fault &fault) -> void
    {
        auto &member = m_members[fault.member];
        const auto until = m_now + std::chrono::milliseconds(fault.durationMilliseconds);
        switch (fault.kind) {
        case FaultKind::Kill:
            kill(fault.member);
            m_restarts.emplace_back(until, fault.member);
            break;
        case FaultKind::Replace:
            kill(fault.member);
            m_members[fault.member] = ModelMember(newProcess(fault.member));
            break;
        case FaultKind::Pause:
            member.pausedUntil = until;
            break;
        case FaultKind::CutStore:
            member.cutFromStoreUntil = until;
            break;
        case FaultKind::CutPeers:
            member.cutFromPeersUntil = until;
            break;
        case FaultKind::StoreDown:
            m_storeDownUntil = until;
            break;
        case FaultKind::LoseAnswers:
            m_losesAnswersUntil = until;
            break;
        case FaultKind::Limit:
            m_oldLimit = std::max(m_limit, m_now < m_changeEnds ? m_oldLimit : 0U);
            m_changeEnds = m_now + 4s + MaxRunTime;
            m_limit = fault.amount;
            m_maxLimit = std::max(m_maxLimit, std::int64_t{m_limit});
            ++m_version;
            break;
        case FaultKind::Leave:
            member.isLeaving = true;
            break;
        }
    }

    auto heal() -> void
    {
        m_storeDownUntil = m_losesAnswersUntil = {};
        m_isLossy = false;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            auto &it = m_members[i];
            it.pausedUntil = it.cutFromStoreUntil = it.cutFromPeersUntil = {};
            if (it.isLeaving || m_dead.contains(i)) {
                kill(i);
                it = ModelMember(newProcess(i));
            }
        }
        m_dead.clear();
        m_restarts.clear();
    }

    auto setDemand(std::size_t index, std::uint32_t queued) -> void
    {
        m_demand.assign(MemberCount, 0);
        m_demand[index] = queued;
    }

    [[nodiscard]] auto running() const -> std::size_t
    {
        auto sum = m_orphans.size();
        for (const auto &it : m_members)
            sum += it.running.size();
        return sum;
    }

    [[nodiscard]] auto ledger() const -> const UnitLedger & { return m_store.ledger; }
    [[nodiscard]] auto hasEnded() const -> bool
    {
        return std::ranges::any_of(m_store.ledger.accounts,
                                   [](const auto &it) { return it.second.isEnded; });
    }
    [[nodiscard]] auto writes() const -> std::int64_t { return m_store.revision; }
    [[nodiscard]] auto now() const -> BootTime { return m_now; }

    auto stopDisturbances() -> void { m_isBusy = m_isLossy = false; }

private:
    struct Delivery
    {
        BootTime at;
        std::size_t to = 0;
        Incarnation process;
        LimitEvent event;
    };

    auto newProcess(std::size_t index) -> Incarnation
    {
        constexpr std::uint64_t Stride = 1'000'000;
        return {MemberName(fmt::format("entry-{}", index)), ++m_lastNumber * Stride};
    }

    auto chance(int percent) -> bool { return static_cast<int>(m_random() % 100) < percent; }

    auto delay(int maxMilliseconds) -> Duration
    {
        return std::chrono::milliseconds(1 + m_random() % static_cast<unsigned>(maxMilliseconds));
    }

    auto kill(std::size_t index) -> void
    {
        auto &it = m_members[index];
        m_orphans.insert(m_orphans.end(), it.running.begin(), it.running.end());
        it.running.clear();
        m_dead.insert(index);
    }

    /// Returns the registered processes: those whose lease has not expired, including processes
    /// that died within the lease time.
    [[nodiscard]] auto registered() -> std::set<Incarnation>
    {
        constexpr Duration Lease = 3s;
        auto processes = std::set<Incarnation>();
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            const auto &it = m_members[i];
            const auto seesStore =
                !m_dead.contains(i) && m_now >= it.pausedUntil && m_now >= it.cutFromStoreUntil;
            if (seesStore || m_now < m_storeDownUntil)
                m_lastSeen[it.process] = m_now;
            if (m_now - m_lastSeen[it.process] < Lease)
                processes.insert(it.process);
        }
        return processes;
    }

    auto step() -> void
    {
        for (const auto &[at, index] : std::exchange(m_restarts, {})) {
            if (m_now < at) {
                m_restarts.emplace_back(at, index);
            } else if (m_dead.contains(index)) {
                m_members[index] = ModelMember(newProcess(index));
                m_dead.erase(index);
            }
        }
        std::erase_if(m_orphans, [this](BootTime it) { return it <= m_now; });
        const auto processes = registered();
        deliver();
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            auto &it = m_members[i];
            std::erase_if(it.running, [this](BootTime end) { return end <= m_now; });
            if (m_dead.contains(i) || m_now < it.pausedUntil)
                continue;
            stepMember(i, processes);
        }
    }

    auto stepMember(std::size_t index, const std::set<Incarnation> &processes) -> void
    {
        auto &it = m_members[index];
        // The tick comes before anything that arrived during a pause, as in the daemon.
        perform(index, LimitTick());
        const auto seesStore = m_now >= it.cutFromStoreUntil && m_now >= m_storeDownUntil;
        if (seesStore)
            perform(index, MembersListed{processes});
        perform(index, LimitsDeclared{m_version, {{redTeam, m_limit}}, MaxRunTime});
        sendToFront(index, {{}, {}, m_now + MemberUnits::FrontUpdateValidity});
        if (it.isLeaving)
            perform(index, LeaveStarted());
        it.queued = index < m_demand.size() && !it.isLeaving ? m_demand[index] : 0;
        if (m_isBusy && chance(20))
            m_demand[index] = static_cast<std::uint32_t>(m_random() % 20);
        stepFront(index);
    }

    auto stepFront(std::size_t index) -> void
    {
        auto &it = m_members[index];
        while (!it.updates.empty() && it.updates.front().at <= m_now) {
            const auto update = std::move(it.updates.front());
            it.updates.pop_front();
            if (!update.units) {
                it.freshUntil = update.freshUntil;
                continue;
            }
            const auto units = update.units->units.find(redTeam);
            it.units = units == update.units->units.end() ? 0 : units->second;
            it.generation = update.units->generation;
        }
        auto started = std::uint32_t{0};
        while (it.running.size() < it.units && started < it.queued && m_now < it.freshUntil) {
            it.running.push_back(m_now + delay(static_cast<int>(MaxRunTime / 1ms)));
            ++started;
        }
        const auto running = static_cast<std::uint32_t>(it.running.size());
        const auto wanted = std::min(running + it.queued, m_limit);
        enqueue(index, m_now + delay(60), UnitLoads{it.generation, {{redTeam, {running, wanted}}}});
    }

    auto enqueue(std::size_t to, BootTime at, LimitEvent event) -> void
    {
        m_deliveries.push_back({at, to, m_members[to].process, std::move(event)});
    }

    auto deliver() -> void
    {
        auto due = std::vector<Delivery>();
        auto later = std::vector<Delivery>();
        for (auto &it : m_deliveries) {
            const auto isAlive = !m_dead.contains(it.to) && m_members[it.to].process == it.process;
            if (!isAlive)
                continue;
            const auto isDue = it.at <= m_now && m_now >= m_members[it.to].pausedUntil;
            (isDue ? due : later).push_back(std::move(it));
        }
        m_deliveries = std::move(later);
        std::ranges::stable_sort(due, {}, &Delivery::at);
        for (auto &it : due) {
            perform(it.to, LimitTick());
            if (m_members[it.to].process == it.process)
                perform(it.to, it.event);
        }
    }

    auto perform(std::size_t index, const LimitEvent &event) -> void
    {
        for (auto &action : m_members[index].unitManager.step(event, m_now))
            std::visit([this, index](auto &it) { act(index, it); }, action);
    }

    [[nodiscard]] auto reachesStore(std::size_t index) const -> bool
    {
        return m_now >= m_members[index].cutFromStoreUntil && m_now >= m_storeDownUntil;
    }

    auto act(std::size_t index, const ReadLedger & /*action*/) -> void
    {
        if (!reachesStore(index))
            return;
        enqueue(index, m_now + delay(100), LedgerRead{m_store.ledger, m_store.revision, m_now});
    }

    auto act(std::size_t index, const WriteLedger &action) -> void
    {
        const auto isLost = m_now < m_losesAnswersUntil && chance(50);
        auto hasSucceeded = false;
        if (reachesStore(index) && action.expected == m_store.revision) {
            m_store.ledger = action.ledger;
            ++m_store.revision;
            hasSucceeded = true;
        }
        enqueue(index, m_now + delay(isLost ? 800 : 100), LedgerWritten{hasSucceeded && !isLost});
    }

    auto act(std::size_t index, const SetUnits &action) -> void
    {
        sendToFront(index, {{}, action, {}});
    }

    auto sendToFront(std::size_t index, FrontUpdate update) -> void
    {
        auto &updates = m_members[index].updates;
        const auto last = updates.empty() ? m_now : updates.back().at;
        update.at = std::max(last, m_now + delay(60));
        updates.push_back(std::move(update));
    }

    auto act(std::size_t index, const SendUnitMessage &action) -> void
    {
        const auto &from = m_members[index];
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            const auto &to = m_members[i];
            if (to.process.member != action.to || m_dead.contains(i))
                continue;
            if (m_now < from.cutFromPeersUntil || m_now < to.cutFromPeersUntil)
                continue;
            const auto copies = !m_isLossy ? 1 : chance(15) ? 0 : chance(15) ? 2 : 1;
            for (auto n = 0; n < copies; ++n) {
                const auto late = m_isLossy && chance(5) ? 4'000 : 100;
                enqueue(i, m_now + delay(late), UnitMessage{from.process.member, action.message});
            }
        }
    }

    auto check() -> void
    {
        const auto limit = m_now < m_changeEnds ? std::max(m_limit, m_oldLimit) : m_limit;
        RC_ASSERT(running() <= limit);
        RC_ASSERT(m_store.ledger.charged(redTeam) <= m_maxLimit);
    }

    std::mt19937 m_random;
    BootTime m_now{1h};
    ModelStore m_store;
    std::vector<ModelMember> m_members;
    std::vector<Delivery> m_deliveries;
    std::vector<BootTime> m_orphans; // End times of requests of dead members that still run.
    std::set<std::size_t> m_dead;
    std::vector<std::pair<BootTime, std::size_t>> m_restarts;
    std::map<Incarnation, BootTime> m_lastSeen;
    std::vector<std::uint32_t> m_demand = std::vector<std::uint32_t>(MemberCount, 3);
    BootTime m_storeDownUntil;
    BootTime m_losesAnswersUntil;
    std::uint32_t m_limit = 20;
    std::uint32_t m_oldLimit = 20;
    std::int64_t m_maxLimit = 20;
    BootTime m_changeEnds;
    ConfigurationVersion m_version = 1;
    std::uint64_t m_lastNumber = 0;
    bool m_isLossy = true;
    bool m_isBusy = true;
};

/// Injects the faults, heals them and lowers the limit to 12.
auto injectAndHeal(Fleet &fleet, const std::vector<Fault> &schedule) -> void
{
    fleet.run(4s);
    for (const auto &it : schedule) {
        fleet.run(std::chrono::milliseconds(it.afterMilliseconds));
        fleet.apply(it);
    }
    fleet.run(10s);
    fleet.heal();
    fleet.run(25s);
    // More than half of the members may have ended at once. Then their units are released only
    // after the maximum store outage, because until then the ended accounts could still be
    // attested.
    for (auto waited = Duration(0); fleet.hasEnded() && waited < MemberUnits::MaxStoreOutage;
         waited += 15s) {
        fleet.run(15s);
    }
    fleet.stopDisturbances();
    fleet.apply({FaultKind::Limit, 0, 0, 0, 12});
    fleet.setDemand(1, 100);
    fleet.run(8s);
}

RC_GTEST_PROP(Limits, AreNeverExceededAndAllUnitsRecoverAfterFaults, (std::uint32_t seed))
{
    const auto schedule = *faults();
    auto fleet = Fleet(seed);
    injectAndHeal(fleet, schedule);
    RC_ASSERT(fleet.running() >= 11U);
    RC_ASSERT(fleet.ledger().charged(redTeam) == 12);
}

// The front still has the units from before the pause when the process resumes.
TEST(Limits, AreNotExceededByAFrontThatResumesWithOldUnits)
{
    auto fleet = Fleet(2'638);
    injectAndHeal(fleet, {{FaultKind::Pause, 0, 101, 16'301, 0}});
    EXPECT_GE(fleet.running(), 11U);
}

TEST(Limits, KeepOtherMembersWritesAfterLostAnswer)
{
    auto fleet = Fleet(964'473);
    injectAndHeal(fleet,
                  {{FaultKind::Kill, 0, 0, 100, 0},
                   {FaultKind::Kill, 0, 0, 100, 0},
                   {FaultKind::LoseAnswers, 0, 0, 201, 0},
                   {FaultKind::Limit, 0, 0, 100, 8}});
    EXPECT_GE(fleet.running(), 11U);
    EXPECT_EQ(fleet.ledger().charged(redTeam), 12);
}

TEST(Limits, MoveToLoadedMemberWithinOneSecond)
{
    auto fleet = Fleet(7);
    fleet.stopDisturbances();
    fleet.setDemand(0, 0);
    fleet.run(12s);
    fleet.setDemand(2, 100);
    fleet.run(1s);
    EXPECT_EQ(fleet.running(), 20U);
    fleet.setDemand(3, 100);
    fleet.run(3s);
    EXPECT_EQ(fleet.running(), 20U);
}

TEST(Limits, MoveUnitsWithoutStoreWrites)
{
    auto fleet = Fleet(7);
    fleet.stopDisturbances();
    fleet.run(12s);
    const auto writes = fleet.writes();
    for (std::size_t i = 0; i < 20; ++i) {
        fleet.setDemand(i % MemberCount, 100);
        fleet.run(2s);
    }
    EXPECT_EQ(fleet.writes(), writes);
}

TEST(Limits, RecoverUnitsOfDeadMemberAfterItsWorkEnds)
{
    auto fleet = Fleet(3);
    fleet.stopDisturbances();
    fleet.setDemand(0, 100);
    fleet.run(10s);
    fleet.apply({FaultKind::Kill, 0, 0, 1'000'000, 0});
    fleet.setDemand(1, 100);
    constexpr Duration Lease = 3s;
    fleet.run(Lease + 2s + MemberUnits::ContactValidity + MemberUnits::FrontUpdateValidity
              + MaxRunTime + 8s);
    EXPECT_GE(fleet.running(), 19U);
}

} // namespace

} // namespace shallotproxy
