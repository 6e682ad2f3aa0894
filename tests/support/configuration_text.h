/// \file
/// \brief Configurations of any size, as operators write them.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_CONFIGURATION_TEXT_H_
#define DANDELIONSCALE_TESTS_SUPPORT_CONFIGURATION_TEXT_H_

#include <fmt/format.h>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace dandelionscale::tests {

inline std::string RandomName(std::mt19937& random, std::size_t length) {
  constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string name;
  for (std::size_t n = 0; n < length; ++n) {
    name += kLetters[random() % kLetters.size()];
  }
  return name;
}

/// \returns a configuration with so many routes of some 215 bytes each, of
///          which 21 are random. The first ones are the same for any number.
inline std::string ConfigurationText(std::uint64_t version, int routes) {
  std::mt19937 random(1);
  std::string list;
  for (int n = 0; n < routes; ++n) {
    const std::string name = RandomName(random, 7);
    const std::string host = RandomName(random, 6);
    const std::string prefix = RandomName(random, 8);
    list += fmt::format(
        R"({}{{"name":"r-{}","host":"{}.example","prefix":"/{}/",)"
        R"("kind":"idempotent","timeout_ms":2500,"target_latency_ms":200,)"
        R"("priority":2,"service":"plain","max_attempts":2,"public":false,)"
        R"("session_affinity":false}})",
        n == 0 ? "" : ",", name, host, prefix);
  }
  return fmt::format(
      R"({{"version":{},"routes":[{}],"services":[{{"name":"plain"}}],)"
      R"("tenants":[{{"name":"t1","api_keys":["k1"]}}]}})",
      version, list);
}

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_CONFIGURATION_TEXT_H_
