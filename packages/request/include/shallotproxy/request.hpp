#pragma once

/// Public header of the request package: what lives as long as one request.

#include "request/admission/admission.hpp"
#include "request/admission/key_index.hpp"
#include "request/admission/refusal.hpp"
#include "request/claim/claim_table.hpp"
#include "request/dispatch/dispatcher.hpp"
#include "request/retry/retry_budget.hpp"
#include "request/retry/retry_timing.hpp"
