/// \file
/// \brief Transport module: HTTP/1.1 and server-sent events (SSE) for clients
///        and targets, HTTP/2 between routers.
#ifndef DANDELIONSCALE_TRANSPORT_H_
#define DANDELIONSCALE_TRANSPORT_H_

#include "dandelionscale/transport/address.h"          // IWYU pragma: export
#include "dandelionscale/transport/byte_counters.h"    // IWYU pragma: export
#include "dandelionscale/transport/http_client.h"      // IWYU pragma: export
#include "dandelionscale/transport/http_server.h"      // IWYU pragma: export
#include "dandelionscale/transport/http_status.h"      // IWYU pragma: export
#include "dandelionscale/transport/http_types.h"       // IWYU pragma: export
#include "dandelionscale/transport/peer_connection.h"  // IWYU pragma: export
#include "dandelionscale/transport/sse.h"              // IWYU pragma: export

#endif  // DANDELIONSCALE_TRANSPORT_H_
