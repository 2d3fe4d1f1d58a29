#include "Fleet/KnownObjects.h"

#include "Sardineford/Common/Random.h"

namespace sardineford::fleet {

void KnownObjects::update(const store::Object &o) {
  auto it = Versions.find(o.Name);
  if (it != Versions.end()) {
    Digest ^= hash64(o.Name, it->second);
    SortedVersions.erase(it->second);
    Versions.erase(it);
  }
  if (o.Version == 0)
    return;
  Versions[o.Name] = o.Version;
  SortedVersions.insert(o.Version);
  Digest ^= hash64(o.Name, o.Version);
}

void KnownObjects::replaceAll(const store::ObjectList &list) {
  *this = KnownObjects();
  for (const store::Object &it : list.Objects)
    update(it);
}

FeedView KnownObjects::view() const {
  return {Digest, SortedVersions.empty() ? 0 : *SortedVersions.rbegin()};
}

} // namespace sardineford::fleet
