#pragma once

#include "Sardineford/Fleet/Directory.h"
#include "Sardineford/Fleet/FleetCodec.h"
#include "Sardineford/Metrics/Metrics.h"
#include "Sardineford/Store/ObjectStore.h"

#include <functional>

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

  /// Empty until one is known.
  const std::shared_ptr<const RouteTable> &routes() const { return Routes; }
  bool isKnown() const { return Routes != nullptr && Servers.isKnown(); }
  /// Time since the store last confirmed what is known.
  Milliseconds configurationAge() const;
  Milliseconds serversAge() const;

private:
  struct Feed {
    std::string Kind;
    uint64_t Revision = 0;
    MonoTime Confirmed{};
    bool Lost = false;
  };

  Awaitable<void> follow(Feed &feed,
                         std::function<Awaitable<uint64_t>()> readAll,
                         std::function<void(const store::Object &)> apply);
  Awaitable<uint64_t> readConfiguration();
  Awaitable<uint64_t> readServers();
  void applyConfiguration(const store::Object &o);
  void applyServer(const store::Object &o);
  Awaitable<void> settleLoop();
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
  /// Entries that vanish before this time may have lapsed with the store.
  MonoTime DoubtUntil{};
};

} // namespace sardineford::fleet
