#pragma once

#include "Fleet/KnownObjects.h"
#include "Fleet/PeerComparison.h"
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

/// Keeps the configuration in force and the directory of backend servers up
/// to date from the platform's store.
class FleetWatch {
public:
  FleetWatch(IoContext &io, store::ObjectStore &store, const FleetCodec &codec,
             Directory &directory, metrics::Metrics &metrics);

  void start();
  /// Called after a newer configuration came into force.
  void onConfiguration(std::function<void()> f) { Applied = std::move(f); }

  /// Number of processes that follow the store. The more there are, the longer
  /// each one's watch waits: some watch is always young enough to be sound,
  /// and its process tells the others of a change that theirs did not show.
  void setProcesses(unsigned n) { Processes = n == 0 ? 1 : n; }
  /// What is known of the store.
  StoreView view() const;
  /// Another process knows this. Where it differs for some time although the
  /// own watch is silent, all is read again, once for each digest.
  void checkPeerView(const StoreView &peer);

  /// Empty until one is known.
  const std::shared_ptr<const RouteTable> &routes() const { return Routes; }
  bool isLoaded() const { return Routes != nullptr && Servers.isLoaded(); }
  /// Time since the store last confirmed what is known.
  Milliseconds configurationAge() const;
  Milliseconds serversAge() const;

private:
  struct Feed {
    explicit Feed(IoContext &io) : Poke(io, MonoTime::max()) {}

    std::string Kind;
    KnownObjects Objects;
    PeerComparison Peers;
    /// A watch is waiting for an answer.
    bool Waiting = false;
    /// Expires to end a watch that waits.
    boost::asio::steady_timer Poke;
    uint64_t Revision = 0;
    MonoTime Confirmed{};
    bool Lost = false;
    /// The last watch ended without changes.
    bool SawNone = false;
  };

  Awaitable<void> follow(Feed &feed,
                         std::function<Awaitable<uint64_t>()> readAll,
                         std::function<void(const store::Object &)> apply);
  Awaitable<uint64_t> readConfiguration();
  Awaitable<uint64_t> readServers();
  void applyConfiguration(const store::Object &o);
  void applyServer(const store::Object &o);
  Awaitable<void> settleLoop();
  /// What a watch saw, or why it failed.
  struct Seen {
    store::Changes Changes;
    std::optional<store::StoreError> Failed;
  };

  Awaitable<Seen> watchSettled(Feed &feed);
  Awaitable<std::optional<store::Changes>> watchOnce(Feed &feed);
  Milliseconds watchWait() const;
  static void poke(Feed &feed, std::string_view because);
  static void comparePeer(Feed &feed, const FeedView &peer);
  void noteFailure(Feed &feed, const std::string &what);
  void noteAnswer(Feed &feed);

  IoContext &Io;
  store::ObjectStore &Store;
  const FleetCodec &Codec;
  Directory &Servers;
  metrics::Metrics &Metrics;
  std::function<void()> Applied;
  std::shared_ptr<const RouteTable> Routes;
  Feed ConfigurationFeed;
  Feed ServerFeed;
  unsigned Processes = 1;
  /// Entries that vanish before this time may have lapsed with the store.
  MonoTime DoubtUntil{};
};

} // namespace sardineford::fleet
