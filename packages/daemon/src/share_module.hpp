#pragma once

#include "control_context.hpp"
#include "limit_module.hpp"

namespace shallotproxy {

/// Sends the front duty its credits: how many slots of each pool each team may keep busy. For the
/// pools of which this member is the steward, it also grants credits to the other members.
class ShareModule
{
public:
    ShareModule(ControlContext &context, const LimitModule &limits);

    auto tick(BootTime now) -> void;
    auto receive(const PeerEnvelope &envelope, BootTime now) -> void;
    auto configurationChanged() -> void;
    auto membersChanged() -> void;

private:
    auto step(const ShareEvent &event, BootTime now) -> void;
    auto perform(SendDemand action) -> void;
    auto perform(SendGrant action) -> void;
    auto perform(SetCredits action) -> void;
    [[nodiscard]] auto loads() const -> ShareLoads;

    ControlContext &m_context;
    const LimitModule &m_limits;
    ShareLedger m_ledger;
};

} // namespace shallotproxy
