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

/// How far finished runs teach how long others take.
struct RunTimeLearning
{
    /// Otherwise runs are expected to take as long as stated.
    bool isOn = true;
    /// What was learned differs from a stated run time by no more than this factor; at least 1.
    double maxRatio = 64;
};

} // namespace shallotproxy
