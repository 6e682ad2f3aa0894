#include "dandelionscale/runtime/service_registry.h"

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale {

Awaitable<void> ServiceRegistry::Start() {
  for (Entry& entry : this->entries) {
    if (entry.hooks.start) co_await entry.hooks.start();
    Logger::Debug("service_started", {{"service", entry.name}});
  }
}

Awaitable<void> ServiceRegistry::Drain() {
  for (auto entry = this->entries.rbegin(); entry != this->entries.rend();
       ++entry) {
    if (entry->hooks.drain) co_await entry->hooks.drain();
    Logger::Debug("service_drained", {{"service", entry->name}});
  }
}

void ServiceRegistry::Stop() {
  for (auto entry = this->entries.rbegin(); entry != this->entries.rend();
       ++entry) {
    if (entry->hooks.stop) entry->hooks.stop();
  }
}

}  // namespace dandelionscale
