#include "Fleet/FleetWatch.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Store/Write.h"

namespace sardineford::fleet {

namespace {

using log::Category;

/// A watch waits this long. A connection that has gone silent is found by the
/// missing answer, so the wait is short against the time in which a change
/// must be in force.
constexpr Milliseconds WatchWait{1'500};
constexpr Milliseconds FirstRetry{60};
constexpr Milliseconds LongestRetry{500};
/// After a failure of the store, missing entries mean nothing for this long:
/// entries that lapsed are back about 2 s after its return.
constexpr Milliseconds DoubtTime{2'300};
constexpr Milliseconds SettleEvery{100};

Milliseconds since(MonoTime t) {
  return t == MonoTime{} ? Milliseconds(-1)
                         : toMilliseconds(MonoClock::now() - t);
}

} // namespace

FleetWatch::FleetWatch(IoContext &io, store::ObjectStore &store,
                       const FleetCodec &codec, Directory &directory,
                       metrics::Metrics &metrics)
    : Io(io), Store(store), Codec(codec), Servers(directory), Metrics(metrics) {
  ConfigurationFeed.Kind = codec.configurationKind();
  ServerFeed.Kind = codec.serverKind();
}

void FleetWatch::start() {
  spawn(Io, "watch-configuration", [this] {
    return follow(
        ConfigurationFeed, [this] { return readConfiguration(); },
        [this](const store::Object &o) { applyConfiguration(o); });
  });
  spawn(Io, "watch-servers", [this] {
    return follow(
        ServerFeed, [this] { return readServers(); },
        [this](const store::Object &o) { applyServer(o); });
  });
  spawn(Io, "settle-absences", [this] { return settleLoop(); });
}

Milliseconds FleetWatch::configurationAge() const {
  return since(ConfigurationFeed.Confirmed);
}

Milliseconds FleetWatch::serversAge() const {
  return since(ServerFeed.Confirmed);
}

void FleetWatch::noteFailure(Feed &feed, const std::string &what) {
  DoubtUntil = MonoClock::now() + DoubtTime;
  Metrics.count("sardineford_store_failures_total", {{"feed", feed.Kind}});
  if (!feed.Lost)
    log::event(Category::Store, log::Level::Warning, "dependency_lost",
               {{"feed", feed.Kind},
                {"revision", feed.Revision},
                {"age_ms", since(feed.Confirmed).count()},
                {"error", what}});
  feed.Lost = true;
}

void FleetWatch::noteAnswer(Feed &feed) {
  feed.Confirmed = MonoClock::now();
  if (!feed.Lost)
    return;
  feed.Lost = false;
  DoubtUntil = MonoClock::now() + DoubtTime;
  log::event(Category::Store, log::Level::Info, "dependency_regained",
             {{"feed", feed.Kind}, {"revision", feed.Revision}});
}

/// Reads everything, then follows the changes. Whenever a watch fails, all is
/// read again, since changes may have been missed.
Awaitable<void>
FleetWatch::follow(Feed &feed, std::function<Awaitable<uint64_t>()> readAll,
                   std::function<void(const store::Object &)> apply) {
  store::Backoff backoff(FirstRetry, LongestRetry);
  bool current = false;
  for (;;) {
    bool failed = false;
    try {
      if (!current) {
        feed.Revision = co_await readAll();
        current = true;
        noteAnswer(feed);
      }
      store::Changes seen =
          co_await Store.watch(feed.Kind, feed.Revision, WatchWait);
      noteAnswer(feed);
      feed.Revision = std::max(feed.Revision, seen.Revision);
      for (const store::Object &it : seen.Objects)
        apply(it);
      backoff.reset();
    } catch (const store::StoreError &e) {
      bool onlyHistory = e.Reason == store::Failure::HistoryGone;
      if (!onlyHistory)
        noteFailure(feed, e.what());
      failed = !onlyHistory;
      current = false;
    }
    if (failed)
      co_await sleepFor(backoff.next());
  }
}

Awaitable<uint64_t> FleetWatch::readConfiguration() {
  store::ObjectList list = co_await Store.list(Codec.configurationKind());
  for (const store::Object &it : list.Objects)
    applyConfiguration(it);
  co_return list.Revision;
}

Awaitable<uint64_t> FleetWatch::readServers() {
  store::ObjectList list = co_await Store.list(Codec.serverKind());
  std::vector<ServerEntry> entries;
  for (const store::Object &it : list.Objects) {
    std::optional<ServerEntry> e = Codec.decodeServer(it);
    if (e)
      entries.push_back(std::move(*e));
  }
  Servers.replaceAll(entries, DoubtUntil, MonoClock::now());
  co_return list.Revision;
}

void FleetWatch::applyConfiguration(const store::Object &o) {
  if (o.Name != Codec.configurationName() || o.Version == 0)
    return;
  std::optional<Configuration> c = Codec.decodeConfiguration(o);
  if (!c)
    return;
  uint64_t inForce = Routes ? Routes->config().Version : 0;
  bool newer = !Routes || c->Version > inForce;
  log::event(Category::Config, log::Level::Info, "configuration",
             {{"version", c->Version},
              {"revision", o.Version},
              {"in_force", inForce},
              {"outcome", newer ? "applied" : "ignored, not newer"}});
  if (!newer)
    return;
  Routes = std::make_shared<const RouteTable>(
      std::make_shared<const Configuration>(std::move(*c)));
  Metrics.count("sardineford_configurations_applied_total", {});
  if (Applied)
    Applied();
}

void FleetWatch::applyServer(const store::Object &o) {
  std::optional<ServerEntry> e;
  if (o.Version != 0)
    e = Codec.decodeServer(o);
  if (e)
    Servers.put(*e);
  else
    Servers.remove(o.Name, DoubtUntil, MonoClock::now());
}

Awaitable<void> FleetWatch::settleLoop() {
  for (;;) {
    co_await sleepFor(SettleEvery);
    // While the store is away nothing can be told of missing entries.
    if (!ServerFeed.Lost)
      Servers.settleAbsences(MonoClock::now());
  }
}

} // namespace sardineford::fleet
