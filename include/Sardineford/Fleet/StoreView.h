#pragma once

#include <cstdint>

namespace sardineford::fleet {

/// What one process knows of the objects of one kind.
struct FeedView {
  /// Equal where the same objects and versions are known.
  uint64_t Digest = 0;
  /// Newest version among these objects; 0 where it is not told.
  uint64_t NewestVersion = 0;
};

/// What one process knows of the store, as processes tell one another.
struct StoreView {
  FeedView Configuration;
  FeedView Servers;
};

} // namespace sardineford::fleet
