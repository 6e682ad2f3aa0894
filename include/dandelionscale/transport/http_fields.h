#ifndef DANDELIONSCALE_TRANSPORT_HTTP_FIELDS_H_
#define DANDELIONSCALE_TRANSPORT_HTTP_FIELDS_H_

#include <string_view>
#include <vector>

#include "dandelionscale/transport/http_types.h"

namespace dandelionscale {

/// \returns true if the ASCII texts are equal, ignoring case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

/// \returns the items of a comma-separated list, without white space around
///          them; empty items are left out.
std::vector<std::string_view> SplitList(std::string_view text);

/// \returns true if `text` has no control character, so that it can't end the
///          line of a header field.
bool IsFieldValue(std::string_view text);

/// \returns true if `content_type` is that of a stream of server-sent events,
///          with or without parameters.
bool IsEventStreamType(std::string_view content_type);

/// \returns true if two HTTP implementations could disagree on where the body
///          ends: more than one Content-Length or Transfer-Encoding, an
///          encoding other than "chunked", or both fields (RFC 9112, section
///          6.3). Such a request must be rejected, since it allows request
///          smuggling: bytes after its body could be parsed as another request.
bool HasAmbiguousFraming(const HttpHeaders& headers);
/// \returns true if the request has exactly one Host field.
bool HasOneHost(const HttpHeaders& headers);

/// \brief Fields of one message that apply to a single connection and are not
///        forwarded (RFC 9110, section 7.6.1).
///
/// Holds views into `headers`, which must outlive it.
class HopByHopFields {
 public:
  explicit HopByHopFields(const HttpHeaders& headers);

  /// \returns true if the field must not be forwarded.
  bool IsHopByHop(std::string_view name) const;

 private:
  std::vector<std::string_view> connection_options;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_HTTP_FIELDS_H_
