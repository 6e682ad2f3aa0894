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

/// \brief Accepted values of a setting.
struct TextRange {
  bool required = false;
};
struct IntegerRange {
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
};
struct RealRange {
  double lowest = 0;
  double highest = 0;
};
struct ChoiceRange {
  std::vector<std::string> choices;
};
struct AddressRange {
  bool required = false;
};
/// \brief Addresses separated by commas; may be empty.
struct AddressListRange {};
using SettingRange = std::variant<TextRange, IntegerRange, RealRange,
                                  ChoiceRange, AddressRange, AddressListRange>;

/// \brief Declares one setting: flag `--name`, variable `DANDELION_NAME`.
struct SettingSpec {
  std::string name;
  std::string default_value;
  std::string help;
  SettingRange range;
};

/// \brief One wrong setting.
struct SettingFault {
  std::string name;
  std::string value;
  std::string allowed;
};

/// \brief Typed error: every fault found in one pass.
struct SettingFaults {
  std::vector<SettingFault> faults;
};

/// \brief Typed error: the user asked for help or the version.
struct HelpRequested {
  std::string text;
};

/// \brief Checked settings of a program.
class Settings {
 public:
  /// \brief Reads flags, then `DANDELION_*` variables, then defaults.
  ///
  /// \param specs the settings of the program.
  /// \param arguments the command line without the program's name; arguments
  ///        without a leading `--` are kept as `positional`.
  /// \param usage first paragraph of `--help`.
  /// \returns the settings; errors: `SettingFaults`, `HelpRequested`.
  static boost::leaf::result<Settings> Parse(
      const std::vector<SettingSpec>& specs,
      const std::vector<std::string>& arguments, std::string_view usage);

  const std::string& Text(std::string_view name) const;
  std::int64_t Integer(std::string_view name) const;
  double Real(std::string_view name) const;
  const std::vector<std::string>& Positional() const {
    return this->positional;
  }

 private:
  std::map<std::string, std::string, std::less<>> values;
  std::vector<std::string> positional;
};

/// \brief Parses the command line or exits: 0 after help, 2 after faults.
Settings ParseSettingsOrExit(const std::vector<SettingSpec>& specs, int argc,
                             char** argv, std::string_view usage);

/// \returns a Markdown table of `specs`, for docs/settings.md.
std::string SettingsReference(const std::vector<SettingSpec>& specs);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_SETTINGS_H_
