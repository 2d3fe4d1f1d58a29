#pragma once

#include "Sardineford/Fleet/StoreView.h"
#include "Sardineford/Store/ObjectStore.h"

#include <map>
#include <set>
#include <string>

namespace sardineford::fleet {

/// Which versions of the objects of one kind a process knows.
class KnownObjects {
public:
  /// Takes over an object that has changed, or its removal.
  void note(const store::Object &o);
  void replaceAll(const store::ObjectList &list);
  FeedView view() const;

private:
  std::map<std::string, uint64_t> Versions;
  /// The same versions in order; the store gives each only once.
  std::set<uint64_t> Ordered;
  uint64_t Digest = 0;
};

} // namespace sardineford::fleet
