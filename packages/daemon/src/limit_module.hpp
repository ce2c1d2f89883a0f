#pragma once

#include "control_context.hpp"

namespace shallotproxy {

/// Manages this member's units of the teams' limits and sends the front duty those it may use.
class LimitModule
{
public:
    explicit LimitModule(ControlContext &context);

    auto tick(BootTime now) -> void;
    auto receive(const PeerEnvelope &envelope, BootTime now) -> void;
    auto loadsChanged(BootTime now) -> void;
    auto configurationChanged() -> void;
    auto membersChanged() -> void;
    auto drain() -> void;

    /// Returns how many units of a team the front duty may use.
    [[nodiscard]] auto units(const TeamName &team) const -> std::uint32_t;

private:
    auto step(const LimitEvent &event, BootTime now) -> void;
    auto perform(const ReadLedger &action) -> void;
    auto perform(const WriteLedger &action) -> void;
    auto perform(const SetUnits &action) -> void;
    auto perform(const SendUnitMessage &action) -> void;

    ControlContext &m_context;
    MemberUnits m_memberUnits;
    std::map<TeamName, std::uint32_t> m_usableUnits;
};

} // namespace shallotproxy
