#pragma once

#include "Sardineford/Common/Time.h"

#include <map>

namespace sardineford::fleet {

/// Position of a process in an order of all running processes on which all
/// agree that know the same peers.
struct FleetPosition {
  unsigned Processes = 1;
  unsigned Rank = 0;
};

/// What the reports of the watchers tell a process that does not watch the
/// store itself.
enum class StoreAbsence {
  /// The store was not away, as far as known. That no watcher has had an answer
  /// for a time does not show that it was: a change ends all watches together.
  None,
  /// Some watchers have lost the store, and no other has had an answer.
  Possible,
  /// All watchers that report have lost the store.
  Certain,
};

/// Decides whether a process watches the store. In a small fleet every process
/// does. In a large one, the first few do and the others learn the changes from
/// them, so that calls to the store do not grow with the fleet.
///
/// A process without reports of a watcher with an answer of the store, or of no
/// watcher at all, becomes a substitute. The delays are spread so that a whole
/// fleet makes few attempts a second while the store is down. A substitute
/// stops when a process before it has an answer.
class WatchDuty {
public:
  void setPosition(FleetPosition position) { Position = position; }
  /// Gives the watchers of a starting fleet time to report, before this process
  /// becomes a substitute. `share` is as below.
  void expectWatchers(MonoTime now, double share);
  /// Records the report of a peer of this rank that watches and had an answer
  /// of the store. `share` is a random number in [0, 1) that spreads the
  /// substitutes over time.
  void recordPeerAnswer(unsigned rank, MonoTime answeredAt, MonoTime now,
                        double share);

  /// Records the report of a peer of this rank that watches, whether it had an
  /// answer or not.
  void recordWatcher(unsigned rank, MonoTime now, double share);

  /// Records the report of a peer of this rank that watches and has lost the
  /// store.
  void recordLoss(unsigned rank, MonoTime now);

  bool mustWatch(MonoTime now) const;
  /// Returns whether others learn changes from this process.
  bool watchesForOthers(MonoTime now) const {
    return isLarge() && mustWatch(now);
  }
  /// Returns whether this process sends the changes that it receives to the
  /// others: the first watchers that have not lost the store. More than one
  /// does, because datagrams may be lost.
  bool mustPublish(MonoTime now) const;
  /// Time after which this process sends a change that it received from the
  /// store and that no other watcher has sent: those before it may be dead.
  Milliseconds publishPatience() const;
  /// Returns the number of processes that watch at the same time.
  unsigned watchers() const;
  /// Returns the part of the usual watch timeout after which the first watch
  /// after a change ends, which ends the watches of all watchers together: so
  /// the store is heard from in between. 1 for a process of a small fleet.
  double firstWatchPart() const;
  /// Time of the newest answer that a peer had; the epoch before the first.
  MonoTime peerAnsweredAt() const { return PeerAnsweredAt; }
  /// Returns whether no peer has had an answer for longer than usual. False
  /// before the first answer.
  bool isStoreSilent(MonoTime now) const;
  /// Returns whether all watchers that have reported lately have lost the
  /// store.
  bool haveWatchersLostStore(MonoTime now) const;
  /// Returns what is known of the time since the last answer of a peer, at a
  /// time until which there was no further one.
  StoreAbsence storeAbsence(MonoTime until) const;

private:
  bool isLarge() const;
  bool isSubstitute(MonoTime now) const;
  /// Returns whether the watchers before this process have stopped reporting.
  bool areWatchersSilent(MonoTime now) const {
    return now >= SubstituteIfSilentAt;
  }
  /// Spreads the substitutes of a fleet over time.
  Milliseconds substituteSpread(double share) const;

  FleetPosition Position;
  /// Time of the newest answer that a peer had.
  MonoTime PeerAnsweredAt{};
  /// This process becomes a substitute at this time; from the beginning until
  /// the first report of a watcher.
  MonoTime SubstituteAt{};
  /// The same if no watcher reports until then, with an answer or without.
  MonoTime SubstituteIfSilentAt = MonoTime::max();
  /// Last reports of peers that watch and have not lost the store, by rank.
  std::map<unsigned, MonoTime> WatcherReports;
  /// Last reports of peers that watch and have lost the store, by rank.
  std::map<unsigned, MonoTime> LossReports;
};

} // namespace sardineford::fleet
