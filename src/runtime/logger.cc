#include "dandelionscale/runtime/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>

#include "dandelionscale/runtime/log_sink.h"

namespace dandelionscale {
namespace {

struct LoggerState {
  LogLevel lowest = LogLevel::kInfo;
  std::string process;
  LogSink* sink = nullptr;
};

LoggerState& State() {
  static LoggerState state;
  return state;
}

std::string_view Name(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

std::string UtcNow() {
  auto now = std::chrono::system_clock::now();
  auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count();
  std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     milliseconds % 1000);
}

}  // namespace

void Logger::Configure(LogLevel lowest, std::string process) {
  State().lowest = lowest;
  State().process = std::move(process);
}

void Logger::UseSink(LogSink* sink) { State().sink = sink; }

void Logger::Write(LogLevel level, std::string_view event,
                   std::initializer_list<LogField> fields) {
  const LoggerState& state = State();
  if (level < state.lowest) return;
  boost::json::object line;
  line["time"] = UtcNow();
  line["level"] = Name(level);
  line["process"] = state.process;
  line["event"] = event;
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line[field.name] = value; },
               field.value);
  }
  const std::string text = boost::json::serialize(line);
  if (state.sink != nullptr) {
    state.sink->Write(text, level >= LogLevel::kWarning);
  } else {
    fmt::print(stderr, "{}\n", text);
  }
}

void Logger::Debug(std::string_view event,
                   std::initializer_list<LogField> fields) {
  Write(LogLevel::kDebug, event, fields);
}

void Logger::Info(std::string_view event,
                  std::initializer_list<LogField> fields) {
  Write(LogLevel::kInfo, event, fields);
}

void Logger::Warning(std::string_view event,
                     std::initializer_list<LogField> fields) {
  Write(LogLevel::kWarning, event, fields);
}

void Logger::Error(std::string_view event,
                   std::initializer_list<LogField> fields) {
  Write(LogLevel::kError, event, fields);
}

}  // namespace dandelionscale
