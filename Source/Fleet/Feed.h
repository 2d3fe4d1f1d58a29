#pragma once

#include "Fleet/KnownObjects.h"
#include "Fleet/PeerComparison.h"
#include "Fleet/WatchDuty.h"
#include "Sardineford/Fleet/StoreView.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardineford::fleet {

/// What a process knows of the objects of one kind, and how it learns more.
struct Feed {
  std::string Kind;
  KnownObjects Objects;
  /// What the first read found and what peers have published since.
  KnownObjects Published;
  PeerComparison Comparison;
  WatchDuty Duty;
  /// Waiting for changes, from the store or from peers.
  bool IsWatching = false;
  uint64_t Revision = 0;
  /// Last era that the store has named to this process or to a watcher.
  std::optional<uint64_t> Era;
  /// Time of the last answer of the store.
  MonoTime ConfirmedAt{};
  /// Time at which the store has confirmed to a peer what this process knows.
  MonoTime ConfirmedToPeerAt{};
  /// The last call to the store failed.
  bool Lost = false;
  /// The store has rejected the last call because of its rate limit. It answers
  /// others, and servers can write their entries.
  bool RateLimited = false;
  /// Versions of the objects that could not be decoded, by name.
  std::map<std::string, uint64_t> Skipped;
  /// The last watch call returned no changes.
  bool LastWatchEmpty = false;
};

/// Notes the era of a revision that the store or a watcher has named. Returns
/// whether the store was restored from an older copy since the last one.
bool noteEra(Feed &feed, uint64_t revision);

/// Returns whether a revision is of an era that has ended. What it stands for
/// says nothing of the store any more.
bool isOfEndedEra(const Feed &feed, uint64_t revision);

/// Records the report of a peer that has had an answer of the store. It
/// confirms what this process knows only if the process knows as much as the
/// peer. To be called after compareWithPeer.
void recordConfirmation(Feed &feed, const FeedView &peer, MonoTime now);

/// Returns the time at which the store has confirmed what the process knows.
MonoTime confirmedAt(const Feed &feed);

/// Returns what the process reports to its peers.
FeedView viewOf(const Feed &feed, MonoTime now);

/// Returns whether the process learns changes from its peers at this time.
bool learnsFromPeers(const Feed &feed, MonoTime now);

/// Records changes that a watcher has published and returns the news. Earlier
/// differences from peers are settled only if the process then knows the same
/// as the watcher: it may have missed an earlier change.
std::vector<store::Object> applyPublished(Feed &feed,
                                          const PublishedChanges &published);

/// Records the result of a read and returns the changes, none for the first.
store::Changes applyList(Feed &feed, const store::ObjectList &list);

/// Compares what the process knows with what a peer reports. All objects are to
/// be read again if a difference is returned.
PeerComparison::Difference compareWithPeer(Feed &feed, const FeedView &peer,
                                           MonoTime now);

} // namespace sardineford::fleet
