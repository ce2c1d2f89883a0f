#include "control_duty.hpp"

#include <chrono>

#include "duty_thread.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto TickInterval = 100ms;
constexpr unsigned NotFound = 404;

} // namespace

ControlDuty::ControlDuty(ProcessContext &process, Links &links)
    : m_links(links)
    , m_context(process, links)
    , m_configuration(m_context)
    , m_limits(m_context)
    , m_shares(m_context, m_limits)
    , m_usage(m_context)
    , m_intents(m_context, m_configuration)
    , m_status(m_context, m_configuration)
    , m_claims(m_context)
    , m_tasks(m_context)
    , m_maintenance(m_context, m_configuration)
{
    attachConsumer(links.frontToControl, this, [this] { drainFront(); });
    attachConsumer(links.operatorsToControl, this, [this] { drainOperators(); });
    attachConsumer(links.storeToControl, this, [this] { drainStore(); });
    attachConsumer(links.peersToControl, this, [this] { drainPeers(); });
    attachConsumer(links.platformToControl, this, [this] { drainPlatform(); });
}

template <typename Function>
auto ControlDuty::forEachModule(Function &&function) -> void
{
    function(m_configuration);
    function(m_limits);
    function(m_shares);
    function(m_usage);
    function(m_intents);
    function(m_status);
    function(m_claims);
    function(m_tasks);
    function(m_maintenance);
}

auto ControlDuty::start() -> void
{
    m_timer = std::make_unique<QTimer>();
    connect(m_timer.get(), &QTimer::timeout, this, [this] { tick(); });
    m_timer->start(TickInterval);
    tick();
}

auto ControlDuty::stop() -> void
{
    m_timer.reset();
}

auto ControlDuty::drain() -> void
{
    forEachModule([](auto &module) {
        if constexpr (requires { module.drain(); })
            module.drain();
    });
}

auto ControlDuty::tick() -> void
{
    const auto now = BootClock::now();
    forEachModule([now](auto &module) {
        if constexpr (requires { module.tick(now); })
            module.tick(now);
    });
    notifyChanges();
}

// After a pause of the process, expired units are withdrawn from the front duty before any message
// that queued up meanwhile can report to it that its configuration is fresh.
auto ControlDuty::withdrawExpiredUnits() -> void
{
    m_limits.tick(BootClock::now());
}

auto ControlDuty::drainFront() -> void
{
    withdrawExpiredUnits();
    m_links.frontToControl.drain([this](FrontReport report) {
        if (const auto *call = std::get_if<ControlCall>(&report))
            handleCall(*call);
        if (auto *load = std::get_if<LoadReport>(&report))
            handleLoads(std::move(*load));
        if (const auto *requested = std::get_if<ClaimRequested>(&report))
            m_claims.handle(*requested);
        if (const auto *ended = std::get_if<ClaimedRequestEnded>(&report))
            m_claims.handle(*ended);
    });
}

auto ControlDuty::drainOperators() -> void
{
    m_links.operatorsToControl.drain([this](const ControlCall &call) { handleCall(call); });
}

auto ControlDuty::handleLoads(LoadReport report) -> void
{
    m_context.loads = std::move(report.loads);
    m_context.servedVersion = report.version;
    m_context.busyHosts = std::move(report.busyHosts);
    m_context.unitsGeneration = report.unitsGeneration;
    m_context.usage = std::move(report.usage);
    m_limits.loadsChanged(BootClock::now());
}

auto ControlDuty::drainStore() -> void
{
    withdrawExpiredUnits();
    m_links.storeToControl.drain(
        [this](StoreResult result) { m_context.handle(std::move(result)); });
    notifyChanges();
}

auto ControlDuty::drainPlatform() -> void
{
    m_links.platformToControl.drain(
        [this](PlatformResult result) { m_context.handle(std::move(result)); });
}

auto ControlDuty::drainPeers() -> void
{
    withdrawExpiredUnits();
    const auto now = BootClock::now();
    m_links.peersToControl.drain([this, now](const PeerEnvelope &envelope) {
        m_context.setCause(envelope);
        forEachModule([&envelope, now](auto &module) {
            if constexpr (requires { module.receive(envelope, now); })
                module.receive(envelope, now);
        });
        m_context.clearCause();
    });
    notifyChanges();
}

auto ControlDuty::handleCall(const ControlCall &call) -> void
{
    auto isHandled = false;
    forEachModule([&call, &isHandled](auto &module) {
        if constexpr (requires { module.handle(call); })
            isHandled = isHandled || module.handle(call);
    });
    if (!isHandled)
        m_context.reply(call, jsonResponse(NotFound, R"({"error":610,"name":"unknown-path"})"));
}

auto ControlDuty::notifyChanges() -> void
{
    if (m_notifiedMembers != m_context.members) {
        m_notifiedMembers = m_context.members;
        m_context.setRoster();
        forEachModule([](auto &module) {
            if constexpr (requires { module.membersChanged(); })
                module.membersChanged();
        });
    }
    if (m_notifiedConfiguration != m_context.configuration) {
        m_notifiedConfiguration = m_context.configuration;
        m_context.record("configuration.hold", "control");
        m_context.updateFront(ConfigurationChanged{m_context.configuration});
        forEachModule([](auto &module) {
            if constexpr (requires { module.configurationChanged(); })
                module.configurationChanged();
        });
    }
}

} // namespace shallotproxy
