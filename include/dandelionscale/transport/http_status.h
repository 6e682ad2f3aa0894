#ifndef DANDELIONSCALE_TRANSPORT_HTTP_STATUS_H_
#define DANDELIONSCALE_TRANSPORT_HTTP_STATUS_H_

/// \brief HTTP status codes that the product sends or distinguishes (RFC 9110,
///        RFC 6585).
namespace dandelionscale::http_status {

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kNoContent = 204;
inline constexpr unsigned kNotModified = 304;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kRequestTimeout = 408;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kContentTooLarge = 413;
inline constexpr unsigned kMisdirectedRequest = 421;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kHeaderFieldsTooLarge = 431;
inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kServiceUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

/// \returns true if the status is in the range of HTTP, 100 to 599.
inline constexpr bool IsValid(unsigned status) {
  return status >= 100 && status < 600;
}
/// \returns true for a success (2xx) or an interim response (1xx).
inline constexpr bool IsBelowRedirection(unsigned status) {
  return status < 300;
}
/// \returns true if the status may say that the request was not processed and
///          can be sent again.
inline constexpr bool IsRefusal(unsigned status) {
  return status == kRequestTimeout || status == kMisdirectedRequest ||
         status == kTooManyRequests || status == kServiceUnavailable;
}
/// \returns true if the server reports that it has failed (5xx).
inline constexpr bool IsServerError(unsigned status) { return status >= 500; }

}  // namespace dandelionscale::http_status

#endif  // DANDELIONSCALE_TRANSPORT_HTTP_STATUS_H_
