// Headers that most sources include and that are slow to parse.
#ifndef DANDELIONSCALE_SRC_PRECOMPILED_H_
#define DANDELIONSCALE_SRC_PRECOMPILED_H_

#include <fmt/format.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <boost/system/result.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#endif  // DANDELIONSCALE_SRC_PRECOMPILED_H_
