#include "Fleet/KnownObjects.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>

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

bool KnownObjects::updateIfNews(const store::Object &o, uint64_t revision) {
  auto known = Versions.find(o.Name);
  uint64_t knownVersion = known == Versions.end() ? 0 : known->second;
  uint64_t &removal = Removals[o.Name];
  bool isNews = o.Version == 0
                    ? knownVersion != 0 && knownVersion <= revision
                    : o.Version > knownVersion && o.Version > removal;
  if (o.Version == 0)
    removal = std::max(removal, revision);
  if (isNews)
    update(o);
  return isNews;
}

std::vector<store::Object>
KnownObjects::changesTo(const store::ObjectList &list) const {
  std::vector<store::Object> out;
  std::set<std::string> listed;
  for (const store::Object &it : list.Objects) {
    listed.insert(it.Name);
    auto known = Versions.find(it.Name);
    if (known == Versions.end() || known->second != it.Version)
      out.push_back(it);
  }
  for (const auto &[name, version] : Versions)
    if (!listed.contains(name))
      out.push_back({"", name, 0, ""});
  return out;
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
