#include "dandelionscale/runtime/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <boost/program_options.hpp>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace dandelionscale {
namespace {

namespace po = boost::program_options;
namespace leaf = boost::leaf;

constexpr int kExitInvalidSettings = 2;

std::string EnvironmentVariableName(std::string_view name) {
  std::string variable = "DANDELION_";
  for (char c : name) {
    variable += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return variable;
}

std::string DescribeRange(const SettingRange& range) {
  struct Visitor {
    std::string operator()(const TextRange& r) const {
      return r.required ? "any text, required" : "any text";
    }
    std::string operator()(const IntegerRange& r) const {
      return fmt::format("an integer from {} to {}", r.lowest, r.highest);
    }
    std::string operator()(const RealRange& r) const {
      return fmt::format("a number from {} to {}", r.lowest, r.highest);
    }
    std::string operator()(const ChoiceRange& r) const {
      return fmt::format("one of {}", fmt::join(r.choices, ", "));
    }
    std::string operator()(const AddressRange& r) const {
      return r.required ? "IP:PORT, required" : "IP:PORT or empty";
    }
    std::string operator()(const AddressListRange&) const {
      return "IP:PORT, comma-separated, or empty";
    }
  };
  return std::visit(Visitor{}, range);
}

template <typename T>
bool IsNumberWithin(const std::string& value, T lowest, T highest) {
  T number{};
  if (!boost::conversion::try_lexical_convert(value, number)) return false;
  return number >= lowest && number <= highest;
}

bool IsAddress(const std::string& value) {
  auto colon = value.rfind(':');
  if (colon == std::string::npos) return false;
  boost::system::error_code error;
  boost::asio::ip::make_address(value.substr(0, colon), error);
  if (error) return false;
  constexpr std::int64_t kMaxPort = 65535;
  return IsNumberWithin<std::int64_t>(value.substr(colon + 1), 0, kMaxPort);
}

bool IsAccepted(const SettingRange& range, const std::string& value) {
  struct Visitor {
    const std::string& value;
    bool operator()(const TextRange& r) const {
      return !r.required || !this->value.empty();
    }
    bool operator()(const IntegerRange& r) const {
      return IsNumberWithin(this->value, r.lowest, r.highest);
    }
    bool operator()(const RealRange& r) const {
      return IsNumberWithin(this->value, r.lowest, r.highest);
    }
    bool operator()(const ChoiceRange& r) const {
      return std::find(r.choices.begin(), r.choices.end(), this->value) !=
             r.choices.end();
    }
    bool operator()(const AddressRange& r) const {
      if (this->value.empty()) return !r.required;
      return IsAddress(this->value);
    }
    bool operator()(const AddressListRange&) const {
      std::istringstream list(this->value);
      std::string item;
      while (std::getline(list, item, ',')) {
        if (!IsAddress(item)) return false;
      }
      return true;
    }
  };
  return std::visit(Visitor{value}, range);
}

po::options_description MakeOptions(const std::vector<SettingSpec>& specs) {
  po::options_description options("Settings");
  options.add_options()("help", "print this help and exit")(
      "version", "print the version and exit");
  for (const SettingSpec& spec : specs) {
    std::string help =
        fmt::format("{} ({}; default \"{}\"; variable {})", spec.help,
                    DescribeRange(spec.range), spec.default_value,
                    EnvironmentVariableName(spec.name));
    options.add_options()(spec.name.c_str(), po::value<std::string>(),
                          help.c_str());
  }
  return options;
}

}  // namespace

leaf::result<Settings> Settings::Parse(
    const std::vector<SettingSpec>& specs,
    const std::vector<std::string>& arguments, std::string_view usage) {
  po::options_description options = MakeOptions(specs);
  po::options_description hidden;
  hidden.add_options()("positional",
                       po::value<std::vector<std::string>>()->composing());
  po::options_description all_options;
  all_options.add(options).add(hidden);
  po::positional_options_description positions;
  positions.add("positional", -1);
  po::variables_map parsed;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(all_options)
                  .positional(positions)
                  .run(),
              parsed);
  } catch (const po::error& error) {
    return leaf::new_error(SettingFaults{
        {{"command line", error.what(), "the flags that --help lists"}}});
  }
  if (parsed.count("version") != 0) {
    return leaf::new_error(
        HelpRequested{fmt::format("dandelionscale {}\n", DANDELION_VERSION)});
  }
  if (parsed.count("help") != 0) {
    std::ostringstream text;
    text << usage << "\n\n" << options;
    return leaf::new_error(HelpRequested{text.str()});
  }

  Settings settings;
  SettingFaults found;
  for (const SettingSpec& spec : specs) {
    std::string value = spec.default_value;
    if (const char* variable =
            std::getenv(EnvironmentVariableName(spec.name).c_str())) {
      value = variable;
    }
    if (parsed.count(spec.name) != 0) {
      value = parsed[spec.name].as<std::string>();
    }
    if (!IsAccepted(spec.range, value)) {
      found.faults.push_back({spec.name, value, DescribeRange(spec.range)});
    }
    settings.values[spec.name] = value;
  }
  if (parsed.count("positional") != 0) {
    settings.positional = parsed["positional"].as<std::vector<std::string>>();
  }
  if (!found.faults.empty()) return leaf::new_error(std::move(found));
  return settings;
}

const std::string& Settings::Text(std::string_view name) const {
  return this->values.find(name)->second;
}

std::int64_t Settings::Integer(std::string_view name) const {
  return boost::lexical_cast<std::int64_t>(this->Text(name));
}

double Settings::Real(std::string_view name) const {
  return boost::lexical_cast<double>(this->Text(name));
}

Settings ParseSettingsOrExit(const std::vector<SettingSpec>& specs, int argc,
                             char** argv, std::string_view usage) {
  std::vector<std::string> arguments(argv + 1, argv + argc);
  return leaf::try_handle_all(
      [&] { return Settings::Parse(specs, arguments, usage); },
      [](const HelpRequested& help) -> Settings {
        fmt::print("{}", help.text);
        std::exit(0);
      },
      [](const SettingFaults& found) -> Settings {
        for (const SettingFault& fault : found.faults) {
          fmt::print(stderr, "{}: \"{}\" is not accepted; allowed: {}\n",
                     fault.name, fault.value, fault.allowed);
        }
        std::exit(kExitInvalidSettings);
      },
      []() -> Settings { std::exit(kExitInvalidSettings); });
}

std::string SettingsReference(const std::vector<SettingSpec>& specs) {
  std::string text =
      "| flag | variable | default | allowed | meaning |\n|---|---|---|---|---|"
      "\n";
  for (const SettingSpec& spec : specs) {
    text += fmt::format("| `--{}` | `{}` | `{}` | {} | {} |\n", spec.name,
                        EnvironmentVariableName(spec.name), spec.default_value,
                        DescribeRange(spec.range), spec.help);
  }
  return text;
}

}  // namespace dandelionscale
