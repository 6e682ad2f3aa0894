/// \file
/// \brief HTTP/1.1 heads as text, and headers out of Beast's messages.
#ifndef DANDELIONSCALE_SRC_DISPATCH_HTTP_TEXT_H_
#define DANDELIONSCALE_SRC_DISPATCH_HTTP_TEXT_H_

#include <boost/beast/http/fields.hpp>
#include <string>

#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale::internal {

/// \returns a request with `headers` in place of its own, and its body.
std::string FormatRequest(const HttpRequest& request,
                          const HttpHeaders& headers);

/// \returns the head of a response, up to and including the empty line.
/// \param framing the field that tells where the body ends.
std::string FormatResponseHead(unsigned status, const HttpHeaders& headers,
                               std::string_view framing, bool keep_alive,
                               Duration idle_timeout);

/// \returns one chunk of a chunked body.
std::string FormatChunk(std::string_view data);

/// \brief The end of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// \returns a copy of all fields, in their order.
HttpHeaders CopyHeaders(const boost::beast::http::fields& fields);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_HTTP_TEXT_H_
