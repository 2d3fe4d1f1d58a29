#pragma once

#include "Fleet/Feed.h"
#include "Fleet/MassExpiry.h"
#include "Fleet/RouteHistory.h"
#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Fleet/FleetCodec.h"
#include "Sardineford/Fleet/StoreView.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Store/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string_view>
#include <variant>

namespace sardineford::fleet {

/// Keeps the active configuration and the directory of backend servers in sync
/// with the platform's store.
class FleetWatch {
public:
  FleetWatch(IoContext &io, store::ObjectStore &store, const FleetCodec &codec,
             Directory &directory, metrics::Metrics &metrics);

  void start();
  /// Sets the function to call after a newer configuration was applied.
  void onConfiguration(std::function<void()> f) {
    OnConfiguration = std::move(f);
  }

  /// Sets the position of this process among all processes, which decides
  /// whether it watches the store. The watch timeout grows with the number of
  /// watchers: among many, one always has a watch that started recently enough
  /// to be reliable, and that process reports to its peers the changes that
  /// their watches missed.
  void setPosition(FleetPosition position);
  /// Lets a starting process wait for its position before it watches the store,
  /// since most processes of a large fleet do not. For use before start().
  void expectPosition() { AwaitsPosition = true; }
  /// Sets the function that sends changes to the peers.
  void onChanges(std::function<void(const PublishedChanges &)> f) {
    Publish = std::move(f);
  }
  /// Sets the function to call when the store was restored from an older copy:
  /// what this system had written since is gone.
  void onRestore(std::function<void()> f) { OnRestore = std::move(f); }
  /// Applies changes that a watcher received, unless this process watches the
  /// store itself. Returns whether any was news.
  bool applyChanges(const PublishedChanges &published);

  /// Returns the state of the store as known to this process.
  StoreView view() const;
  /// Compares the local store view with that of a peer. If they differ for
  /// longer than a delay while the local watch receives no changes, reads all
  /// objects again, once for each digest.
  void checkPeerView(const StoreView &peer);

  /// Null until a configuration is applied.
  const std::shared_ptr<const RouteTable> &routes() const { return Routes; }
  const RouteHistory &routeHistory() const { return History; }
  bool isLoaded() const { return Routes != nullptr && Servers.isLoaded(); }
  /// Time since the store has confirmed what this process knows, to it or to a
  /// peer that knows the same; -1 ms before the first answer.
  Milliseconds configurationAge() const;
  Milliseconds serversAge() const;
  /// Reads the servers again and waits until the store has answered or the
  /// timeout is over. Returns at once while the store is known to be lost.
  Awaitable<void> confirmServers(Milliseconds timeout);

private:
  /// A feed whose waiting for changes can be interrupted.
  struct WatchedFeed : Feed {
    explicit WatchedFeed(IoContext &io) : Interrupt(io, MonoTime::max()) {}

    /// Expires to interrupt the waiting.
    boost::asio::steady_timer Interrupt;
  };

  Awaitable<void> follow(WatchedFeed &feed,
                         std::function<Awaitable<uint64_t>()> readAll);
  void applyNews(const WatchedFeed &feed,
                 const std::vector<store::Object> &news);
  /// Logs and measures how old changes are that this process learns now. From
  /// the store it is at most the age of the last answer.
  void recordChangeAge(const WatchedFeed &feed, size_t objects,
                       std::string_view source, Milliseconds age);
  void recordMissing(const std::vector<store::Object> &changes);
  Awaitable<uint64_t> readConfiguration();
  Awaitable<uint64_t> readServers();
  template <class F>
  auto decodeOnce(WatchedFeed &feed, const store::Object &o, F decode);
  std::optional<ServerEntry> decodeServer(const store::Object &o);
  void applyConfiguration(const store::Object &o);
  void applyServer(const store::Object &o);
  Awaitable<void> removeMissingLoop();
  /// Changes that a watch call returned, or the error.
  struct WatchResult {
    store::Changes Changes;
    std::optional<store::StoreError> Error;
  };

  Awaitable<WatchResult> watchWithoutThrow(WatchedFeed &feed);
  Awaitable<std::optional<store::Changes>> watchOnce(WatchedFeed &feed);
  Awaitable<void> waitForPeers(WatchedFeed &feed);
  Awaitable<void> waitForPosition() const;
  Milliseconds remainingGrace() const;
  StoreAbsence storeAbsence(const WatchedFeed &feed, MonoTime until) const;
  void extendGraceAfter(StoreAbsence absence);
  /// Keeps entries that go missing until `end`, if that is later than before.
  void extendGrace(MonoTime end, std::string_view because);
  void publish(WatchedFeed &feed, store::Changes changes);
  Awaitable<void> publishUnlessPublished(WatchedFeed &feed,
                                         PublishedChanges changes);
  Milliseconds watchTimeout(const WatchedFeed &feed) const;
  static void restartWatch(WatchedFeed &feed, std::string_view reason);
  static void comparePeer(WatchedFeed &feed, const FeedView &peer);
  void recordPeerAnswer(WatchedFeed &feed, const FeedView &peer, unsigned rank,
                        bool hasReadStore);
  void recordFailure(WatchedFeed &feed, const std::string &error);
  void recordRateLimit(WatchedFeed &feed);
  void recordCut(WatchedFeed &feed, const std::string &error);
  void recordAnswer(WatchedFeed &feed);
  void recordEra(WatchedFeed &feed, uint64_t revision, std::string_view source);
  void recordListEra(WatchedFeed &feed, const store::ObjectList &list);

  IoContext &Io;
  store::ObjectStore &Store;
  const FleetCodec &Codec;
  Directory &Servers;
  metrics::Metrics &Metrics;
  std::function<void()> OnConfiguration;
  std::function<void()> OnRestore;
  /// Last era of which OnRestore was told.
  uint64_t RestoredEra = 0;
  std::shared_ptr<const RouteTable> Routes;
  RouteHistory History;
  WatchedFeed ConfigurationFeed;
  WatchedFeed ServerFeed;
  std::function<void(const PublishedChanges &)> Publish;
  FleetPosition Position;
  /// The position is expected and has not arrived yet.
  bool AwaitsPosition = false;
  /// Entries that go missing before this time may have expired during a store
  /// outage.
  MonoTime GraceEnd{};
  MassExpiry ExpiredTogether;
  /// Servers that went missing together are in their grace period.
  bool ManyMissing = false;
};

} // namespace sardineford::fleet
