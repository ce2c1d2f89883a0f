#pragma once

/// Public header of the version package: what lives as long as one version of the configuration.

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
