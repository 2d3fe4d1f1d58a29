#include "Sardineford/Fleet/PartCache.h"

namespace sardineford::fleet {

void PartCache::recordUse(uint64_t part, uint64_t tokens, MonoTime now) {
  auto it = Index.find(part);
  if (it != Index.end()) {
    it->second->LastUse = now;
    ByRecency.splice(ByRecency.begin(), ByRecency, it->second);
    return;
  }
  ByRecency.push_front({part, tokens, now});
  Index[part] = ByRecency.begin();
  CachedTokens += tokens;
  evict();
}

MonoTime PartCache::lastUse(uint64_t part) const {
  auto it = Index.find(part);
  return it == Index.end() ? MonoTime{} : it->second->LastUse;
}

void PartCache::evict() {
  while (CachedTokens > CapacityTokens && ByRecency.size() > 1) {
    CachedTokens -= ByRecency.back().Tokens;
    Index.erase(ByRecency.back().Part);
    ByRecency.pop_back();
  }
}

} // namespace sardineford::fleet
