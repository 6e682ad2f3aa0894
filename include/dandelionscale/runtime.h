/// \file
/// \brief Runtime module: clock, service registry, settings, logs, traces and
///        metrics.
///
/// Daemon infrastructure without any dependency on routing. Include this header
/// to use the module.
#ifndef DANDELIONSCALE_RUNTIME_H_
#define DANDELIONSCALE_RUNTIME_H_

#include "dandelionscale/runtime/event.h"             // IWYU pragma: export
#include "dandelionscale/runtime/fault.h"             // IWYU pragma: export
#include "dandelionscale/runtime/logger.h"            // IWYU pragma: export
#include "dandelionscale/runtime/metrics.h"           // IWYU pragma: export
#include "dandelionscale/runtime/runtime_clock.h"     // IWYU pragma: export
#include "dandelionscale/runtime/service_registry.h"  // IWYU pragma: export
#include "dandelionscale/runtime/settings.h"          // IWYU pragma: export
#include "dandelionscale/runtime/trace.h"             // IWYU pragma: export

#endif  // DANDELIONSCALE_RUNTIME_H_
