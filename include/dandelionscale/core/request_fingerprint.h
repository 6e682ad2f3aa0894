#ifndef DANDELIONSCALE_CORE_REQUEST_FINGERPRINT_H_
#define DANDELIONSCALE_CORE_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace dandelionscale {

/// \brief What makes two requests the same for the engine that runs them.
///
/// Request ids and idempotency keys are left out: a client may make them anew
/// for each attempt.
struct RequestContent {
  std::string_view workspace;  ///< Of the client's API key.
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view body;
  std::uint64_t prompt_key = 0;  ///< Of all prompt parts; 0 for none.
};

/// \returns a hash of the content; the same on every host.
std::uint64_t Fingerprint(const RequestContent& content);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_REQUEST_FINGERPRINT_H_
