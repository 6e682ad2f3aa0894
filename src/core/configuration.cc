#include "dandelionscale/core/configuration.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "dandelionscale/transport/address.h"

namespace dandelionscale {
namespace {

namespace json = boost::json;

constexpr double kMaxLoadFactor = 100.0;
constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr std::size_t kMaxEngines = 60'000;

// Reads typed members of one JSON object and records every validation error
// with its path.
class ObjectReader {
 public:
  ObjectReader(const json::value& value, std::string path,
               std::vector<ConfigurationFault>& faults)
      : object(value.if_object()), path(std::move(path)), faults(faults) {
    if (this->object == nullptr) this->Fault("", "must be an object");
  }

  std::string Text(std::string_view name) {
    const json::value* value = this->Find(name, true);
    if (value == nullptr) return {};
    if (!value->is_string() || value->get_string().empty()) {
      this->Fault(name, "must be a text that is not empty");
      return {};
    }
    return std::string(value->get_string());
  }

  std::uint32_t Count(std::string_view name, std::uint64_t min_value,
                      std::uint32_t default_value) {
    const json::value* value = this->Find(name, false);
    if (value == nullptr) return default_value;
    json::error_code error;
    auto number = value->to_number<std::uint64_t>(error);
    if (error || number < min_value || number > kMaxCount) {
      this->Fault(name, fmt::format("must be an integer from {} to {}",
                                    min_value, kMaxCount));
      return default_value;
    }
    return static_cast<std::uint32_t>(number);
  }

  double Real(std::string_view name, double min_value, double max_value,
              double default_value) {
    const json::value* value = this->Find(name, false);
    if (value == nullptr) return default_value;
    json::error_code error;
    auto number = value->to_number<double>(error);
    if (error || number < min_value || number > max_value) {
      this->Fault(name, fmt::format("must be a number from {} to {}", min_value,
                                    max_value));
      return default_value;
    }
    return number;
  }

  bool Flag(std::string_view name) {
    const json::value* value = this->Find(name, false);
    if (value == nullptr) return false;
    if (!value->is_bool()) {
      this->Fault(name, "must be true or false");
      return false;
    }
    return value->get_bool();
  }

  const json::array* Array(std::string_view name, bool required) {
    const json::value* value = this->Find(name, required);
    if (value == nullptr) return nullptr;
    if (!value->is_array()) {
      this->Fault(name, "must be an array");
      return nullptr;
    }
    return &value->get_array();
  }

  std::vector<std::string> Texts(std::string_view name, bool required) {
    std::vector<std::string> texts;
    const json::array* values = this->Array(name, required);
    if (values == nullptr) return texts;
    for (std::size_t i = 0; i < values->size(); ++i) {
      const json::value& value = (*values)[i];
      if (!value.is_string()) {
        this->Fault(fmt::format("{}/{}", name, i), "must be a text");
        continue;
      }
      texts.emplace_back(value.get_string());
    }
    return texts;
  }

  void RejectUnknownMembers(const std::set<std::string_view>& known) {
    if (this->object == nullptr) return;
    for (const auto& member : *this->object) {
      std::string_view key(member.key().data(), member.key().size());
      if (!known.contains(key)) this->Fault(key, "is not a known member");
    }
  }

  void Fault(std::string_view name, std::string message) {
    std::string where =
        name.empty() ? this->path : fmt::format("{}/{}", this->path, name);
    this->faults.push_back({where, std::move(message)});
  }

 private:
  const json::value* Find(std::string_view name, bool required) {
    if (this->object == nullptr) return nullptr;
    const json::value* value =
        this->object->if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr && required) this->Fault(name, "is missing");
    return value;
  }

  const json::object* object;
  std::string path;
  std::vector<ConfigurationFault>& faults;
};

class ConfigurationParser {
 public:
  Configuration Parse(const json::value& document) {
    ObjectReader root(document, "", this->faults);
    root.RejectUnknownMembers({"version", "availability_zones", "services",
                               "engines", "workspaces", "rules"});
    this->result.availability_zones = root.Texts("availability_zones", true);
    this->ForEach(root, "services",
                  [&](ObjectReader& reader) { this->ParseService(reader); });
    this->ForEach(root, "engines",
                  [&](ObjectReader& reader) { this->ParseEngine(reader); });
    this->ForEach(root, "workspaces",
                  [&](ObjectReader& reader) { this->ParseWorkspace(reader); });
    this->ParseRules(document);
    if (this->result.engines.size() > kMaxEngines) {
      this->faults.push_back({"/engines", "has too many elements"});
    }
    return std::move(this->result);
  }

  std::vector<ConfigurationFault> faults;

