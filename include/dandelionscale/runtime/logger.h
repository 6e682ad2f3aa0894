#ifndef DANDELIONSCALE_RUNTIME_LOGGER_H_
#define DANDELIONSCALE_RUNTIME_LOGGER_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace dandelionscale {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// \brief One named value of a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

class LogSink;

/// \brief Writes JSON lines to standard error, or to a sink.
///
/// Each line holds `time` (UTC), `level`, `event` and the given fields.
class Logger {
 public:
  /// \brief Sets the lowest level that is written and the name of the process.
  static void Configure(LogLevel lowest, std::string process);
  /// \brief Writes to `sink` from now on; null stands for standard error.
  static void UseSink(LogSink* sink);
  /// \brief Writes one line if `level` is high enough.
  static void Write(LogLevel level, std::string_view event,
                    std::initializer_list<LogField> fields);
  static void Debug(std::string_view event,
                    std::initializer_list<LogField> fields = {});
  static void Info(std::string_view event,
                   std::initializer_list<LogField> fields = {});
  static void Warning(std::string_view event,
                      std::initializer_list<LogField> fields = {});
  static void Error(std::string_view event,
                    std::initializer_list<LogField> fields = {});
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_LOGGER_H_
