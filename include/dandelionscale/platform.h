/// \file
/// \brief Platform module: the table service and the host list.
#ifndef DANDELIONSCALE_PLATFORM_H_
#define DANDELIONSCALE_PLATFORM_H_

#include "dandelionscale/platform/platform_client.h"  // IWYU pragma: export
#include "dandelionscale/platform/table.h"            // IWYU pragma: export

#endif  // DANDELIONSCALE_PLATFORM_H_
