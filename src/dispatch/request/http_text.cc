#include "dispatch/request/http_text.h"

#include <fmt/format.h>

#include <boost/beast/http/status.hpp>
#include <charconv>
#include <iterator>

#include "dandelionscale/transport/http_fields.h"

namespace dandelionscale::internal {
namespace {

void AppendFields(const HttpHeaders& headers, std::string& text) {
  for (const HttpHeader& field : headers.Fields()) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
}

// A request gets a Content-Length if it has a body, or if the client framed an
// empty one.
bool NeedsLength(const HttpRequest& request) {
  return !request.body.empty() ||
         !request.headers.Find("Content-Length").empty() ||
         !request.headers.Find("Transfer-Encoding").empty();
}

}  // namespace

std::string FormatRequest(const HttpRequest& request,
                          const HttpHeaders& headers) {
  constexpr std::size_t kHeadEstimate = 1024;
  std::string text;
  text.reserve(kHeadEstimate + request.body.size());
  fmt::format_to(std::back_inserter(text), "{} {} HTTP/1.1\r\n", request.method,
                 request.target);
  AppendFields(headers, text);
  if (NeedsLength(request)) {
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n",
                   request.body.size());
  }
  text += "\r\n";
  text += request.body;
  return text;
}

std::string FormatResponseHead(unsigned status, const HttpHeaders& headers,
                               std::string_view framing, bool keep_alive,
                               Duration idle_timeout) {
  std::string text;
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", status,
                 std::string_view(reason.data(), reason.size()));
  AppendFields(headers, text);
  if (!framing.empty()) {
    text += framing;
    text += "\r\n";
  }
  if (keep_alive) {
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(idle_timeout).count();
    fmt::format_to(std::back_inserter(text), "Keep-Alive: timeout={}\r\n",
                   seconds);
  } else {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

std::string FormatChunk(std::string_view data) {
  std::string text;
  fmt::format_to(std::back_inserter(text), "{:x}\r\n", data.size());
  text += data;
  text += "\r\n";
  return text;
}

Duration ParseKeepAliveTimeout(std::string_view keep_alive) {
  constexpr std::string_view kTimeout = "timeout=";
  for (std::string_view item : SplitList(keep_alive)) {
    if (!item.starts_with(kTimeout)) continue;
    item.remove_prefix(kTimeout.size());
    std::uint32_t seconds = 0;
    const auto [end, error] =
        std::from_chars(item.data(), item.data() + item.size(), seconds);
    const bool is_whole =
        error == std::errc{} && end == item.data() + item.size();
    return is_whole ? std::chrono::seconds(seconds) : Duration::zero();
  }
  return Duration::zero();
}

HttpHeaders CopyHeaders(const boost::beast::http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.Add(std::string_view(field.name_string().data(),
                                 field.name_string().size()),
                std::string_view(field.value().data(), field.value().size()));
  }
  return headers;
}

}  // namespace dandelionscale::internal
