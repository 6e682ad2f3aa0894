#ifndef DANDELIONSCALE_RUNTIME_SETTINGS_H_
#define DANDELIONSCALE_RUNTIME_SETTINGS_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandelionscale {

/// \brief Accepts any text; not an empty one if `required`.
struct TextRange {
  bool required = false;
};
/// \brief Accepts integers from `lowest` to `highest`, both included.
struct IntegerRange {
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
};
/// \brief Accepts numbers from `lowest` to `highest`, both included.
struct RealRange {
  double lowest = 0;
  double highest = 0;
};
/// \brief Accepts one of `choices`.
struct ChoiceRange {
  std::vector<std::string> choices;
};
/// \brief Accepts an address `IP:PORT`; also an empty text unless `required`.
struct AddressRange {
  bool required = false;
};
/// \brief Accepts addresses separated by commas, or an empty text.
struct AddressListRange {};
/// \brief Accepted values of a setting.
using SettingRange = std::variant<TextRange, IntegerRange, RealRange,
                                  ChoiceRange, AddressRange, AddressListRange>;

/// \brief Declares a setting: flag `--name`, environment variable
///        `DANDELION_NAME`.
struct SettingSpec {
  std::string name;
  std::string default_value;
  std::string help;
  SettingRange range;
};

/// \brief One invalid setting.
struct SettingFault {
  std::string name;
  std::string value;
  std::string allowed;
};

/// \brief Typed error: all invalid settings found by `Settings::Parse()`, or
///        one entry named `command line` if the flags cannot be parsed.
struct SettingFaults {
  std::vector<SettingFault> faults;
};

/// \brief Typed error: `--help` or `--version` was given; `text` is the output.
struct HelpRequested {
  std::string text;
};

/// \brief Validated settings of a program.
class Settings {
 public:
  /// \brief Reads each setting from its flag, else from its `DANDELION_*`
  ///        environment variable, else from its default.
  ///
  /// \param specs the settings of the program.
  /// \param arguments the command line without the program's name; arguments
  ///        without a leading `--` are kept as `positional`.
  /// \param usage first paragraph of `--help`.
  /// \returns the settings; errors: `SettingFaults`, `HelpRequested`.
  static boost::leaf::result<Settings> Parse(
      const std::vector<SettingSpec>& specs,
      const std::vector<std::string>& arguments, std::string_view usage);

  /// \returns the value of a setting, which must have been declared to
  ///          `Parse()`.
  const std::string& Text(std::string_view name) const;
  /// \returns the value of a setting with an `IntegerRange`.
  std::int64_t Integer(std::string_view name) const;
  /// \returns the value of a setting with a `RealRange`.
  double Real(std::string_view name) const;
  /// \returns the arguments without a leading `--`.
  const std::vector<std::string>& Positional() const {
    return this->positional;
  }

 private:
  std::map<std::string, std::string, std::less<>> values;
  std::vector<std::string> positional;
};

/// \brief Parses the command line. Prints and exits instead with status 0 after
///        `--help` or `--version`, with status 2 if a setting is invalid.
Settings ParseSettingsOrExit(const std::vector<SettingSpec>& specs, int argc,
                             char** argv, std::string_view usage);

/// \returns a Markdown table of `specs`, the table in docs/settings.md.
std::string SettingsReference(const std::vector<SettingSpec>& specs);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_SETTINGS_H_
