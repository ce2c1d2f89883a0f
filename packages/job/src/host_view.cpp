#include "shallotproxy/job/host_view.hpp"

namespace shallotproxy {

auto viewOf(const HostReport &report, const std::optional<WorkerLoad> &load, bool isStandby)
    -> HostView
{
    auto view = HostView{report};
    // A standby host has no worker and runs nothing.
    view.isLoadKnown = isStandby;
    if (!load)
        return view;
    view.longRunningRuns = load->longRunningRuns;
    view.otherRuns = load->otherRuns;
    view.hasUnpersistedEnds = load->hasUnpersistedEnds;
    view.isDraining = load->isDraining;
    // A worker that hasn't been polled may have runs that an earlier steward started.
    view.isLoadKnown = load->isPolled && (load->isUsable || load->isDraining);
    return view;
}

} // namespace shallotproxy
