#pragma once

#include <cstdint>

namespace sardineford::fleet {

/// State of the objects of one kind as known to one process.
struct FeedView {
  /// Equal for equal sets of objects and versions.
  uint64_t Digest = 0;
  /// Newest version among these objects; 0 if not reported.
  uint64_t NewestVersion = 0;
};

/// State of the store as known to one process; exchanged between processes.
struct StoreView {
  FeedView Configuration;
  FeedView Servers;
};

} // namespace sardineford::fleet
