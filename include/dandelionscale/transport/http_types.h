#ifndef DANDELIONSCALE_TRANSPORT_HTTP_TYPES_H_
#define DANDELIONSCALE_TRANSPORT_HTTP_TYPES_H_

#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/fault.h"

namespace dandelionscale {

/// \brief One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// \brief Header fields in the order in which they are sent.
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> fields) : fields(fields) {}

  /// \brief Appends a field.
  void Add(std::string_view name, std::string_view value) {
    this->fields.push_back({std::string(name), std::string(value)});
  }
  /// \returns the first value of `name` (case-insensitive), or an empty view.
  std::string_view Find(std::string_view name) const;
  /// \returns all fields in their order.
  const std::vector<HttpHeader>& Fields() const { return this->fields; }

 private:
  std::vector<HttpHeader> fields;
};

/// \brief A complete request.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query (RFC 9112, section 3.2).
  HttpHeaders headers;
  std::string body;
};

/// \brief A complete response.
struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

/// \returns the path of `target` without its query.
std::string_view PathOf(std::string_view target);

/// \returns the value of query parameter `name` as sent, without percent
///          decoding, or an empty view.
std::string_view QueryParameter(std::string_view target, std::string_view name);

/// \returns the response status for a request that cannot be parsed: 431 for
///          `kHeadTooLarge`, 413 for `kMessageTooLarge`, 400 otherwise.
unsigned StatusOfBadRequest(FaultKind kind);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_HTTP_TYPES_H_
