#pragma once

#include "Sardineford/Common/Time.h"
#include "Sardineford/Store/ObjectStore.h"

#include <cstdint>
#include <optional>

namespace sardineford::fleet {

/// State of the objects of one kind as known to one process.
struct FeedView {
  /// Equal for equal sets of objects and versions.
  uint64_t Digest = 0;
  /// Newest version among these objects; 0 if not reported.
  uint64_t NewestVersion = 0;
  /// Time since the store's last answer; empty if the process does not watch
  /// the store or has lost it.
  std::optional<Milliseconds> AnswerAge;
  /// The process watches the store, also while that does not answer.
  bool Watches = false;
};

/// Changes of one feed that a watcher received and sends to the others.
struct PublishedChanges {
  bool IsConfiguration = false;
  store::Changes Changes;
  /// Entries that went missing may have expired in an outage of the store and
  /// are kept for this time.
  Milliseconds MissingGrace{0};
  /// What the watcher knows after these changes; a digest of 0 if not told.
  FeedView Publisher = {};
  /// Time for which the watcher has known them, without the way from there.
  Milliseconds Age{0};
};

/// State of the store as known to one process; exchanged between processes.
struct StoreView {
  FeedView Configuration;
  FeedView Servers;
  /// Position of the process among all processes.
  unsigned Rank = 0;

  /// Returns whether the process has read the store since it started. The
  /// store may hold no objects of one kind.
  bool hasReadStore() const {
    return Configuration.Digest != 0 || Servers.Digest != 0;
  }
};

} // namespace sardineford::fleet
