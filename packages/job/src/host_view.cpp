#include "shallotproxy/job/host_view.hpp"

namespace shallotproxy {

auto viewOf(const HostReport &report, const std::optional<WorkerLoad> &load, bool isStandby)
    -> HostView
{
    auto view = HostView{report};
    // On standby nothing runs, and there is no worker to ask.
    view.isKnown = isStandby;
    if (!load)
        return view;
    view.lastingRuns = load->lastingRuns;
    view.otherRuns = load->otherRuns;
    view.hasUnkeptEnds = load->hasUnkeptEnds;
    view.isVacated = load->isVacated;
    // A worker that hasn't been asked may run what an earlier steward began.
    view.isKnown = load->isAsked && (load->isUsable || load->isVacated);
    return view;
}

} // namespace shallotproxy
