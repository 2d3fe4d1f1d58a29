#include "Fleet/KnownObjects.h"

#include "Sardineford/Common/Random.h"

#include <algorithm>
#include <utility>

namespace sardineford::fleet {

namespace {

/// Bounds memory while no peer reports.
constexpr size_t MaxStates = 1'024;

} // namespace

void KnownObjects::recordState() {
  if (States.size() >= MaxStates)
    States.erase(States.begin());
  States.push_back(Digest);
}

std::vector<uint64_t> KnownObjects::takeStates() {
  return std::exchange(States, {});
}

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

bool KnownObjects::isNews(const store::Object &o, uint64_t revision) const {
  auto known = Versions.find(o.Name);
  uint64_t knownVersion = known == Versions.end() ? 0 : known->second;
  if (o.Version == 0)
    return knownVersion != 0 && knownVersion <= revision;
  auto removal = Removals.find(o.Name);
  return o.Version > knownVersion &&
         (removal == Removals.end() || o.Version > removal->second);
}

bool KnownObjects::hasNews(const store::Changes &changes) const {
  return std::any_of(
      changes.Objects.begin(), changes.Objects.end(),
      [&](const store::Object &it) { return isNews(it, changes.Revision); });
}

std::vector<store::Object>
KnownObjects::applyNews(const store::Changes &changes) {
  std::vector<store::Object> out;
  std::set<std::string> removed;
  for (const store::Object &it : changes.Objects) {
    if (it.Version == 0)
      removed.insert(it.Name);
    else
      removed.erase(it.Name);
    if (!isNews(it, changes.Revision))
      continue;
    update(it);
    recordState();
    out.push_back(it);
  }
  // Only after the last change: the object may have been created again.
  for (const std::string &it : removed)
    Removals[it] = std::max(Removals[it], changes.Revision);
  return out;
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
  std::vector<uint64_t> states = takeStates();
  *this = KnownObjects();
  States = std::move(states);
  for (const store::Object &it : list.Objects)
    update(it);
  recordState();
}

FeedView KnownObjects::view() const {
  return {Digest, SortedVersions.empty() ? 0 : *SortedVersions.rbegin()};
}

} // namespace sardineford::fleet
