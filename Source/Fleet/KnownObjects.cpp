#include "Fleet/KnownObjects.h"

#include "Sardineford/Common/Random.h"

namespace sardineford::fleet {

void KnownObjects::note(const store::Object &o) {
  auto it = Versions.find(o.Name);
  if (it != Versions.end()) {
    Digest ^= hash64(o.Name, it->second);
    Ordered.erase(it->second);
    Versions.erase(it);
  }
  if (o.Version == 0)
    return;
  Versions[o.Name] = o.Version;
  Ordered.insert(o.Version);
  Digest ^= hash64(o.Name, o.Version);
}

void KnownObjects::replaceAll(const store::ObjectList &list) {
  *this = KnownObjects();
  for (const store::Object &it : list.Objects)
    note(it);
}

FeedView KnownObjects::view() const {
  return {Digest, Ordered.empty() ? 0 : *Ordered.rbegin()};
}

} // namespace sardineford::fleet
