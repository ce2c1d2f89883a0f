#include "share_module.hpp"

#include <algorithm>

namespace shallotproxy {

namespace {

/// Requests reported as demand beyond the team's free units, so that credits arrive together with
/// new units.
constexpr std::uint32_t UnitHeadroom = 2;

} // namespace

ShareModule::ShareModule(ControlContext &context, const LimitModule &limits)
    : m_context(context)
    , m_limits(limits)
    , m_ledger(context.process.self)
{ }

auto ShareModule::tick(BootTime now) -> void
{
    step(loads(), now);
    step(ShareRound(), now);
}

auto ShareModule::receive(const PeerEnvelope &envelope, BootTime now) -> void
{
    step(PeerMessageReceived{envelope.from}, now);
    if (const auto *report = std::get_if<DemandReport>(&envelope.message))
        step(DemandReported{envelope.from, *report}, now);
    if (const auto *grant = std::get_if<CreditGrant>(&envelope.message))
        step(CreditGranted{envelope.from, *grant}, now);
}

auto ShareModule::configurationChanged() -> void
{
    if (!m_context.configuration)
        return;
    auto declared = PoolsDeclared();
    for (const auto &[name, pool] : m_context.configuration->pools) {
        auto &it = declared.pools[name];
        for (const auto &[teamName, team] : m_context.configuration->teams)
            it.weights[teamName] = team.share;
    }
    for (const auto &[name, host] : m_context.configuration->hosts) {
        if (host.role == HostRole::Target && m_context.configuration->acceptsWork(host))
            declared.pools[host.pool].slots += host.slots;
    }
    step(declared, BootClock::now());
}

auto ShareModule::membersChanged() -> void
{
    auto event = ShareMembers();
    for (const auto &[name, member] : m_context.members)
        event.members.insert(member.incarnation);
    step(event, BootClock::now());
}

auto ShareModule::step(const ShareEvent &event, BootTime now) -> void
{
    for (auto &action : m_ledger.step(event, now))
        std::visit([this](auto &it) { perform(std::move(it)); }, action);
}

auto ShareModule::perform(SendDemand action) -> void
{
    m_context.send(action.to, std::move(action.report));
}

auto ShareModule::perform(SendGrant action) -> void
{
    m_context.send(action.to, std::move(action.grant));
}

auto ShareModule::perform(SetCredits action) -> void
{
    m_context.updateFront(CreditsChanged{std::move(action.pool), std::move(action.slots)});
}

// Requests that a team can't start because it has no free units are not reported as demand: slots
// granted for them would stay idle.
auto ShareModule::loads() const -> ShareLoads
{
    auto running = std::map<TeamName, std::uint32_t>();
    for (const auto &it : m_context.loads)
        running[it.team] += it.running;
    auto event = ShareLoads();
    for (const auto &it : m_context.loads) {
        auto queued = it.queued;
        if (!it.team.isEmpty()) {
            const auto units = m_limits.units(it.team);
            const auto freeUnits = units - std::min(units, running[it.team]);
            queued = std::min(queued, freeUnits + UnitHeadroom);
        }
        event.pools[it.pool].push_back({it.team, queued, it.running});
    }
    return event;
}

} // namespace shallotproxy
