#include <QPointer>

#include "host_duty.hpp"
#include "shallotproxy/member/steward_duty.hpp"
#include "shallotproxy/process/base/record_codec.hpp"
#include "store_keys.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StepInterval{200}; // an eighth of the time that moving a host takes
// Used while hosts move or are in upkeep, or while a new steward recovers its runs.
constexpr milliseconds BusyListInterval{400};
constexpr milliseconds IdleListInterval{1'500}; // finds lost hosts well before run leases expire
// An unanswered order may still be carried out this late; no other order is sent meanwhile.
constexpr milliseconds LateOrderPeriod{12'000};

} // namespace

/// An order that may be sent several times.
struct HostDuty::UpkeepOrder
{
    UpkeepStart start;
    BootTime firstSentAt;
    bool isRepeat = false;
};

HostDuty::HostDuty(RuntimeContext &context, StewardDuty &steward)
    : m_context(context)
    , m_steward(steward)
    , m_upkeep(context.settings.hostUpkeepDuration)
    , m_sizer(context.settings.isFirstStart ? context.startedAt + PoolSizer::UnknownDemandHold
                                            : BootTime())
    , m_startedAt(BootClock::now())
{
    m_timer.setInterval(StepInterval);
    connect(&m_timer, &QTimer::timeout, this, [this] { step(); });
}

auto HostDuty::start() -> void
{
    declarationsChanged();
    m_timer.start();
    readList();
}

auto HostDuty::declarationsChanged() -> void
{
    auto declaredWaves = std::set<std::uint64_t>();
    auto newWaves = std::vector<const UpkeepWave *>();
    for (const auto &[key, wave] : m_context.fleet.wavesByKey) {
        declaredWaves.insert(wave.number);
        if (!m_waves.contains(wave.number))
            newWaves.push_back(&wave);
    }
    auto withdrawnWaves = std::vector<std::uint64_t>();
    std::ranges::set_difference(m_waves, declaredWaves, std::back_inserter(withdrawnWaves));
    m_waves = std::move(declaredWaves);
    for (const auto *it : newWaves)
        loadWave(*it);
    for (const auto number : withdrawnWaves)
        withdrawWave(number);
}

/// Lets the hosts serve again that were drained for the wave.
auto HostDuty::withdrawWave(std::uint64_t number) -> void
{
    const auto hosts = m_upkeep.waveWithdrawn(number);
    m_context.log.info("event=wave-withdrawn wave={} released={} in-doubt={}", number,
                       hosts.idle.size(), hosts.inDoubt.size());
    for (const auto &it : hosts.idle)
        setDraining(it, false);
    for (const auto &it : hosts.inDoubt)
        m_unansweredOrders[it] = BootClock::now() + LateOrderPeriod;
}

/// Reads which hosts of the wave earlier stewards have started, and passes the wave to the planner.
auto HostDuty::loadWave(const UpkeepWave &wave) -> void
{
    m_context.store.read(
        store_keys::upkeep(wave.number), [self = QPointer(this), wave](auto reply) {
            if (!self || !self->m_waves.contains(wave.number))
                return;
            if (!reply) {
                QTimer::singleShot(BusyListInterval, self, [self, wave] { self->loadWave(wave); });
                return;
            }
            auto startedHosts = std::set<HostName>();
            if (!reply->records.empty()) {
                const auto &record = reply->records.front();
                if (auto hosts = unpackRecord<std::set<HostName>>(record.value)) {
                    startedHosts = std::move(*hosts);
                } else {
                    // No host counts as started: the platform answers a repeated start as done.
                    self->m_context.log.warning(
                        "event=record-unreadable key={} error=\"expected a set of host names\"",
                        record.key);
                }
            }
            self->m_context.log.info("event=wave-declared wave={} hosts={} begun={} at-once={}",
                                     wave.number, wave.hosts.size(), startedHosts.size(),
                                     wave.maxConcurrent);
            self->m_upkeep.waveDeclared(wave, startedHosts);
            self->writeStatus(wave.number, false);
        });
}

auto HostDuty::step() -> void
{
    const auto now = BootClock::now();
    endUnansweredOrders(now);
    if (!m_isListing && now >= m_nextListAt)
        readList();
    if (m_listedAt != BootTime())
        plan();
}

/// Lets hosts serve again whose orders can't be carried out any more.
auto HostDuty::endUnansweredOrders(BootTime now) -> void
{
    for (auto it = m_unansweredOrders.begin(); it != m_unansweredOrders.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        if (!m_upkeep.isClaimed(it->first))
            setDraining(it->first, false);
        it = m_unansweredOrders.erase(it);
    }
}

/// Returns the hosts with an order whose outcome isn't known: a late one must not meet another.
auto HostDuty::hostsUnderOrder() const -> std::set<HostName>
{
    auto hosts = m_pendingOrders;
    for (const auto &[host, until] : m_unansweredOrders)
        hosts.insert(host);
    return hosts;
}

auto HostDuty::readList() -> void
{
    m_isListing = true;
    const auto sentAt = BootClock::now();
    m_context.hosts.list([self = QPointer(this), sentAt](auto hosts) {
        if (!self)
            return;
        self->m_isListing = false;
        if (hosts)
            self->applyHostList(std::move(*hosts), sentAt);
        const auto *steward = self->m_steward.steward();
        const auto isMoving = std::ranges::any_of(self->m_hosts, [](const auto &it) {
            return it.state == HostState::Moving || it.state == HostState::InUpkeep;
        });
        const auto isRecovering = steward != nullptr && steward->isRecovering();
        const auto isBusy =
            isMoving || self->m_upkeep.hasWork() || isRecovering || self->m_hasUnconfirmedEnds;
        self->m_nextListAt = BootClock::now() + (isBusy ? BusyListInterval : IdleListInterval);
    });
}

auto HostDuty::applyHostList(std::vector<HostReport> hosts, BootTime sentAt) -> void
{
    m_hosts = std::move(hosts);
    m_listedAt = sentAt;
    reportEndedWorkers(sentAt);
    if (auto *steward = m_steward.steward()) {
        auto expected = std::set<WorkerName>();
        auto capacities = std::vector<Resources>();
        for (const auto &it : m_hosts) {
            const auto isKnown = it.capacity == Resources()
                || std::ranges::find(capacities, it.capacity) != capacities.end();
            if (!isKnown)
                capacities.push_back(it.capacity);
            if (it.state == HostState::Up && !it.worker.isEmpty())
                expected.insert(it.worker);
        }
        const auto wasRecovering = steward->isRecovering();
        const auto count = expected.size();
        steward->expectWorkers(std::move(expected), std::move(capacities), sentAt);
        if (wasRecovering) {
            m_context.log.info("event=hosts-listed hosts={} workers={} recovering={}",
                               m_hosts.size(), count, steward->isRecovering());
        }
    }
}

/// Reports the workers as ended that the last list shows as gone, with each list until the steward
/// takes it: the list may be older than the present incarnation of a worker.
auto HostDuty::reportEndedWorkers(BootTime listSentAt) -> void
{
    m_hasUnconfirmedEnds = false;
    for (const auto &it : m_listedWorkers.step(m_hosts)) {
        const auto *before = m_steward.steward();
        if (before == nullptr)
            return;
        if (!before->workerLoad(it.worker)) {
            m_listedWorkers.forget(it.worker);
            continue;
        }
        const auto &host = it.host.host;
        const auto isUnderOrder =
            m_pendingOrders.contains(host) || m_unansweredOrders.contains(host);
        m_steward.dispatch(
            steward_event::WorkerEnded{it.worker, isUnderOrder || it.isMaintained, listSentAt});
        const auto *after = m_steward.steward();
        const auto isConfirmed = after != nullptr && !after->workerLoad(it.worker);
        if (isConfirmed) {
            m_context.log.info("event=worker-ended worker={} host={} state={}", it.worker.value(),
                               host.value(), static_cast<int>(it.host.state));
            m_listedWorkers.forget(it.worker);
        } else {
            m_context.log.info("event=worker-end-unconfirmed worker={} host={}", it.worker.value(),
                               host.value());
            m_hasUnconfirmedEnds = true;
        }
    }
}

auto HostDuty::viewOfHost(const HostReport &report) const -> HostView
{
    auto isStandby = false;
    if (const auto &declaration = m_context.fleet.declarationCache.current()) {
        const auto rule = declaration->rules.pools.find(report.pool);
        isStandby = rule != declaration->rules.pools.end() && rule->second.isStandby;
    }
    return viewOf(report, m_steward.steward()->workerLoad(report.worker), isStandby);
}

auto HostDuty::views() const -> std::vector<HostView>
{
    auto views = std::vector<HostView>();
    for (const auto &it : m_hosts)
        views.push_back(viewOfHost(it));
    return views;
}

/// Whether the host is idle at this moment. Checked right before each order, as draining one host
/// may have moved its tasks to this one.
auto HostDuty::isIdleNow(const HostName &host) const -> bool
{
    const auto it = std::ranges::find(m_hosts, host, &HostReport::host);
    return it != m_hosts.end() && m_steward.steward() != nullptr && viewOfHost(*it).isIdle();
}

auto HostDuty::mayOrder(BootTime now) const -> bool
{
    const auto hasWaited = m_context.settings.isFirstStart
        || now >= m_startedAt + m_context.settings.hostLeaseDuration;
    return hasWaited && m_steward.stewardship().mayOrder(now);
}

auto HostDuty::plan() -> void
{
    const auto *steward = m_steward.steward();
    if (steward == nullptr || !mayOrder(BootClock::now()))
        return;
    if (m_upkeep.hasWork())
        planUpkeep(views());
    if (m_steward.steward() != nullptr)
        planMoves(views());
}

auto HostDuty::planUpkeep(const std::vector<HostView> &hosts) -> void
{
    const auto orders = m_upkeep.step(hosts, hostsUnderOrder(), m_listedAt, BootClock::now());
    for (const auto &host : orders.drain)
        setDraining(host, true);
    for (const auto &start : orders.start) {
        if (!m_pendingOrders.contains(start.host) && isIdleNow(start.host))
            startUpkeep({start, BootClock::now()});
    }
    for (const auto wave : orders.completed) {
        m_context.log.info("event=wave-completed wave={}", wave);
        writeStatus(wave, true);
    }
}

auto HostDuty::planMoves(const std::vector<HostView> &hosts) -> void
{
    const auto &declaration = m_context.fleet.declarationCache.current();
    const auto loads = m_steward.steward()->poolLoads();
    if (!declaration || !loads)
        return;
    auto blocked = hostsUnderOrder();
    for (const auto &it : hosts) {
        if (m_upkeep.isClaimed(it.report.host))
            blocked.insert(it.report.host);
    }
    const auto moves = m_sizer.step(hosts, *loads, declaration->rules, blocked, BootClock::now());
    if (!moves.empty()) {
        for (const auto &[pool, size] : m_sizer.sizes()) {
            m_context.log.info("event=pool-sized pool={} hosts={} needed={} foreseen={}",
                               pool.value(), size.hosts, size.needed, size.foreseen);
        }
    }
    for (const auto &it : moves) {
        blocked.insert(it.host);
        move(it);
    }
    if (m_steward.steward() != nullptr)
        reclaimHosts(hosts, *loads, blocked);
}

auto HostDuty::reclaimHosts(std::span<const HostView> hosts,
                            const std::map<PoolName, PoolLoad> &loads,
                            const std::set<HostName> &blocked) -> void
{
    const auto &declaration = m_context.fleet.declarationCache.current();
    const auto orders = m_reclaim.step(hosts, loads, declaration->rules, blocked, BootClock::now());
    if (!orders.drain.empty() || !orders.moves.empty()) {
        m_context.log.info("event=hosts-reclaimed drained={} moved={} given-back={}",
                           orders.drain.size(), orders.moves.size(), orders.release.size());
    }
    for (const auto &it : orders.drain)
        setDraining(it, true);
    for (const auto &it : orders.release)
        setDraining(it, false);
    for (const auto &it : orders.moves)
        move(it);
}

auto HostDuty::arrivingCapacity() const -> std::map<PoolName, Resources>
{
    auto capacity = std::map<PoolName, Resources>();
    for (const auto &it : m_hosts) {
        if (it.state == HostState::Moving)
            capacity[it.pool] += it.capacity;
    }
    return capacity;
}

auto HostDuty::setDraining(const HostName &host, bool isDraining) -> void
{
    const auto it = std::ranges::find(m_hosts, host, &HostReport::host);
    if (it != m_hosts.end() && !it->worker.isEmpty())
        m_steward.dispatch(steward_event::WorkerDrainChanged{it->worker, isDraining});
}

auto HostDuty::startUpkeep(const UpkeepOrder &order) -> void
{
    const auto &start = order.start;
    const auto token = m_steward.stewardship().token();
    if (!token || !m_waves.contains(start.wave))
        return;
    // Hosts for which no order is sent are planned again.
    const auto now = BootClock::now();
    if (!m_steward.stewardship().mayOrder(now) || !m_pacer.takeOrder(now)) {
        if (order.isRepeat)
            repeatUpkeep(order);
        return;
    }
    m_upkeep.startSent(start);
    m_pendingOrders.insert(start.host);
    m_context.log.info("event=upkeep-ordered host={} wave={}", start.host.value(), start.wave);
    m_context.hosts.startUpkeep(start, *token, [self = QPointer(this), order](HostOutcome outcome) {
        if (self)
            self->upkeepAnswered(order, outcome);
    });
}

auto HostDuty::upkeepAnswered(const UpkeepOrder &order, HostOutcome outcome) -> void
{
    const auto &start = order.start;
    m_pendingOrders.erase(start.host);
    orderAnswered(outcome);
    if (outcome == HostOutcome::Accepted) {
        m_upkeep.startAccepted(start, BootClock::now());
        if (!start.worker.isEmpty())
            m_steward.dispatch(steward_event::WorkerEnded{start.worker, true, order.firstSentAt});
        writeStatus(start.wave, false);
        m_nextListAt = {};
        return;
    }
    m_context.log.info("event=upkeep-not-accepted host={} wave={} outcome={}", start.host.value(),
                       start.wave, static_cast<int>(outcome));
    if (outcome == HostOutcome::Superseded) {
        m_steward.superseded(start.host.value());
    } else if (outcome == HostOutcome::Unanswered || order.isRepeat) {
        repeatUpkeep(order);
    } else {
        m_upkeep.startRefused(start);
    }
}

auto HostDuty::orderAnswered(HostOutcome outcome) -> void
{
    const auto isTaken = outcome == HostOutcome::Accepted || outcome == HostOutcome::Busy;
    m_pacer.orderAnswered(isTaken, BootClock::now());
}

/// Repeats an order without an answer until it is accepted: one that was carried out is accepted
/// again, and the refusal of a repetition doesn't tell what became of the first order.
auto HostDuty::repeatUpkeep(const UpkeepOrder &order) -> void
{
    auto repeat = order;
    repeat.isRepeat = true;
    QTimer::singleShot(BusyListInterval, this, [this, repeat] { startUpkeep(repeat); });
}

auto HostDuty::move(const HostMove &move) -> void
{
    const auto token = m_steward.stewardship().token();
    if (!token || m_pendingOrders.contains(move.host) || !m_pacer.takeOrder(BootClock::now()))
        return;
    m_pendingOrders.insert(move.host);
    const auto it = std::ranges::find(m_hosts, move.host, &HostReport::host);
    const auto worker = it == m_hosts.end() ? WorkerName() : it->worker;
    setDraining(move.host, true);
    if (!isIdleNow(move.host)) {
        setDraining(move.host, false);
        m_pendingOrders.erase(move.host);
        return;
    }
    m_context.log.info("event=move-ordered host={} to={}", move.host.value(), move.to.value());
    const auto sentAt = BootClock::now();
    const auto answered = [self = QPointer(this), move, worker, sentAt](HostOutcome outcome) {
        if (!self)
            return;
        self->m_pendingOrders.erase(move.host);
        self->orderAnswered(outcome);
        const auto now = BootClock::now();
        if (outcome == HostOutcome::Accepted) {
            if (!worker.isEmpty())
                self->m_steward.dispatch(steward_event::WorkerEnded{worker, true, sentAt});
            const auto entry = std::ranges::find(self->m_hosts, move.host, &HostReport::host);
            if (entry != self->m_hosts.end()) {
                entry->state = HostState::Moving;
                entry->pool = move.to;
                entry->worker = {};
            }
            return;
        }
        self->m_context.log.info("event=move-not-accepted host={} outcome={}", move.host.value(),
                                 static_cast<int>(outcome));
        if (outcome == HostOutcome::Superseded) {
            self->m_steward.superseded(move.host.value());
            return;
        }
        if (outcome == HostOutcome::Unanswered) {
            self->m_unansweredOrders[move.host] = now + LateOrderPeriod;
        } else if (!worker.isEmpty()) {
            self->m_steward.dispatch(steward_event::WorkerDrainChanged{worker, false});
        }
    };
    m_context.hosts.move(move, *token, answered);
}

auto HostDuty::writeStatus(std::uint64_t wave, bool isCompleted) -> void
{
    if (!m_steward.stewardship().token() || !m_waves.contains(wave))
        return;
    auto commit = m_steward.fencedCommit();
    commit.puts.push_back(m_context.recordCodec.waveStatus(wave, isCompleted));
    commit.puts.push_back({store_keys::upkeep(wave), packRecord(m_upkeep.startedHosts(wave)), 0});
    m_context.store.commit(commit, [self = QPointer(this), wave, isCompleted](auto reply) {
        if (!self || reply)
            return;
        self->m_context.log.warning("event=wave-status-not-kept wave={} error=\"{}\"", wave,
                                    reply.error().message());
        if (reply.error().kind == StoreFailure::Kind::Conflict)
            return; // another member is the steward now and writes the status
        QTimer::singleShot(BusyListInterval, self,
                           [self, wave, isCompleted] { self->writeStatus(wave, isCompleted); });
    });
}

} // namespace shallotproxy
