#include "dandelionscale/runtime/trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <random>

namespace dandelionscale {
namespace {

// Sizes from W3C Trace Context, level 1, section 3.2; the header length is in
// characters.
constexpr std::size_t kTraceIdBytes = 16;
constexpr std::size_t kSpanIdBytes = 8;
constexpr std::size_t kHeaderLength = 55;

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsAllZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::mt19937_64& Generator() {
  static std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return generator;
}

}  // namespace

std::string RandomHex(std::size_t bytes) {
  std::string text;
  while (text.size() < 2 * bytes) {
    text += fmt::format("{:016x}", Generator()());
  }
  text.resize(2 * bytes);
  return text;
}

TraceContext TraceContext::NewRoot() {
  return {RandomHex(kTraceIdBytes), RandomHex(kSpanIdBytes)};
}

std::optional<TraceContext> TraceContext::Parse(std::string_view traceparent) {
  if (traceparent.size() != kHeaderLength) return std::nullopt;
  if (traceparent.substr(0, 3) != "00-") return std::nullopt;
  if (traceparent[35] != '-' || traceparent[52] != '-') return std::nullopt;
  std::string_view trace_id = traceparent.substr(3, 32);
  std::string_view span_id = traceparent.substr(36, 16);
  if (!IsLowerHex(trace_id) || !IsLowerHex(span_id)) return std::nullopt;
  if (IsAllZero(trace_id) || IsAllZero(span_id)) return std::nullopt;
  return TraceContext{std::string(trace_id), std::string(span_id)};
}

TraceContext TraceContext::Child() const {
  return {this->trace_id, RandomHex(kSpanIdBytes)};
}

std::string TraceContext::ToHeader() const {
  return fmt::format("00-{}-{}-01", this->trace_id, this->span_id);
}

std::int64_t UnixNanoseconds() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

void TraceStore::Add(Span span) {
  auto [found, inserted] = this->spans.try_emplace(span.request_id);
  if (inserted) this->order.push_back(span.request_id);
  found->second.push_back(std::move(span));
  while (this->order.size() > this->capacity) {
    this->spans.erase(this->order.front());
    this->order.pop_front();
  }
}

std::vector<Span> TraceStore::Find(std::string_view request_id) const {
  auto found = this->spans.find(std::string(request_id));
  if (found == this->spans.end()) return {};
  return found->second;
}

std::string ToOtlpJson(const Span& span) {
  boost::json::object line;
  line["name"] = span.name;
  line["traceId"] = span.context.trace_id;
  line["spanId"] = span.context.span_id;
  line["parentSpanId"] = span.parent_span_id;
  line["startTimeUnixNano"] = std::to_string(span.start_unix_ns);
  line["endTimeUnixNano"] = std::to_string(span.end_unix_ns);
  boost::json::array attributes;
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(boost::json::object{
        {"key", key}, {"value", boost::json::object{{"stringValue", value}}}});
  }
  line["attributes"] = std::move(attributes);
  return boost::json::serialize(line);
}

}  // namespace dandelionscale
