#ifndef DANDELIONSCALE_RUNTIME_TRACE_H_
#define DANDELIONSCALE_RUNTIME_TRACE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief W3C trace context: the trace and the span of one operation.
struct TraceContext {
  std::string trace_id;  ///< 32 hexadecimal digits.
  std::string span_id;   ///< 16 hexadecimal digits.

  /// \returns the context of a new trace with random ids.
  static TraceContext NewRoot();
  /// \returns the context in a `traceparent` header, or nothing if malformed.
  static std::optional<TraceContext> Parse(std::string_view traceparent);
  /// \returns a context with the same trace and a new span id.
  TraceContext Child() const;
  /// \returns the value of a `traceparent` header.
  std::string ToHeader() const;
};

/// \returns `bytes` random bytes as hexadecimal digits.
std::string RandomHex(std::size_t bytes);

/// \brief One finished operation of a request.
struct Span {
  std::string name;
  TraceContext context;
  std::string parent_span_id;
  std::string request_id;
  std::int64_t start_unix_ns = 0;
  std::int64_t end_unix_ns = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
};

/// \returns the current time in nanoseconds since the Unix epoch, for spans.
std::int64_t UnixNanoseconds();

/// \brief Keeps the spans of recent requests for the admin API path
///        `/v1/explain/REQUEST_ID`.
class TraceStore {
 public:
  /// \param capacity number of requests kept; the oldest are evicted.
  explicit TraceStore(std::size_t capacity) : capacity(capacity) {}

  /// \brief Adds a span to those of its request.
  void Add(Span span);
  /// \returns the spans of `request_id` in the order of their addition.
  std::vector<Span> Find(std::string_view request_id) const;

 private:
  std::size_t capacity;
  std::deque<std::string> order;
  std::unordered_map<std::string, std::vector<Span>> spans;
};

/// \returns `span` as one JSON line with the field names of OTLP/JSON.
std::string ToOtlpJson(const Span& span);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_TRACE_H_
