#pragma once

/// Public header of the request package: admission, claims, dispatch and retries of requests, and
/// the scheduling of tasks.

#include "request/admission/admission.hpp"
#include "request/admission/key_index.hpp"
#include "request/admission/refusal.hpp"
#include "request/claim/claim_table.hpp"
#include "request/dispatch/dispatcher.hpp"
#include "request/retry/retry_budget.hpp"
#include "request/retry/retry_timing.hpp"
#include "request/task/overuse.hpp"
#include "request/task/placement.hpp"
#include "request/task/size_estimator.hpp"
#include "request/task/steward.hpp"
#include "request/task/task_error.hpp"
#include "request/task/task_json.hpp"
#include "request/task/task_record.hpp"
#include "request/task/task_scheduler.hpp"
#include "request/task/worker_run.hpp"
