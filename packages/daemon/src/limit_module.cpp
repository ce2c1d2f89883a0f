#include "limit_module.hpp"

#include <algorithm>
#include <chrono>

#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

constexpr auto LimitLog = Log("limits");
constexpr std::string_view LedgerKey = "limits/ledger";

template <typename... Types>
auto isAnyOf(const PeerMessage &message) -> bool
{
    return (std::holds_alternative<Types>(message) || ...);
}

} // namespace

LimitModule::LimitModule(ControlContext &context)
    : m_context(context)
    , m_memberUnits(context.process.self)
{ }

auto LimitModule::tick(BootTime now) -> void
{
    step(LimitTick(), now);
}

auto LimitModule::receive(const PeerEnvelope &envelope, BootTime now) -> void
{
    if (isAnyOf<UnitRequest, UnitTransfer, UnitTransferAck, UnitAttestRequest, UnitAttestation>(
            envelope.message)) {
        step(UnitMessage{envelope.from.member, envelope.message}, now);
    }
}

auto LimitModule::loadsChanged(BootTime now) -> void
{
    if (!m_context.configuration)
        return;
    auto event = UnitLoads{m_context.unitsGeneration, {}};
    for (const auto &it : m_context.loads) {
        const auto team = m_context.configuration->teams.find(it.team);
        const auto limit = team == m_context.configuration->teams.end() ? 0 : team->second.limit;
        auto &load = event.teams[it.team];
        load.running += it.running;
        load.wanted = std::min(limit, load.wanted + it.running + it.queued);
    }
    event.teams.erase(TeamName());
    step(event, now);
}

auto LimitModule::configurationChanged() -> void
{
    if (!m_context.configuration)
        return;
    auto event = LimitsDeclared();
    event.version = m_context.version();
    for (const auto &[name, team] : m_context.configuration->teams)
        event.limits[name] = team.limit;
    for (const auto &[name, queue] : m_context.configuration->queues) {
        const auto deadline = std::chrono::milliseconds(queue.deadlineMilliseconds);
        event.maxRunTime = std::max(event.maxRunTime, Duration(deadline));
    }
    step(event, BootClock::now());
}

auto LimitModule::membersChanged() -> void
{
    auto event = MembersListed();
    for (const auto &[name, member] : m_context.members)
        event.processes.insert(member.incarnation);
    step(event, BootClock::now());
}

auto LimitModule::drain() -> void
{
    step(LeaveStarted(), BootClock::now());
}

auto LimitModule::units(const TeamName &team) const -> std::uint32_t
{
    const auto it = m_usableUnits.find(team);
    return it == m_usableUnits.end() ? 0 : it->second;
}

auto LimitModule::step(const LimitEvent &event, BootTime now) -> void
{
    for (const auto &action : m_memberUnits.step(event, now))
        std::visit([this](const auto &it) { perform(it); }, action);
}

auto LimitModule::perform(const ReadLedger & /*action*/) -> void
{
    const auto started = BootClock::now();
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(LedgerKey), false});
    m_context.store(std::move(transaction), [this, started](const StoreReply &reply) {
        if (!reply || reply->reads.size() != 1)
            return;
        auto event = LedgerRead{{}, 0, started};
        if (!reply->reads[0].empty()) {
            const auto &record = reply->reads[0].front();
            auto ledger = unpackRecord<UnitLedger>(record.value);
            if (!ledger) {
                LimitLog.error("record limits/ledger (ledger of units) can't be decoded");
                return;
            }
            event.ledger = std::move(*ledger);
            event.revision = record.revision;
        }
        step(event, BootClock::now());
    });
}

auto LimitModule::perform(const WriteLedger &action) -> void
{
    const auto key = m_context.key(LedgerKey);
    auto transaction = StoreTransaction();
    transaction.compares.push_back({key, action.expected});
    transaction.onSuccess.emplace_back(StorePut{key, packRecord(action.ledger), 0});
    m_context.store(std::move(transaction), [this](const StoreReply &reply) {
        step(LedgerWritten{reply && reply->hasSucceeded}, BootClock::now());
    });
}

auto LimitModule::perform(const SetUnits &action) -> void
{
    m_usableUnits = action.units;
    m_context.updateFront(UnitsUpdate{action.generation, {action.units}});
}

auto LimitModule::perform(const SendUnitMessage &action) -> void
{
    m_context.send(action.to, action.message);
}

} // namespace shallotproxy
