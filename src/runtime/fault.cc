#include "dandelionscale/runtime/fault.h"

namespace dandelionscale {

std::string_view ToString(FaultKind kind) {
  switch (kind) {
    case FaultKind::kConnectFailed:
      return "connect_failed";
    case FaultKind::kNotSent:
      return "not_sent";
    case FaultKind::kConnectionLost:
      return "connection_lost";
    case FaultKind::kTimeout:
      return "timeout";
    case FaultKind::kMalformedMessage:
      return "malformed_message";
    case FaultKind::kHeadTooLarge:
      return "head_too_large";
    case FaultKind::kMessageTooLarge:
      return "message_too_large";
    case FaultKind::kUnexpectedStatus:
      return "unexpected_status";
    case FaultKind::kNoPath:
      return "no_path";
    case FaultKind::kCancelled:
      return "cancelled";
  }
  return "cancelled";
}

}  // namespace dandelionscale
