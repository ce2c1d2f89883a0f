#pragma once

// Public header of the demand library: how much work is coming, how long it takes, and how much of
// it can be done in time. Shared by the jobs of the platform and the tasks of the product's own
// interface.

#include "demand/admission_gate.hpp"
#include "demand/admission_outlook.hpp"
#include "demand/resources.hpp"
#include "demand/run_pace.hpp"
#include "demand/run_time_forecast.hpp"
#include "demand/run_times.hpp"
#include "demand/team_entitlement.hpp"
#include "demand/turn_forecast.hpp"
