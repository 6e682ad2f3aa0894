/// \file
/// \brief Streams of engines that fall silent for some time, and clients that
///        read many of them at once.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_SILENT_STREAMS_H_
#define DANDELIONSCALE_TESTS_SUPPORT_SILENT_STREAMS_H_

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tests/support/platform_fleet.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::tests {

inline constexpr std::chrono::milliseconds kEventInterval(60);
inline constexpr int kEvents = 30;
/// Budget of retries of a small deployment.
inline constexpr std::string_view kFewRetries =
    "bounds.retry_budget_ratio=0.2\nbounds.budget_extra=56\n";

/// \brief Begins once, for all engines that share it.
struct Silence {
  TimePoint begins_at = TimePoint::max();
  Duration duration = std::chrono::milliseconds(1300);

  /// \returns when an event is made that is due at `at`.
  TimePoint EventTime(TimePoint at) const {
    if (at < this->begins_at) return at;
    return std::max(at, this->begins_at + this->duration);
  }
};

/// \returns a stream that makes no event in the silence.
inline emulator::Script MakeStream(const HttpRequest& request,
                                   const Silence& silence) {
  emulator::Script script = {
      emulator::SendBytes{emulator::MakeStreamHead(request)}};
  TimePoint at = RuntimeClock::now();
  for (int id = FirstEvent(request); id <= kEvents; ++id) {
    const TimePoint next = silence.EventTime(at + kEventInterval);
    script.push_back(emulator::Pause{next - at});
    script.push_back(emulator::SendBytes{emulator::MakeEventChunk(id)});
    at = next;
  }
  script.push_back(emulator::SendBytes{std::string(emulator::kStreamEnd)});
  return script;
}

/// \brief What a client has read of one stream.
struct ClientStream {
  std::string id;
  std::string text;
  /// \returns true if each event has come once, and the regular end.
  bool IsWhole() const {
    const std::string last = fmt::format("data: piece {}\n", kEvents);
    return this->text.ends_with(kLastChunk) &&
           Occurrences(this->text, "data: piece ") == kEvents &&
           this->text.find(last) != std::string::npos;
  }
};

/// \brief Reads one stream to its end.
inline Awaitable<void> ReadStream(boost::asio::ip::tcp::endpoint router,
                                  ClientStream& stream) {
  namespace asio = boost::asio;
  const auto executor = co_await asio::this_coro::executor;
  asio::ip::tcp::socket socket(executor);
  boost::system::error_code error;
  co_await socket.async_connect(router, internal::RedirectError(error));
  const std::string request = fmt::format(
      "POST /stream/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
      "Request-Deadline: 12000\r\nAuthorization: Token k1\r\n"
      "Content-Length: 1\r\n\r\nx",
      stream.id);
  co_await asio::async_write(socket, asio::buffer(request),
                             internal::RedirectError(error));
  std::array<char, 4096> buffer{};
  while (!error && !stream.text.ends_with(kLastChunk)) {
    const std::size_t size = co_await socket.async_read_some(
        asio::buffer(buffer), internal::RedirectError(error));
    stream.text.append(buffer.data(), size);
  }
}

/// \brief Sends `count` streams, one each `interval`, to the routers in turn,
///        and waits for their ends.
inline std::vector<ClientStream> ReadStreams(const PlatformFleet& fleet,
                                             int routers, int count,
                                             Duration interval) {
  namespace asio = boost::asio;
  std::vector<ClientStream> streams(static_cast<std::size_t>(count));
  asio::io_context loop;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        for (int n = 0; n < count; ++n) {
          ClientStream& stream = streams[static_cast<std::size_t>(n)];
          stream.id = fmt::format("s{}", n);
          asio::co_spawn(
              loop, ReadStream(fleet.ClientEndpoint(1 + n % routers), stream),
              asio::detached);
          const Duration pause = interval;
          co_await SleepFor(pause);
        }
      },
      asio::detached);
  loop.run();
  return streams;
}

/// \returns how many streams came whole.
inline int CountWhole(const std::vector<ClientStream>& streams) {
  return static_cast<int>(
      std::count_if(streams.begin(), streams.end(),
                    [](const ClientStream& s) { return s.IsWhole(); }));
}

/// \returns how many requests reached more than one engine.
inline int CountRepeated(PlatformFleet& fleet, int engines) {
  std::map<std::string, int> arrivals;
  for (int engine = 0; engine < engines; ++engine) {
    for (const HttpRequest& request : fleet.Requests(engine)) {
      ++arrivals[std::string(request.headers.Find("Request-Id"))];
    }
  }
  return static_cast<int>(
      std::count_if(arrivals.begin(), arrivals.end(),
                    [](const auto& entry) { return entry.second > 1; }));
}

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_SILENT_STREAMS_H_
