#pragma once

/// Public header of the version package: the configuration, its declarations, operators' intents
/// and plans, maintenance, and the settings of a member.

#include "version/configuration/codec.hpp"
#include "version/configuration/configuration.hpp"
#include "version/configuration/keys.hpp"
#include "version/input/declarations.hpp"
#include "version/input/input_error.hpp"
#include "version/intent/intent.hpp"
#include "version/intent/intent_json.hpp"
#include "version/intent/plan.hpp"
#include "version/maintenance/budget.hpp"
#include "version/maintenance/drain_tracker.hpp"
#include "version/maintenance/job.hpp"
#include "version/maintenance/maintenance_driver.hpp"
#include "version/maintenance/waves.hpp"
#include "version/settings/member_settings.hpp"
