/// \file
/// \brief Direct dispatch: the router that took a request sends it to an
/// engine.
///
/// `DispatchRouter` carries out what the decision core (`core.h`) decides. What
/// its surroundings call things is behind `Dialect` and `TableStore`.
#ifndef DANDELIONSCALE_DISPATCH_H_
#define DANDELIONSCALE_DISPATCH_H_

#include "dandelionscale/dispatch/dialect.h"          // IWYU pragma: export
#include "dandelionscale/dispatch/dispatch_router.h"  // IWYU pragma: export
#include "dandelionscale/dispatch/log_explanation.h"  // IWYU pragma: export
#include "dandelionscale/dispatch/table_store.h"      // IWYU pragma: export

#endif  // DANDELIONSCALE_DISPATCH_H_
