#ifndef DANDELIONSCALE_RUNTIME_FAULT_H_
#define DANDELIONSCALE_RUNTIME_FAULT_H_

#include <boost/system/result.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dandelionscale {

/// \brief Category of a failure of an asynchronous or transport operation.
///
/// Settings, configuration and codecs report typed errors through Boost.LEAF.
/// LEAF keeps error objects in thread-local contexts, which do not survive the
/// suspension of a coroutine, so asynchronous and transport code returns a
/// `Fault` in a `Result` instead.
enum class FaultKind {
  kConnectFailed,     ///< No connection was made; nothing was sent.
  kNotSent,           ///< Not sent, or refused before any processing.
  kConnectionLost,    ///< The connection broke after data had been sent.
  kTimeout,           ///< The deadline passed.
  kMalformedMessage,  ///< The remote side violated the protocol.
  kHeadTooLarge,      ///< The header section exceeds its limit.
  kMessageTooLarge,   ///< A message or body exceeds its limit.
  kUnexpectedStatus,  ///< A status other than those the caller expects.
  kNoPath,            ///< No way to the target; says nothing of the target.
  kCancelled,         ///< The local side cancelled the operation.
};

/// \returns the name of `kind`, as written in logs.
std::string_view ToString(FaultKind kind);

/// \brief A typed failure with a detail for the log.
struct Fault {
  FaultKind kind = FaultKind::kCancelled;
  std::string detail;
};

/// \brief Called by Boost when `value()` is read from a `Result` that holds a
///        fault.
/// \throws std::runtime_error with the detail of `fault`.
[[noreturn]] inline void throw_exception_from_error(
    const Fault& fault, const boost::source_location&) {
  throw std::runtime_error(fault.detail);
}

/// \brief A value, or the fault that prevented it.
template <typename T>
using Result = boost::system::result<T, Fault>;

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_FAULT_H_
