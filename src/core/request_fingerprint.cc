#include "dandelionscale/core/request_fingerprint.h"

#include <initializer_list>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {

std::uint64_t Fingerprint(const RequestContent& content) {
  std::uint64_t hash = content.prompt_key;
  // Fields are hashed one by one, so that bytes can't move from one to another.
  for (std::string_view field : {content.workspace, content.method,
                                 content.host, content.target, content.body}) {
    hash = RendezvousWeight(HashText(field), hash);
  }
  return hash;
}

}  // namespace dandelionscale
