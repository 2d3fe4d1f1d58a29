#pragma once

#include "Sardineford/Fleet/StoreView.h"
#include "Sardineford/Store/ObjectStore.h"

#include <map>
#include <set>
#include <string>

namespace sardineford::fleet {

/// Versions of the objects of one kind that a process knows.
class KnownObjects {
public:
  /// Records a changed or removed object.
  void update(const store::Object &o);
  void replaceAll(const store::ObjectList &list);
  FeedView view() const;

private:
  std::map<std::string, uint64_t> Versions;
  /// The same versions, sorted; the store assigns each version only once.
  std::set<uint64_t> SortedVersions;
  uint64_t Digest = 0;
};

} // namespace sardineford::fleet
