#include "Sardineford/Fleet/PartCache.h"

namespace sardineford::fleet {

void PartCache::recordUse(uint64_t part, uint64_t tokens, MonoTime now) {
  auto it = Index.find(part);
  if (it != Index.end()) {
    it->second->Used = now;
    ByUse.splice(ByUse.begin(), ByUse, it->second);
    return;
  }
  ByUse.push_front({part, tokens, now});
  Index[part] = ByUse.begin();
  Held += tokens;
  evict();
}

MonoTime PartCache::lastUse(uint64_t part) const {
  auto it = Index.find(part);
  return it == Index.end() ? MonoTime{} : it->second->Used;
}

void PartCache::evict() {
  while (Held > Capacity && ByUse.size() > 1) {
    Held -= ByUse.back().Tokens;
    Index.erase(ByUse.back().Part);
    ByUse.pop_back();
  }
}

} // namespace sardineford::fleet
