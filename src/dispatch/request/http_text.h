/// \file
/// \brief Formats HTTP/1.1 messages; reads and copies their header fields.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_HTTP_TEXT_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_HTTP_TEXT_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale::internal {

/// \returns the bytes of `request`, with `headers` in place of its own header
///          fields.
std::string FormatRequest(const HttpRequest& request,
                          const HttpHeaders& headers);

/// \returns the head of a response, up to and including the empty line.
/// \param framing the header field that delimits the body, without line end;
///        empty for none.
/// \param idle_timeout stated in the Keep-Alive field if `keep_alive` is true.
std::string FormatResponseHead(unsigned status, const HttpHeaders& headers,
                               std::string_view framing, bool keep_alive,
                               Duration idle_timeout);

/// \returns one chunk of a chunked body.
std::string FormatChunk(std::string_view data);

/// \brief The last chunk of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// \returns the time that the item `timeout` of a Keep-Alive field states in
///          seconds; zero if it is absent or malformed.
Duration ParseKeepAliveTimeout(std::string_view keep_alive);

/// \returns a copy of all fields in the same order.
HttpHeaders CopyHeaders(const boost::beast::http::fields& fields);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_HTTP_TEXT_H_
