#include "dandelionscale/core/session_memory.h"

#include <algorithm>

namespace dandelionscale {

std::span<const std::uint64_t> WarmEngines::All() const {
  auto end = std::find(this->hashes.begin(), this->hashes.end(), 0);
  return {this->hashes.begin(), end};
}

void WarmEngines::Touch(std::uint64_t hash) {
  auto found = std::find(this->hashes.begin(), this->hashes.end(), hash);
  if (found == this->hashes.end()) found = this->hashes.end() - 1;
  std::rotate(this->hashes.begin(), found, found + 1);
  this->hashes.front() = hash;
}

void WarmEngines::Remove(std::uint64_t hash) {
  auto found = std::find(this->hashes.begin(), this->hashes.end(), hash);
  if (found == this->hashes.end()) return;
  std::rotate(found, found + 1, this->hashes.end());
  this->hashes.back() = 0;
}

const WarmEngines* SessionMemory::Find(std::uint64_t session_key) {
  return this->Promote(session_key);
}

void SessionMemory::Remember(std::uint64_t session_key,
                             std::uint64_t engine_hash) {
  WarmEngines* engines = this->Promote(session_key);
  if (engines == nullptr) {
    this->RotateIfFull();
    engines = &this->young[session_key];
  }
  engines->Touch(engine_hash);
}

void SessionMemory::Forget(std::uint64_t session_key,
                           std::uint64_t engine_hash) {
  WarmEngines* engines = this->Promote(session_key);
  if (engines != nullptr) engines->Remove(engine_hash);
}

void SessionMemory::Adopt(std::uint64_t session_key,
                          const WarmEngines& engines) {
  if (this->Promote(session_key) != nullptr) return;
  this->RotateIfFull();
  this->young[session_key] = engines;
}

void SessionMemory::ForEach(
    const std::function<void(std::uint64_t, const WarmEngines&)>& visit) const {
  for (const auto& [key, engines] : this->young) visit(key, engines);
  for (const auto& [key, engines] : this->old) {
    if (!this->young.contains(key)) visit(key, engines);
  }
}

WarmEngines* SessionMemory::Promote(std::uint64_t session_key) {
  auto found = this->young.find(session_key);
  if (found != this->young.end()) return &found->second;
  auto aged = this->old.extract(session_key);
  if (aged.empty()) return nullptr;
  this->RotateIfFull();
  return &this->young.insert(std::move(aged)).position->second;
}

void SessionMemory::RotateIfFull() {
  if (this->young.size() < this->generation_capacity) return;
  this->old = std::move(this->young);
  this->young.clear();
}

}  // namespace dandelionscale
