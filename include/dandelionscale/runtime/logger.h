#ifndef DANDELIONSCALE_RUNTIME_LOGGER_H_
#define DANDELIONSCALE_RUNTIME_LOGGER_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace dandelionscale {

/// \brief Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// \brief One named value of a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

class LogSink;

/// \brief Writes JSON lines to standard error or to a sink.
///
/// Each line has the keys `time` (UTC), `level`, `process` and `event`, and the
/// given fields.
class Logger {
 public:
  /// \brief Sets the lowest level that is written, and the `process` value.
  static void Configure(LogLevel lowest, std::string process);
  /// \brief Redirects all later lines to `sink`, which must outlive its use;
  ///        null selects standard error. Warnings and errors are passed to the
  ///        sink as important.
  static void UseSink(LogSink* sink);
  /// \brief Writes one line if `level` is at least the configured one.
  static void Write(LogLevel level, std::string_view event,
                    std::initializer_list<LogField> fields);
  /// \brief Writes a line of level `debug`.
  static void Debug(std::string_view event,
                    std::initializer_list<LogField> fields = {});
  /// \brief Writes a line of level `info`.
  static void Info(std::string_view event,
                   std::initializer_list<LogField> fields = {});
  /// \brief Writes a line of level `warning`.
  static void Warning(std::string_view event,
                      std::initializer_list<LogField> fields = {});
  /// \brief Writes a line of level `error`.
  static void Error(std::string_view event,
                    std::initializer_list<LogField> fields = {});
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_LOGGER_H_
