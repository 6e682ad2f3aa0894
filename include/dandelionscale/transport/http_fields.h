#ifndef DANDELIONSCALE_TRANSPORT_HTTP_FIELDS_H_
#define DANDELIONSCALE_TRANSPORT_HTTP_FIELDS_H_

#include <string_view>
#include <vector>

#include "dandelionscale/transport/http_types.h"

namespace dandelionscale {

/// \returns true if the ASCII texts are equal but for case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

/// \returns the items of a comma-separated list, without white space around
///          them; empty items are left out.
std::vector<std::string_view> SplitList(std::string_view text);

/// \returns true if two readers could see the end of the body at different
///          places: a length twice, an encoding other than "chunked", or both
///          (RFC 9112, section 6.3). Such a request is refused, since what
///          follows its body could be taken for a request of its own.
bool HasDoubtfulFraming(const HttpHeaders& headers);
/// \returns true if the request names exactly one host.
bool HasOneHost(const HttpHeaders& headers);

/// \brief Fields that concern one connection only (RFC 9110, section 7.6.1).
///
/// Views into `headers`, which must live longer.
class ConnectionOptions {
 public:
  explicit ConnectionOptions(const HttpHeaders& headers);

  /// \returns true if the field must not be passed on.
  bool IsHopByHop(std::string_view name) const;

 private:
  std::vector<std::string_view> named;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_HTTP_FIELDS_H_
