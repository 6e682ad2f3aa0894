/// \file
/// \brief The router of `dandelion-router` as a library.
///
/// \code
/// boost::asio::io_context loop;
/// dandelionscale::Router router(loop.get_executor(), options);
/// boost::asio::co_spawn(loop, router.Start(), boost::asio::detached);
/// loop.run();
/// \endcode
#ifndef DANDELIONSCALE_ROUTER_H_
#define DANDELIONSCALE_ROUTER_H_

#include "dandelionscale/router/router.h"  // IWYU pragma: export

#endif  // DANDELIONSCALE_ROUTER_H_
