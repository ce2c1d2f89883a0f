#pragma once

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// How long the runs of a task are expected to take.
struct RunTimeForecast
{
    Duration expected{};
    /// Exceeded by one run in ten.
    Duration upper{};
};

} // namespace shallotproxy
