#include "Fleet/FleetWatch.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Write.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sardineford::fleet {

namespace {

namespace asio = boost::asio;
using log::Category;

/// A watch waits this long for each process that follows the store, within
/// bounds. A connection that has gone silent is found by the missing answer:
/// alone, a process must find it well before a change must be in force.
constexpr Milliseconds WatchWaitPerProcess{500};
constexpr Milliseconds LeastWatchWait{1'500};
constexpr Milliseconds MostWatchWait{20'000};
/// Changes that come together are read together. While they go on coming, as
/// when a fleet starts, the pause grows; it stays well below the time in which
/// a change must be in force.
constexpr Milliseconds GatherTime{250};
constexpr Milliseconds LongestGatherTime{1'000};
/// Events that are there at once, after a watch that saw none, were missed.
constexpr Milliseconds AtOnce{60};
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
    : Io(io), Store(store), Codec(codec), Servers(directory), Metrics(metrics),
      ConfigurationFeed(io), ServerFeed(io) {
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

Milliseconds FleetWatch::watchWait() const {
  Milliseconds wait = std::clamp(WatchWaitPerProcess * Processes,
                                 LeastWatchWait, MostWatchWait);
  // Watches that began together must not all be equally old.
  return std::max(LeastWatchWait, jittered(wait * 2 / 3));
}

/// Failures are values here: of two operations that are awaited together, one
/// that throws would leave the other waiting.
Awaitable<FleetWatch::Seen> FleetWatch::watchSettled(Feed &feed) {
  Seen out;
  try {
    out.Changes = co_await Store.watch(feed.Kind, feed.Revision, watchWait());
  } catch (const store::StoreError &e) {
    out.Failed = e;
  }
  co_return out;
}

/// Ends a watch that waits; all is read again then.
void FleetWatch::poke(Feed &feed, std::string_view because) {
  log::event(Category::Store, log::Level::Info, "watch_renewed",
             {{"feed", feed.Kind},
              {"revision", feed.Revision},
              {"age_ms", since(feed.Confirmed).count()},
              {"because", because}});
  feed.Poke.expires_at(MonoClock::now());
}

/// Waits for changes. Empty when it is poked instead.
Awaitable<std::optional<store::Changes>> FleetWatch::watchOnce(Feed &feed) {
  using namespace asio::experimental::awaitable_operators;
  feed.Poke.expires_at(MonoTime::max());
  feed.Peers.restart();
  feed.Waiting = true;
  std::variant<Seen, std::tuple<boost::system::error_code>> first =
      co_await (watchSettled(feed) ||
                feed.Poke.async_wait(asio::as_tuple(asio::use_awaitable)));
  feed.Waiting = false;
  if (first.index() == 1)
    co_return std::nullopt;
  Seen &seen = std::get<0>(first);
  if (seen.Failed)
    throw store::StoreError(*seen.Failed);
  co_return std::move(seen.Changes);
}

StoreView FleetWatch::view() const {
  return {ConfigurationFeed.Objects.view(), ServerFeed.Objects.view()};
}

void FleetWatch::comparePeer(Feed &feed, const FeedView &peer) {
  // A process that asks in a moment anyhow needs no peer to tell it.
  if (feed.Lost || !feed.Waiting)
    return;
  using Difference = PeerComparison::Difference;
  Difference found =
      feed.Peers.compare(feed.Objects.view(), peer, MonoClock::now());
  if (found != Difference::None)
    poke(feed, found == Difference::Newer ? "a peer knows more"
                                          : "a peer knows other things");
}

void FleetWatch::checkPeerView(const StoreView &peer) {
  comparePeer(ConfigurationFeed, peer.Configuration);
  comparePeer(ServerFeed, peer.Servers);
}

/// Reads everything, then follows the changes. Whenever a watch fails or was
/// poked, all is read again, since changes may have been missed.
Awaitable<void>
FleetWatch::follow(Feed &feed, std::function<Awaitable<uint64_t>()> readAll,
                   std::function<void(const store::Object &)> apply) {
  store::Backoff backoff(FirstRetry, LongestRetry);
  store::Backoff gather(GatherTime, LongestGatherTime);
  bool current = false;
  for (;;) {
    bool failed = false;
    try {
      if (!current) {
        feed.Revision = co_await readAll();
        current = true;
        noteAnswer(feed);
      }
      MonoTime asked = MonoClock::now();
      std::optional<store::Changes> seen = co_await watchOnce(feed);
      if (!seen) {
        current = false;
        continue;
      }
      noteAnswer(feed);
      bool missed = feed.SawNone && !seen->Objects.empty() &&
                    MonoClock::now() - asked < AtOnce;
      feed.SawNone = seen->Objects.empty();
      // The watches of a process go silent together, as a rule.
      if (missed)
        poke(&feed == &ServerFeed ? ConfigurationFeed : ServerFeed,
             "a watch missed changes");
      feed.Revision = std::max(feed.Revision, seen->Revision);
      for (const store::Object &it : seen->Objects) {
        feed.Objects.note(it);
        apply(it);
      }
      backoff.reset();
      if (MonoClock::now() - asked > LongestGatherTime)
        gather.reset();
      if (!seen->Objects.empty())
        co_await sleepFor(gather.next());
    } catch (const store::StoreError &e) {
      bool onlyHistory = e.Reason == store::Failure::HistoryExpired;
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
  ConfigurationFeed.Objects.replaceAll(list);
  for (const store::Object &it : list.Objects)
    applyConfiguration(it);
  co_return list.Revision;
}

Awaitable<uint64_t> FleetWatch::readServers() {
  store::ObjectList list = co_await Store.list(Codec.serverKind());
  ServerFeed.Objects.replaceAll(list);
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
      Servers.removeMissing(MonoClock::now());
  }
}

} // namespace sardineford::fleet
