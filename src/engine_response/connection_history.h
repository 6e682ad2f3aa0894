/// \file
/// \brief Which requests a connection to an engine has carried.
#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_CONNECTION_HISTORY_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_CONNECTION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dandelionscale::internal {

/// \brief The requests that were sent on one connection.
class ConnectionHistory {
 public:
  /// Requests that are remembered.
  static constexpr std::size_t kMaxRequests = 64;

  /// \brief Records that a request is sent.
  void OnSent(std::string_view request_id);
  /// \returns true if this request may have been sent; false is certain.
  bool MayHaveCarried(std::string_view request_id) const;
  /// \returns the number of requests that were sent.
  std::size_t RequestCount() const { return this->request_count; }

 private:
  std::size_t request_count = 0;
  std::vector<std::uint64_t> request_keys;  ///< Of the first ones.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_CONNECTION_HISTORY_H_
