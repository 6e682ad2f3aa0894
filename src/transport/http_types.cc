#include "dandelionscale/transport/http_types.h"

#include <boost/algorithm/string/predicate.hpp>

#include "dandelionscale/transport/http_status.h"

namespace dandelionscale {

std::string_view HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& field : this->fields) {
    if (boost::iequals(field.name, name)) return field.value;
  }
  return {};
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view QueryParameter(std::string_view target,
                                std::string_view name) {
  auto question = target.find('?');
  if (question == std::string_view::npos) return {};
  std::string_view query = target.substr(question + 1);
  while (!query.empty()) {
    std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    auto equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    if (pair.substr(0, equals) == name) return pair.substr(equals + 1);
  }
  return {};
}

unsigned StatusOfBadRequest(FaultKind kind) {
  if (kind == FaultKind::kHeadTooLarge)
    return http_status::kHeaderFieldsTooLarge;
  if (kind == FaultKind::kMessageTooLarge) return http_status::kContentTooLarge;
  return http_status::kBadRequest;
}

}  // namespace dandelionscale
