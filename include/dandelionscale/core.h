/// \file
/// \brief All routing policy, without I/O.
///
/// Every class in these headers is a state machine that receives the time and
/// typed events as arguments; it opens no socket, starts no thread and reads no
/// clock. Tests can run hundreds of instances in one process under a paused
/// clock.
#ifndef DANDELIONSCALE_CORE_H_
#define DANDELIONSCALE_CORE_H_

#include "dandelionscale/core/claim.h"                 // IWYU pragma: export
#include "dandelionscale/core/configuration.h"         // IWYU pragma: export
#include "dandelionscale/core/digest_tree.h"           // IWYU pragma: export
#include "dandelionscale/core/drain_tracker.h"         // IWYU pragma: export
#include "dandelionscale/core/fleet_view.h"            // IWYU pragma: export
#include "dandelionscale/core/hash.h"                  // IWYU pragma: export
#include "dandelionscale/core/lease.h"                 // IWYU pragma: export
#include "dandelionscale/core/load/baseline_policy.h"  // IWYU pragma: export
#include "dandelionscale/core/load/engine_pause.h"     // IWYU pragma: export
#include "dandelionscale/core/load/fair_queue.h"       // IWYU pragma: export
#include "dandelionscale/core/load/load_bound.h"       // IWYU pragma: export
#include "dandelionscale/core/memory_budget.h"         // IWYU pragma: export
#include "dandelionscale/core/owner_core.h"            // IWYU pragma: export
#include "dandelionscale/core/reasons.h"               // IWYU pragma: export
#include "dandelionscale/core/request_plan.h"          // IWYU pragma: export
#include "dandelionscale/core/retry_budget.h"          // IWYU pragma: export
#include "dandelionscale/core/session_memory.h"        // IWYU pragma: export
#include "dandelionscale/core/start_up_check.h"        // IWYU pragma: export
#include "dandelionscale/core/store_version.h"         // IWYU pragma: export

#endif  // DANDELIONSCALE_CORE_H_
