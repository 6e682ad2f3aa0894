#include "tunnel/tunnel_message.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace dandelionscale::internal {
namespace {

constexpr std::string_view kTunnelIdField = "Tunnel-Id";
constexpr std::string_view kRequestIdField = "Client-Request";
constexpr int kKeyBase = 16;

constexpr std::array kRefusals = {
    TunnelRefusal::kNotListed, TunnelRefusal::kUnknown,
    TunnelRefusal::kUnwanted,  TunnelRefusal::kCutOff,
    TunnelRefusal::kBusy,      TunnelRefusal::kUnreachable};
constexpr std::array kEnds = {TunnelEnd::kEngineClosed, TunnelEnd::kEngineLost};

// Ids come from clients and other writers; a control character would end the
// field.
std::string FieldValue(std::string_view text) {
  std::string value;
  for (char byte : text) {
    const auto code = static_cast<unsigned char>(byte);
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    if (code >= kFirstPrintable && code != kDelete) value += byte;
  }
  return value;
}

}  // namespace

std::string_view ToString(TunnelRefusal refusal) {
  switch (refusal) {
    case TunnelRefusal::kNotListed:
      return "not_listed";
    case TunnelRefusal::kUnknown:
      return "unknown_engine";
    case TunnelRefusal::kUnwanted:
      return "unwanted";
    case TunnelRefusal::kCutOff:
      return "cut_off";
    case TunnelRefusal::kBusy:
      return "busy";
    case TunnelRefusal::kUnreachable:
      return "unreachable";
    case TunnelRefusal::kNoAnswer:
      return "no_answer";
  }
  return "no_answer";
}

TunnelRefusal ToTunnelRefusal(std::string_view name) {
  for (TunnelRefusal refusal : kRefusals) {
    if (ToString(refusal) == name) return refusal;
  }
  return TunnelRefusal::kNoAnswer;
}

std::string_view ToString(TunnelEnd end) {
  switch (end) {
    case TunnelEnd::kEngineClosed:
      return "engine_closed";
    case TunnelEnd::kEngineLost:
      return "engine_lost";
    case TunnelEnd::kUnknown:
      return "unknown";
  }
  return "unknown";
}

TunnelEnd ToTunnelEnd(std::string_view name) {
  for (TunnelEnd end : kEnds) {
    if (ToString(end) == name) return end;
  }
  return TunnelEnd::kUnknown;
}

std::string FormatTunnelRequest(const TunnelRequest& request) {
  return fmt::format(
      "CONNECT {0:x} HTTP/1.1\r\nHost: {0:x}\r\n{1}: {2}\r\n"
      "{3}: {4}\r\n\r\n",
      request.engine_key, kTunnelIdField, request.tunnel_id, kRequestIdField,
      FieldValue(request.request_id));
}

std::optional<TunnelRequest> ParseTunnelRequest(std::string_view target,
                                                const HttpHeaders& headers) {
  TunnelRequest request;
  request.tunnel_id = headers.Find(kTunnelIdField);
  request.request_id = headers.Find(kRequestIdField);
  const char* const end = target.data() + target.size();
  const auto parsed =
      std::from_chars(target.data(), end, request.engine_key, kKeyBase);
  const bool is_key = parsed.ec == std::errc{} && parsed.ptr == end;
  if (!is_key || request.tunnel_id.empty()) return std::nullopt;
  return request;
}

std::string FormatTunnelOpened() {
  return "HTTP/1.1 200 Connection Established\r\n\r\n";
}

std::string FormatTunnelRefusal(TunnelRefusal refusal) {
  return fmt::format(
      "HTTP/1.1 503 Service Unavailable\r\n{}: {}\r\n"
      "Content-Length: 0\r\nConnection: close\r\n\r\n",
      kTunnelRefusalField, ToString(refusal));
}

}  // namespace dandelionscale::internal
