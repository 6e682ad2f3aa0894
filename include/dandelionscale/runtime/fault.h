#ifndef DANDELIONSCALE_RUNTIME_FAULT_H_
#define DANDELIONSCALE_RUNTIME_FAULT_H_

#include <boost/system/result.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dandelionscale {

/// \brief What went wrong in an asynchronous operation.
///
/// Synchronous code (settings, configuration, codecs) reports typed errors
/// through Boost.LEAF. LEAF keeps error objects in thread-local contexts, which
/// do not survive the suspension of a coroutine, so that asynchronous code
/// returns this type in a `Result`.
enum class FaultKind {
  kConnectFailed,     ///< No connection; nothing was sent.
  kNotSent,           ///< The peer refused before processing; nothing was run.
  kConnectionLost,    ///< The connection broke after data had been sent.
  kTimeout,           ///< The deadline passed.
  kMalformedMessage,  ///< The other side broke the protocol.
  kHeadTooLarge,      ///< The fields before a body exceed their limit.
  kMessageTooLarge,   ///< A size limit was exceeded.
  kUnexpectedStatus,  ///< An HTTP status outside the protocol.
  kCancelled,         ///< The local side gave up.
};

/// \returns the name of `kind`, as written in logs.
std::string_view ToString(FaultKind kind);

/// \brief A typed failure with a detail for the log.
struct Fault {
  FaultKind kind = FaultKind::kCancelled;
  std::string detail;
};

[[noreturn]] inline void throw_exception_from_error(
    const Fault& fault, const boost::source_location&) {
  throw std::runtime_error(fault.detail);
}

template <typename T>
using Result = boost::system::result<T, Fault>;

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_FAULT_H_
