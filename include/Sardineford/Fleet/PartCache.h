#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace sardineford::fleet {

/// Estimates which prompt parts an engine has cached from the requests that
/// were sent to the engine. Evicts the least recently used parts when the parts
/// exceed the capacity of the engine's KV cache.
class PartCache {
public:
  void setCapacity(uint64_t tokens) { CapacityTokens = tokens; }
  void recordUse(uint64_t part, uint64_t tokens, MonoTime now);
  bool contains(uint64_t part) const { return Index.contains(part); }
  /// Returns the time of the last use, or the epoch if the part is not cached.
  MonoTime lastUse(uint64_t part) const;

private:
  struct Entry {
    uint64_t Part;
    uint64_t Tokens;
    MonoTime LastUse;
  };

  void evict();

  /// Most recently used first.
  std::list<Entry> ByRecency;
  std::unordered_map<uint64_t, std::list<Entry>::iterator> Index;
  uint64_t CachedTokens = 0;
  uint64_t CapacityTokens = 200'000;
};

} // namespace sardineford::fleet
