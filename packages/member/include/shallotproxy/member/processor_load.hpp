#pragma once

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Measures how much of its processor time this process uses.
class ProcessorLoad
{
public:
    /// `processorShare` is the part of a core that the process may use.
    explicit ProcessorLoad(double processorShare);

    /// Returns the part of that share that was used since the previous call; above 1 if the process
    /// was allowed more for a short time.
    auto measure(BootTime now) -> double;

private:
    double m_processorShare;
    BootTime m_measuredAt;
    Duration m_used;
};

} // namespace shallotproxy
