#include "Fleet/FleetWatch.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Version.h"
#include "Sardineford/Store/Write.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sardineford::fleet {

namespace {

namespace asio = boost::asio;
using log::Category;

/// The watch timeout is this long for each process that watches the store,
/// within bounds. A dead connection is detected by the missing answer to a
/// watch: a process without peers must detect it well before the deadline for
/// applying a change.
constexpr Milliseconds WatchTimeoutPerProcess{500};
constexpr Milliseconds MinWatchTimeout{1'500};
constexpr Milliseconds MaxWatchTimeout{20'000};
/// Delay after changes, so that changes in quick succession are read in one
/// batch. The delay grows while changes keep arriving, as when a fleet starts,
/// but stays well below the deadline for applying a change.
constexpr Milliseconds BatchDelay{250};
constexpr Milliseconds MaxBatchDelay{1'000};
/// Changes that a watch returns within this time, right after a watch without
/// changes, were missed by the earlier watch.
constexpr Milliseconds ImmediateAnswerTime{60};
constexpr Milliseconds InitialRetryDelay{60};
constexpr Milliseconds MaxRetryDelay{500};
/// Grace period of missing entries after a store failure: expired entries
/// reappear about 2 s after the store's recovery.
constexpr Milliseconds MissingGracePeriod{2'300};
/// Servers write their entries about once a second, and an entry expires after
/// three intervals: none expires in a shorter outage.
constexpr Milliseconds MinExpiryOutage{2'000};
/// Grace period of entries that went missing together without a known outage.
/// An outage shows within this time, as answers of the store are missing. It is
/// shorter than the time for which stopped servers without an entry serve on.
constexpr Milliseconds MassExpiryGracePeriod{1'700};
constexpr Milliseconds RemoveMissingInterval{100};
/// The list of the processes is read within this time of the start, unless the
/// store fails.
constexpr Milliseconds MaxPositionWait{800};
constexpr Milliseconds PositionCheckInterval{50};
constexpr Milliseconds ConfirmationCheckInterval{5};
/// Interval at which a process that learns changes from its peers checks
/// whether it has to watch the store.
constexpr Milliseconds DutyCheckInterval{100};

Milliseconds timeSince(MonoTime t) {
  return t == MonoTime{} ? Milliseconds(-1)
                         : toMilliseconds(MonoClock::now() - t);
}

double randomShare() {
  return std::uniform_real_distribution<double>(0, 1)(randomGenerator());
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
    return follow(ConfigurationFeed, [this] { return readConfiguration(); });
  });
  spawn(Io, "watch-servers", [this] {
    return follow(ServerFeed, [this] { return readServers(); });
  });
  spawn(Io, "remove-missing", [this] { return removeMissingLoop(); });
}

Milliseconds FleetWatch::configurationAge() const {
  return timeSince(confirmedAt(ConfigurationFeed));
}

Milliseconds FleetWatch::serversAge() const {
  return timeSince(confirmedAt(ServerFeed));
}

Awaitable<void> FleetWatch::confirmServers(Milliseconds timeout) {
  MonoTime startedAt = MonoClock::now();
  if (ServerFeed.IsWatching)
    restartWatch(ServerFeed, "servers must be confirmed");
  while (!ServerFeed.Lost && ServerFeed.ConfirmedAt < startedAt &&
         MonoClock::now() - startedAt < timeout)
    co_await sleepFor(ConfirmationCheckInterval);
}

void FleetWatch::setPosition(FleetPosition position) {
  Position = position;
  ConfigurationFeed.Duty.setPosition(position);
  ServerFeed.Duty.setPosition(position);
  if (!std::exchange(AwaitsPosition, false))
    return;
  for (WatchedFeed *it : {&ConfigurationFeed, &ServerFeed})
    it->Duty.expectWatchers(MonoClock::now(), randomShare());
}

Awaitable<void> FleetWatch::waitForPosition() const {
  MonoTime end = MonoClock::now() + MaxPositionWait;
  while (AwaitsPosition && MonoClock::now() < end)
    co_await sleepFor(PositionCheckInterval);
}

Milliseconds FleetWatch::remainingGrace() const {
  return std::max(Milliseconds(0), toMilliseconds(GraceEnd - MonoClock::now()));
}

void FleetWatch::recordFailure(WatchedFeed &feed, const std::string &error) {
  GraceEnd = MonoClock::now() + MissingGracePeriod;
  Metrics.count("sardineford_store_failures_total", {{"feed", feed.Kind}});
  if (!feed.Lost)
    log::event(Category::Store, log::Level::Warning, "dependency_lost",
               {{"feed", feed.Kind},
                {"revision", store::revisionOf(feed.Revision)},
                {"age_ms", timeSince(feed.ConfirmedAt).count()},
                {"error", error}});
  feed.Lost = true;
}

/// A store that is well may cut off a watch that is waiting; the read that
/// follows shows whether it is away. It may have been away while the watch was
/// waiting if nobody has had an answer for a time.
void FleetWatch::recordCut(WatchedFeed &feed, const std::string &error) {
  MonoTime now = MonoClock::now();
  MonoTime answeredAt = std::max(feed.ConfirmedAt, feed.Duty.peerAnsweredAt());
  Metrics.count("sardineford_watches_cut_total", {{"feed", feed.Kind}});
  log::event(Category::Store, log::Level::Info, "watch_cut",
             {{"feed", feed.Kind},
              {"revision", store::revisionOf(feed.Revision)},
              {"age_ms", toMilliseconds(now - answeredAt).count()},
              {"error", error}});
  if (now - answeredAt > MinExpiryOutage)
    extendGrace(now + MissingGracePeriod, "a watch was cut off");
}

void FleetWatch::recordRateLimit(WatchedFeed &feed) {
  Metrics.count("sardineford_store_rejections_total", {{"feed", feed.Kind}});
  if (!std::exchange(feed.RateLimited, true))
    log::event(Category::Store, log::Level::Warning, "store_rate_limited",
               {{"feed", feed.Kind},
                {"revision", store::revisionOf(feed.Revision)},
                {"age_ms", timeSince(feed.ConfirmedAt).count()}});
}

void FleetWatch::recordAnswer(WatchedFeed &feed) {
  feed.ConfirmedAt = MonoClock::now();
  feed.RateLimited = false;
  if (!feed.Lost)
    return;
  feed.Lost = false;
  GraceEnd = MonoClock::now() + MissingGracePeriod;
  if (&feed == &ServerFeed)
    Servers.keepMissing(GraceEnd);
  log::event(
      Category::Store, log::Level::Info, "dependency_regained",
      {{"feed", feed.Kind}, {"revision", store::revisionOf(feed.Revision)}});
}

/// Keeps what the copy lacks for a time, since the servers write themselves
/// again. The configuration in force stays until a newer one comes.
void FleetWatch::recordEra(WatchedFeed &feed, uint64_t revision,
                           std::string_view source) {
  if (!noteEra(feed, revision))
    return;
  MonoTime now = MonoClock::now();
  extendGrace(now + MissingGracePeriod, "the store was restored");
  Servers.keepMissing(GraceEnd);
  Metrics.count("sardineford_store_restores_total", {{"feed", feed.Kind}});
  log::event(Category::Store, log::Level::Warning, "store_restored",
             {{"feed", feed.Kind},
              {"era", *feed.Era},
              {"revision", store::revisionOf(revision)},
              {"revision_before", store::revisionOf(feed.Revision)},
              {"source", source}});
  if (*feed.Era <= std::exchange(RestoredEra, std::max(RestoredEra, *feed.Era)))
    return;
  if (OnRestore)
    OnRestore();
}

/// Checks the result of a read before it is applied.
void FleetWatch::recordListEra(WatchedFeed &feed,
                               const store::ObjectList &list) {
  if (isOfEndedEra(feed, list.Revision))
    throw store::StoreError(store::Failure::Unavailable,
                            "the store was restored after it was read");
  recordEra(feed, list.Revision, "store");
}

Milliseconds FleetWatch::watchTimeout(const WatchedFeed &feed) const {
  if (double part = feed.Duty.firstWatchPart();
      part < 1 && !feed.LastWatchEmpty)
    return toMilliseconds(Seconds(MinWatchTimeout) * part);
  Milliseconds wait =
      std::clamp(WatchTimeoutPerProcess * ConfigurationFeed.Duty.watchers(),
                 MinWatchTimeout, MaxWatchTimeout);
  // Spreads the watches of processes that started together over time.
  return std::max(MinWatchTimeout, jittered(wait * 2 / 3));
}

/// Returns errors as values: when one of two operations that are awaited
/// together throws, the other one keeps waiting.
Awaitable<FleetWatch::WatchResult>
FleetWatch::watchWithoutThrow(WatchedFeed &feed) {
  WatchResult out;
  try {
    out.Changes =
        co_await Store.watch(feed.Kind, feed.Revision, watchTimeout(feed));
  } catch (const store::StoreError &e) {
    out.Error = e;
  }
  co_return out;
}

/// Interrupts the watch call in progress; all objects are read again
/// afterwards.
void FleetWatch::restartWatch(WatchedFeed &feed, std::string_view reason) {
  log::event(Category::Store, log::Level::Info, "watch_renewed",
             {{"feed", feed.Kind},
              {"revision", store::revisionOf(feed.Revision)},
              {"age_ms", timeSince(feed.ConfirmedAt).count()},
              {"because", reason}});
  feed.Interrupt.expires_at(MonoClock::now());
}

/// Waits for changes. Returns nullopt if the watch is interrupted.
Awaitable<std::optional<store::Changes>>
FleetWatch::watchOnce(WatchedFeed &feed) {
  using namespace asio::experimental::awaitable_operators;
  feed.Interrupt.expires_at(MonoTime::max());
  feed.Comparison.reset();
  feed.IsWatching = true;
  std::variant<WatchResult, std::tuple<boost::system::error_code>> outcome =
      co_await (watchWithoutThrow(feed) ||
                feed.Interrupt.async_wait(asio::as_tuple(asio::use_awaitable)));
  feed.IsWatching = false;
  if (outcome.index() == 1)
    co_return std::nullopt;
  WatchResult &result = std::get<0>(outcome);
  if (result.Error)
    throw store::StoreError(*result.Error);
  co_return std::move(result.Changes);
}

/// Waits until peers know something that this process does not, or until this
/// process has to watch the store.
Awaitable<void> FleetWatch::waitForPeers(WatchedFeed &feed) {
  feed.Comparison.reset();
  feed.Interrupt.expires_at(MonoTime::max());
  feed.IsWatching = true;
  while (!feed.Duty.mustWatch(MonoClock::now()) &&
         feed.Interrupt.expiry() == MonoTime::max())
    co_await sleepFor(DutyCheckInterval);
  feed.IsWatching = false;
}

StoreView FleetWatch::view() const {
  MonoTime now = MonoClock::now();
  return {viewOf(ConfigurationFeed, now), viewOf(ServerFeed, now),
          Position.Rank};
}

void FleetWatch::recordPeerAnswer(WatchedFeed &feed, const FeedView &peer,
                                  unsigned rank, bool hasReadStore) {
  MonoTime now = MonoClock::now();
  if (peer.Watches)
    feed.Duty.recordWatcher(rank, now, randomShare());
  if (peer.Watches && !peer.AnswerAge && hasReadStore)
    feed.Duty.recordLoss(rank, now);
  if (!peer.AnswerAge)
    return;
  MonoTime answeredAt = now - *peer.AnswerAge;
  StoreAbsence absence = storeAbsence(feed, answeredAt);
  feed.Duty.recordPeerAnswer(rank, answeredAt, now, randomShare());
  if (&feed == &ServerFeed && !feed.Duty.mustWatch(now))
    extendGraceAfter(absence);
}

/// Entries of many servers that went missing together are a sign as well: a
/// watch made before an outage may have returned their removal.
StoreAbsence FleetWatch::storeAbsence(const WatchedFeed &feed,
                                      MonoTime until) const {
  if (ManyMissing && feed.Duty.isStoreSilent(until))
    return StoreAbsence::Certain;
  return feed.Duty.storeAbsence(until);
}

/// A process that does not watch the store learns of an outage when a watcher
/// has an answer again. Only an outage that is certain extends the grace period
/// of entries that are missing already.
void FleetWatch::extendGraceAfter(StoreAbsence absence) {
  if (absence == StoreAbsence::None)
    return;
  extendGrace(MonoClock::now() + MissingGracePeriod,
              "a watcher has an answer again");
  if (absence == StoreAbsence::Certain)
    Servers.keepMissing(GraceEnd);
}

void FleetWatch::extendGrace(MonoTime end, std::string_view because) {
  if (end <= std::max(GraceEnd, MonoClock::now()))
    return;
  GraceEnd = end;
  log::event(Category::Store, log::Level::Info, "missing_entries_kept",
             {{"missing", Servers.missing()},
              {"kept_ms", remainingGrace().count()},
              {"because", because}});
}

/// Sends changes to the peers, later if other watchers are to send them first.
void FleetWatch::publish(WatchedFeed &feed, store::Changes changes) {
  if (!Publish || changes.Objects.empty())
    return;
  bool isConfiguration = &feed == &ConfigurationFeed;
  if (isConfiguration)
    for (store::Object &it : changes.Objects)
      it = Codec.withoutKeys(std::move(it));
  PublishedChanges out{isConfiguration, std::move(changes), remainingGrace(),
                       feed.Objects.view()};
  MonoTime now = MonoClock::now();
  if (feed.Duty.mustPublish(now))
    Publish(out);
  else if (feed.Duty.watchesForOthers(now))
    spawn(Io, "publish-late",
          [this, &feed, out] { return publishUnlessPublished(feed, out); });
}

Awaitable<void> FleetWatch::publishUnlessPublished(WatchedFeed &feed,
                                                   PublishedChanges changes) {
  changes.Age = feed.Duty.publishPatience();
  co_await sleepFor(changes.Age);
  if (!feed.Published.hasNews(changes.Changes))
    co_return;
  Metrics.count("sardineford_changes_published_late_total",
                {{"feed", feed.Kind}});
  log::event(Category::Store, log::Level::Info, "changes_published_late",
             {{"feed", feed.Kind},
              {"revision", store::revisionOf(changes.Changes.Revision)},
              {"objects", changes.Changes.Objects.size()},
              {"rank", Position.Rank}});
  Publish(changes);
}

bool FleetWatch::applyChanges(const PublishedChanges &published) {
  WatchedFeed &feed =
      published.IsConfiguration ? ConfigurationFeed : ServerFeed;
  MonoTime now = MonoClock::now();
  if (isOfEndedEra(feed, published.Changes.Revision))
    return false;
  feed.Published.applyNews(published.Changes);
  if (!learnsFromPeers(feed, now))
    return false;
  recordEra(feed, published.Changes.Revision, "peer");
  // A watcher that alone has lost the store for a time keeps entries that the
  // others know to be gone.
  if (feed.Duty.isStoreSilent(now))
    extendGrace(now + published.MissingGrace, "the watcher keeps them");
  std::vector<store::Object> news = applyPublished(feed, published);
  recordChangeAge(feed, news.size(), "peer", published.Age);
  applyNews(feed, news);
  return !news.empty();
}

/// Applies changes that are news to this process.
void FleetWatch::applyNews(const WatchedFeed &feed,
                           const std::vector<store::Object> &news) {
  if (&feed == &ServerFeed)
    recordMissing(news);
  for (const store::Object &it : news) {
    if (&feed == &ConfigurationFeed)
      applyConfiguration(it);
    else
      applyServer(it);
  }
}

void FleetWatch::recordChangeAge(const WatchedFeed &feed, size_t objects,
                                 std::string_view source, Milliseconds age) {
  if (objects == 0)
    return;
  Metrics.observe("sardineford_change_age_seconds",
                  {{"feed", feed.Kind}, {"source", std::string(source)}},
                  Seconds(age));
  FeedView known = feed.Objects.view();
  log::event(Category::Store, log::Level::Info, "changes_applied",
             {{"feed", feed.Kind},
              {"era", store::eraOf(known.NewestVersion)},
              {"newest_revision", store::revisionOf(known.NewestVersion)},
              {"objects", objects},
              {"source", source},
              {"age_ms", age.count()}});
}

/// Keeps servers for a time if many entries went missing together.
void FleetWatch::recordMissing(const std::vector<store::Object> &changes) {
  auto missing =
      std::count_if(changes.begin(), changes.end(), [&](const auto &it) {
        ServerPtr server = it.Version == 0 ? Servers.find(it.Name) : nullptr;
        return server && !server->Leaving;
      });
  MonoTime now = MonoClock::now();
  if (!ExpiredTogether.record(static_cast<size_t>(missing), Servers.size(),
                              now))
    return;
  if (GraceEnd < now)
    log::event(Category::Store, log::Level::Warning, "entries_missing_together",
               {{"missing", missing}, {"known", Servers.size()}});
  extendGrace(now + MassExpiryGracePeriod, "many went missing together");
  ManyMissing = true;
}

void FleetWatch::comparePeer(WatchedFeed &feed, const FeedView &peer) {
  using Difference = PeerComparison::Difference;
  MonoTime now = MonoClock::now();
  Difference found = compareWithPeer(feed, peer, now);
  recordConfirmation(feed, peer, now);
  if (found != Difference::None)
    restartWatch(feed, found == Difference::Newer
                           ? "peer has newer objects"
                           : "peer has different objects");
}

void FleetWatch::checkPeerView(const StoreView &peer) {
  for (WatchedFeed *it : {&ConfigurationFeed, &ServerFeed})
    recordPeerAnswer(*it, it == &ServerFeed ? peer.Servers : peer.Configuration,
                     peer.Rank, peer.hasReadStore());
  comparePeer(ConfigurationFeed, peer.Configuration);
  comparePeer(ServerFeed, peer.Servers);
}

/// Reads all objects, then watches for changes or waits for those of the peers.
/// Reads all objects again after a watch that failed or was interrupted, since
/// changes may have been missed.
Awaitable<void>
FleetWatch::follow(WatchedFeed &feed,
                   std::function<Awaitable<uint64_t>()> readAll) {
  store::Backoff backoff(InitialRetryDelay, MaxRetryDelay);
  store::Backoff batch(BatchDelay, MaxBatchDelay);
  bool isCurrent = false;
  for (;;) {
    bool failed = false;
    bool isWatch = false;
    try {
      if (!isCurrent) {
        feed.Revision = co_await readAll();
        isCurrent = true;
        recordAnswer(feed);
        co_await waitForPosition();
      }
      MonoTime startedAt = MonoClock::now();
      if (!feed.Duty.mustWatch(startedAt)) {
        // Limits the reads while changes keep arriving.
        co_await sleepFor(BatchDelay);
        co_await waitForPeers(feed);
        isCurrent = false;
        continue;
      }
      isWatch = true;
      std::optional<store::Changes> changes = co_await watchOnce(feed);
      if (!changes) {
        isCurrent = false;
        continue;
      }
      recordAnswer(feed);
      bool missed = feed.LastWatchEmpty && !changes->Objects.empty() &&
                    MonoClock::now() - startedAt < ImmediateAnswerTime;
      feed.LastWatchEmpty = changes->Objects.empty();
      // The watches of a process usually stop receiving changes together.
      if (missed)
        restartWatch(&feed == &ServerFeed ? ConfigurationFeed : ServerFeed,
                     "watch missed changes");
      feed.Revision = std::max(feed.Revision, changes->Revision);
      // Peers may have sent newer objects in the meantime.
      std::vector<store::Object> news = feed.Objects.applyNews(*changes);
      recordChangeAge(feed, news.size(), "watch", Milliseconds(0));
      applyNews(feed, news);
      publish(feed, *changes);
      backoff.reset();
      // The few watchers of a large fleet do not have to save calls.
      if (MonoClock::now() - startedAt > MaxBatchDelay ||
          feed.Duty.mustPublish(startedAt))
        batch.reset();
      if (!changes->Objects.empty())
        co_await sleepFor(batch.next());
    } catch (const store::StoreError &e) {
      bool isHistoryGone = e.Reason == store::Failure::HistoryExpired;
      if (isWatch && e.ConnectionEnded)
        recordCut(feed, e.what());
      else if (e.Reason == store::Failure::RateLimited)
        recordRateLimit(feed);
      else if (!isHistoryGone)
        recordFailure(feed, e.what());
      failed = !isHistoryGone;
      isCurrent = false;
    }
    if (failed)
      co_await sleepFor(backoff.next());
  }
}

Awaitable<uint64_t> FleetWatch::readConfiguration() {
  store::ObjectList list = co_await Store.list(Codec.configurationKind());
  recordListEra(ConfigurationFeed, list);
  store::Changes changes = applyList(ConfigurationFeed, list);
  recordChangeAge(ConfigurationFeed, changes.Objects.size(), "read",
                  timeSince(ConfigurationFeed.ConfirmedAt));
  publish(ConfigurationFeed, std::move(changes));
  for (const store::Object &it : list.Objects)
    applyConfiguration(it);
  co_return list.Revision;
}

Awaitable<uint64_t> FleetWatch::readServers() {
  store::ObjectList list = co_await Store.list(Codec.serverKind());
  recordListEra(ServerFeed, list);
  store::Changes changes = applyList(ServerFeed, list);
  recordChangeAge(ServerFeed, changes.Objects.size(), "read",
                  timeSince(ServerFeed.ConfirmedAt));
  recordMissing(changes.Objects);
  publish(ServerFeed, std::move(changes));
  std::erase_if(ServerFeed.Skipped, [&](const auto &it) {
    return !ServerFeed.Objects.contains(it.first);
  });
  std::vector<ServerEntry> entries;
  for (const store::Object &it : list.Objects) {
    std::optional<ServerEntry> e = decodeServer(it);
    if (e)
      entries.push_back(std::move(*e));
  }
  Servers.replaceAll(entries, GraceEnd, MonoClock::now());
  co_return list.Revision;
}

/// Decodes an object unless its version is known to be invalid, so that it is
/// logged and counted once.
template <class F>
auto FleetWatch::decodeOnce(WatchedFeed &feed, const store::Object &o,
                            F decode) {
  auto skipped = feed.Skipped.find(o.Name);
  bool isKnown = skipped != feed.Skipped.end() && skipped->second == o.Version;
  decltype(decode()) out;
  if (!isKnown)
    out = decode();
  if (out) {
    feed.Skipped.erase(o.Name);
  } else if (!isKnown) {
    feed.Skipped[o.Name] = o.Version;
    Metrics.count("sardineford_objects_skipped_total", {{"feed", feed.Kind}});
  }
  return out;
}

std::optional<ServerEntry> FleetWatch::decodeServer(const store::Object &o) {
  return decodeOnce(ServerFeed, o, [&] { return Codec.decodeServer(o); });
}

void FleetWatch::applyConfiguration(const store::Object &o) {
  if (o.Name != Codec.configurationName() || o.Version == 0)
    return;
  auto c = decodeOnce(ConfigurationFeed, o,
                      [&] { return Codec.decodeConfiguration(o); });
  if (!c)
    return;
  uint64_t activeVersion = Routes ? Routes->config().Version : 0;
  bool newer = !Routes || c->Version > activeVersion;
  log::event(Category::Config, log::Level::Info, "configuration",
             {{"version", c->Version},
              {"revision", store::revisionOf(o.Version)},
              {"in_force", activeVersion},
              {"outcome", newer ? "applied" : "ignored, not newer"}});
  if (!newer)
    return;
  Routes = std::make_shared<const RouteTable>(
      std::make_shared<const Configuration>(std::move(*c)));
  History.record(Routes->config(), MonoClock::now());
  Metrics.count("sardineford_configurations_applied_total", {});
  if (OnConfiguration)
    OnConfiguration();
}

void FleetWatch::applyServer(const store::Object &o) {
  std::optional<ServerEntry> e;
  if (o.Version != 0)
    e = decodeServer(o);
  else
    ServerFeed.Skipped.erase(o.Name);
  if (e)
    Servers.put(*e);
  else
    Servers.remove(o.Name, GraceEnd, MonoClock::now());
}

Awaitable<void> FleetWatch::removeMissingLoop() {
  for (;;) {
    co_await sleepFor(RemoveMissingInterval);
    MonoTime now = MonoClock::now();
    const WatchDuty &duty = ServerFeed.Duty;
    bool haveWatchersLost =
        duty.haveWatchersLostStore(now) ||
        storeAbsence(ServerFeed, now) == StoreAbsence::Certain;
    bool isOutage =
        ServerFeed.Lost || (haveWatchersLost && !duty.mustWatch(now));
    // During a store outage, servers with missing entries may be running.
    if (isOutage)
      continue;
    Servers.removeMissing(now);
    if (GraceEnd <= now)
      ManyMissing = false;
  }
}

} // namespace sardineford::fleet
