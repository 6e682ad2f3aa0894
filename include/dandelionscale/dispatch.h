/// \file
/// \brief Direct dispatch: the router that receives a request sends it to an
/// engine itself instead of forwarding it to another router.
///
/// `DispatchRouter` does the network I/O; the placement, retry and queueing
/// decisions are made by the classes in `dandelionscale/core/`. `ProtocolCodec`
/// and `TableStore` are the interfaces to the message formats and to the shared
/// store of the deployment.
#ifndef DANDELIONSCALE_DISPATCH_H_
#define DANDELIONSCALE_DISPATCH_H_

#include "dandelionscale/dispatch/dispatch_router.h"  // IWYU pragma: export
#include "dandelionscale/dispatch/log_explanation.h"  // IWYU pragma: export
#include "dandelionscale/dispatch/prompt_text.h"      // IWYU pragma: export
#include "dandelionscale/dispatch/protocol_codec.h"   // IWYU pragma: export
#include "dandelionscale/dispatch/table_store.h"      // IWYU pragma: export

#endif  // DANDELIONSCALE_DISPATCH_H_
