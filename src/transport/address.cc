#include "dandelionscale/transport/address.h"

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace dandelionscale {
namespace {

// Of IPv4 and IPv6 addresses, without scope, and of ports.
constexpr std::string_view kAddressCharacters = "0123456789abcdefABCDEF.:";

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text) {
  Fault malformed{FaultKind::kMalformedMessage, std::string(text)};
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return malformed;
  // Without this, Asio accepts any bytes after a zero byte or a scope mark.
  if (text.find_first_not_of(kAddressCharacters) != std::string_view::npos) {
    return malformed;
  }
  boost::system::error_code error;
  auto address =
      boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  if (error) return malformed;
  std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
    return malformed;
  return Endpoint(address, port);
}

std::string ToText(const Endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

}  // namespace dandelionscale
