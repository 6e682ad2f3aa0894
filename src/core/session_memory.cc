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

void SessionMemory::RecordEngine(std::uint64_t session_key,
                                 std::uint64_t engine_hash) {
  WarmEngines* engines = this->Promote(session_key);
  if (engines == nullptr) {
    this->RotateIfFull();
    engines = &this->young_generation[session_key];
  }
  engines->Touch(engine_hash);
}

void SessionMemory::RemoveEngine(std::uint64_t session_key,
                                 std::uint64_t engine_hash) {
  WarmEngines* engines = this->Promote(session_key);
  if (engines != nullptr) engines->Remove(engine_hash);
}

void SessionMemory::InsertIfAbsent(std::uint64_t session_key,
                                   const WarmEngines& engines) {
  if (this->Promote(session_key) != nullptr) return;
  this->RotateIfFull();
  this->young_generation[session_key] = engines;
}

void SessionMemory::ForEach(
    const std::function<void(std::uint64_t, const WarmEngines&)>& visit) const {
  for (const auto& [key, engines] : this->young_generation) visit(key, engines);
  for (const auto& [key, engines] : this->old_generation) {
    if (!this->young_generation.contains(key)) visit(key, engines);
  }
}

WarmEngines* SessionMemory::Promote(std::uint64_t session_key) {
  auto found = this->young_generation.find(session_key);
  if (found != this->young_generation.end()) return &found->second;
  auto node = this->old_generation.extract(session_key);
  if (node.empty()) return nullptr;
  this->RotateIfFull();
  return &this->young_generation.insert(std::move(node)).position->second;
}

void SessionMemory::RotateIfFull() {
  if (this->young_generation.size() < this->generation_capacity) return;
  this->old_generation = std::move(this->young_generation);
  this->young_generation.clear();
}

}  // namespace dandelionscale
