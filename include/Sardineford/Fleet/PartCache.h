#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace sardineford::fleet {

/// Which prompt parts one engine has cached, judged from what was sent there.
/// The least recently used yield when the engine's memory is full.
class PartCache {
public:
  void setCapacity(uint64_t tokens) { Capacity = tokens; }
  void recordUse(uint64_t part, uint64_t tokens, MonoTime now);
  bool contains(uint64_t part) const { return Index.contains(part); }
  /// Time of the last use; the epoch when it is not held.
  MonoTime lastUse(uint64_t part) const;

private:
  struct Entry {
    uint64_t Part;
    uint64_t Tokens;
    MonoTime Used;
  };

  void evict();

  std::list<Entry> ByUse;
  std::unordered_map<uint64_t, std::list<Entry>::iterator> Index;
  uint64_t Held = 0;
  uint64_t Capacity = 200'000;
};

} // namespace sardineford::fleet
