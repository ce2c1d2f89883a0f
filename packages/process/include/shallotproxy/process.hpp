#pragma once

/// Public header of the process package: what lives as long as one shallotproxyd.

#include "process/base/boot_clock.hpp"
#include "process/base/error.hpp"
#include "process/base/names.hpp"
#include "process/base/text.hpp"
#include "process/limit/limit_slices.hpp"
#include "process/limit/unit_ledger.hpp"
#include "process/observe/log.hpp"
#include "process/observe/metrics.hpp"
#include "process/observe/timeline.hpp"
#include "process/peer/frame.hpp"
#include "process/peer/messages.hpp"
#include "process/ring/ring.hpp"
#include "process/share/fair_allocation.hpp"
#include "process/share/pool_shares.hpp"
#include "process/share/share_ledger.hpp"
#include "process/share/usage.hpp"
#include "process/store/etcd_store.hpp"
#include "process/store/store_types.hpp"