 private:
  template <typename Visit>
  void ForEach(ObjectReader& root, std::string_view name, Visit visit) {
    const json::array* values = root.Array(name, true);
    if (values == nullptr) return;
    for (std::size_t i = 0; i < values->size(); ++i) {
      ObjectReader reader((*values)[i], fmt::format("/{}/{}", name, i),
                          this->faults);
      visit(reader);
    }
  }

  std::string UniqueName(ObjectReader& reader, std::set<std::string>& names) {
    std::string name = reader.Text("name");
    if (!name.empty() && !names.insert(name).second) {
      reader.Fault("name", "stands twice");
    }
    return name;
  }

  void ParseService(ObjectReader& reader) {
    reader.RejectUnknownMembers(
        {"name", "kind", "load_factor", "status_lookup"});
    ServiceConfig service;
    service.name = this->UniqueName(reader, this->service_names);
    std::string kind = reader.Text("kind");
    if (kind == "plain") {
      service.kind = ServiceKind::kPlain;
    } else if (!kind.empty() && kind != "chat") {
      reader.Fault("kind", "must be \"chat\" or \"plain\"");
    }
    service.load_factor = reader.Real("load_factor", 1.0, kMaxLoadFactor, 1.25);
    service.status_lookup = reader.Flag("status_lookup");
    this->result.services.push_back(std::move(service));
  }

  void ParseEngine(ObjectReader& reader) {
    reader.RejectUnknownMembers(
        {"name", "service", "availability_zone", "address", "max_in_flight"});
    EngineConfig engine;
    engine.name = this->UniqueName(reader, this->engine_names);
    engine.service = reader.Text("service");
    if (!engine.service.empty() &&
        !this->service_names.contains(engine.service)) {
      reader.Fault("service", "names no service");
    }
    engine.availability_zone = reader.Text("availability_zone");
    const auto& zones = this->result.availability_zones;
    if (!engine.availability_zone.empty() &&
        std::find(zones.begin(), zones.end(), engine.availability_zone) ==
            zones.end()) {
      reader.Fault("availability_zone", "names no availability zone");
    }
    engine.address = reader.Text("address");
    if (!engine.address.empty() && ParseEndpoint(engine.address).has_error()) {
      reader.Fault("address", "must be IP:PORT");
    }
    engine.max_in_flight = reader.Count("max_in_flight", 1, 64);
    this->result.engines.push_back(std::move(engine));
  }

  void ParseWorkspace(ObjectReader& reader) {
    reader.RejectUnknownMembers({"name", "weight", "priority"});
    WorkspaceConfig workspace;
    workspace.name = this->UniqueName(reader, this->workspace_names);
    workspace.weight = reader.Count("weight", 1, 1);
    workspace.priority = reader.Count("priority", 0, 1);
    this->result.workspaces.push_back(std::move(workspace));
  }

  void ParseRules(const json::value& document) {
    const json::object* object = document.if_object();
    if (object == nullptr) return;
    const json::value* rules = object->if_contains("rules");
    if (rules == nullptr) return;
    ObjectReader reader(*rules, "/rules", this->faults);
    reader.RejectUnknownMembers({"draining_engines"});
    this->result.draining_engines = reader.Texts("draining_engines", false);
    for (std::size_t i = 0; i < this->result.draining_engines.size(); ++i) {
      if (!this->engine_names.contains(this->result.draining_engines[i])) {
        reader.Fault(fmt::format("draining_engines/{}", i), "names no engine");
      }
    }
  }

  Configuration result;
  std::set<std::string> service_names;
  std::set<std::string> engine_names;
  std::set<std::string> workspace_names;
};

template <typename T>
const T* FindByName(const std::vector<T>& values, std::string_view name) {
  auto found = std::find_if(values.begin(), values.end(),
                            [&](const T& v) { return v.name == name; });
  return found == values.end() ? nullptr : &*found;
}

}  // namespace

const ServiceConfig* Configuration::FindService(std::string_view name) const {
  return FindByName(this->services, name);
}

const WorkspaceConfig* Configuration::FindWorkspace(
    std::string_view name) const {
  return FindByName(this->workspaces, name);
}

boost::leaf::result<Configuration> ParseConfiguration(std::string_view text,
                                                      std::uint64_t version) {
  json::error_code error;
  json::value document =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error) {
    return boost::leaf::new_error(
        ConfigurationFaults{{{"", "is not JSON: " + error.message()}}});
  }
  ConfigurationParser parser;
  Configuration configuration = parser.Parse(document);
  if (!parser.faults.empty()) {
    return boost::leaf::new_error(
        ConfigurationFaults{std::move(parser.faults)});
  }
  configuration.version = version;
  return configuration;
}

}  // namespace dandelionscale
