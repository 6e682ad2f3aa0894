#include "engine_response/connection_history.h"

#include <algorithm>

#include "dandelionscale/core/hash.h"

namespace dandelionscale::internal {

void ConnectionHistory::OnSent(std::string_view request_id) {
  ++this->request_count;
  if (this->request_keys.size() >= kMaxRequests) return;
  this->request_keys.push_back(HashText(request_id));
}

bool ConnectionHistory::MayHaveCarried(std::string_view request_id) const {
  if (this->request_count > this->request_keys.size()) return true;
  return std::find(this->request_keys.begin(), this->request_keys.end(),
                   HashText(request_id)) != this->request_keys.end();
}

}  // namespace dandelionscale::internal
