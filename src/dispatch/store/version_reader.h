/// \file
/// \brief Reads from the store at which software versions streams may have
///        begun.
#ifndef DANDELIONSCALE_SRC_DISPATCH_STORE_VERSION_READER_H_
#define DANDELIONSCALE_SRC_DISPATCH_STORE_VERSION_READER_H_

#include <functional>
#include <memory>

#include "dandelionscale/runtime/event.h"

namespace dandelionscale::internal {

/// \brief Shares reads of the store among the requests that wait for one.
///
/// A stream begins only at an engine that the store lists, so a read that began
/// after a request to resume it shows all that may be known of its version.
class VersionReader {
 public:
  /// \brief Reads the tables and records what they hold; returns false if that
  ///        is not all that the routers of the fleet may know.
  using Source = std::function<Awaitable<bool>()>;

  explicit VersionReader(boost::asio::any_io_executor executor)
      : executor(std::move(executor)) {}
  void SetSource(Source new_source) { this->source = std::move(new_source); }

  /// \brief Waits for a read that begins after this call.
  /// \returns true if it succeeded; false also if that takes too long.
  Awaitable<bool> Read();

 private:
  struct Round {
    explicit Round(const boost::asio::any_io_executor& executor)
        : ended(executor) {}
    Event ended;
    bool has_ended = false;
    bool succeeded = false;
  };

  Awaitable<void> RunRounds();

  boost::asio::any_io_executor executor;
  Source source;
  std::shared_ptr<Round> next_round;  ///< Has not begun; null if not wanted.
  bool is_running = false;
  TimePoint last_began_at{};
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_STORE_VERSION_READER_H_
