#pragma once

/// Public header of the process package: what lives as long as one shallotproxyd.

#include "process/base/boot_clock.hpp"
#include "process/base/error.hpp"
#include "process/base/names.hpp"
#include "process/base/text.hpp"
#include "process/freshness/configuration_head.hpp"
#include "process/freshness/freshness.hpp"
#include "process/freshness/head_change.hpp"
#include "process/observe/log.hpp"
#include "process/observe/metrics.hpp"
#include "process/observe/timeline.hpp"
#include "process/peer/frame.hpp"
#include "process/peer/messages.hpp"
#include "process/peer/peer_session.hpp"
#include "process/ring/ring.hpp"
#include "process/store/etcd_store.hpp"
#include "process/store/store_types.hpp"
