#pragma once

// Public header of the job library: scheduling of jobs, whose state outlives requests and members.

#include "job/host_order_pacer.hpp"
#include "job/host_reclaim.hpp"
#include "job/host_view.hpp"
#include "job/job_progress.hpp"
#include "job/job_spec.hpp"
#include "job/latency_guard.hpp"
#include "job/listed_workers.hpp"
#include "job/pool_sizer.hpp"
#include "job/progress_writer.hpp"
#include "job/steward.hpp"
#include "job/stewardship.hpp"
#include "job/team_limit.hpp"
#include "job/upkeep_planner.hpp"
#include "job/waiting_order.hpp"
#include "job/worker_contact.hpp"
