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
    view.isDraining = load->isDraining;
    // A worker that hasn't been asked may run what an earlier steward began.
    view.isKnown = load->isAsked && (load->isUsable || load->isDraining);
    return view;
}

} // namespace shallotproxy
