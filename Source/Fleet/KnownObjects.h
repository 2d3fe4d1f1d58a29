#pragma once

#include "Sardineford/Fleet/StoreView.h"
#include "Sardineford/Store/ObjectStore.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardineford::fleet {

/// Versions of the objects of one kind that a process knows.
class KnownObjects {
public:
  /// Records a changed or removed object.
  void update(const store::Object &o);
  /// Records the changes of a watch, which are in their order, and returns
  /// those that are news. Others may already be known from a watch of this
  /// process or of a peer.
  std::vector<store::Object> applyNews(const store::Changes &changes);
  /// Returns whether any of these changes would be news.
  bool hasNews(const store::Changes &changes) const;
  /// Returns the changes that lead to the list.
  std::vector<store::Object> changesTo(const store::ObjectList &list) const;
  void replaceAll(const store::ObjectList &list);
  bool contains(const std::string &name) const {
    return Versions.contains(name);
  }
  FeedView view() const;
  /// Returns the digests of the states since the last call, oldest first. All
  /// processes that receive the same changes pass through the same states.
  std::vector<uint64_t> takeStates();

private:
  bool isNews(const store::Object &o, uint64_t revision) const;
  void recordState();

  std::map<std::string, uint64_t> Versions;
  /// The same versions, sorted; the store assigns each version only once.
  std::set<uint64_t> SortedVersions;
  uint64_t Digest = 0;
  std::vector<uint64_t> States;
  /// Revisions of the removals since the last list, by name: datagrams may
  /// overtake each other.
  std::map<std::string, uint64_t> Removals;
};

} // namespace sardineford::fleet
