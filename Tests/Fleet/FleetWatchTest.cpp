#include "Fleet/FleetWatch.h"
#include "Fleet/KnownObjects.h"

#include "Sardineford/Store/Version.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <set>

using namespace sardineford;
using namespace sardineford::fleet;
using store::Changes;
using store::Failure;
using store::Object;
using store::ObjectList;
using store::StoreError;

namespace {

/// A store with scripted watches: each watch returns the next step, and waits
/// if there is none.
class ScriptedStore : public store::ObjectStore {
public:
  struct Step {
    std::optional<Failure> Fails;
    std::vector<Object> Objects;
    /// The watch returns this long after its call.
    Milliseconds Delay{0};
    /// The store cuts the watch off, which Fails is Unavailable for.
    bool IsCut = false;
  };

  std::map<std::string, std::vector<Object>> Lists;
  std::map<std::string, std::deque<Step>> Watches;
  std::map<std::string, int> ListCalls;
  std::map<std::string, std::vector<Milliseconds>> Waits;
  int WatchCalls = 0;
  uint64_t Revision = 10;
  /// Lists are answered; otherwise they wait.
  bool Answers = true;
  /// Lists fail so.
  std::optional<Failure> ListsFail;

  Awaitable<std::optional<Object>> get(std::string, std::string) override {
    co_return std::nullopt;
  }
  Awaitable<ObjectList> list(std::string kind) override {
    ++ListCalls[kind];
    if (!Answers)
      co_await sleepFor(std::chrono::seconds(60));
    if (ListsFail)
      throw StoreError(*ListsFail, "scripted");
    ObjectList out;
    out.Revision = Revision;
    out.Objects = Lists[kind];
    co_return out;
  }
  Awaitable<uint64_t> put(std::string, std::string, std::string,
                          uint64_t) override {
    co_return ++Revision;
  }
  Awaitable<void> remove(std::string, std::string, uint64_t) override {
    co_return;
  }
  Awaitable<Changes> watch(std::string kind, uint64_t,
                           Milliseconds wait) override {
    ++WatchCalls;
    Waits[kind].push_back(wait);
    if (Watches[kind].empty())
      co_await sleepFor(std::chrono::seconds(60));
    Step s = Watches[kind].front();
    Watches[kind].pop_front();
    if (s.Delay > Milliseconds(0))
      co_await sleepFor(s.Delay);
    if (s.Fails) {
      StoreError error(*s.Fails, "scripted");
      error.ConnectionEnded = s.IsCut;
      throw error;
    }
    Changes out;
    out.Revision = ++Revision;
    out.Objects = s.Objects;
    co_return out;
  }
};

/// Objects whose value is the version of the configuration, or the name of the
/// service.
class PlainCodec : public FleetCodec {
public:
  /// Keys follow the version, after a space.
  store::Object withoutKeys(store::Object o) const override {
    o.Value = o.Value.substr(0, o.Value.find(' '));
    return o;
  }
  std::string configurationKind() const override { return "config"; }
  std::string configurationName() const override { return "main"; }
  std::string serverKind() const override { return "servers"; }
  std::optional<Configuration>
  decodeConfiguration(const Object &o) const override {
    Configuration c;
    c.Version = std::stoull(o.Value);
    return c;
  }
  std::optional<ServerEntry> decodeServer(const Object &o) const override {
    if (o.Value.empty())
      return std::nullopt;
    ServerEntry e;
    e.Id = o.Name;
    e.Service = o.Value;
    return e;
  }
};

Object config(int version, uint64_t revision) {
  return {"config", "main", revision, std::to_string(version)};
}

struct Fixture {
  IoContext Io{1};
  ScriptedStore Store;
  PlainCodec Codec;
  Directory Servers{[](const Server &, std::string_view) {}};
  metrics::Metrics Metrics;
  FleetWatch Watch{Io, Store, Codec, Servers, Metrics};

  Fixture() { Store.Lists["config"] = {config(4, 8)}; }

  void runFor(Milliseconds t) {
    Io.restart();
    Io.run_for(t);
  }
  uint64_t version() const {
    return Watch.routes() ? Watch.routes()->config().Version : 0;
  }
};

} // namespace

TEST_CASE("all objects are read again after a failed watch") {
  for (Failure f : {Failure::HistoryExpired, Failure::Unavailable}) {
    Fixture t;
    t.Watch.start();
    t.runFor(Milliseconds(20));
    CHECK(t.version() == 4);
    t.Store.Lists["config"] = {config(7, 12)};
    t.Store.Watches["config"].push_back({f, {}});
    // The pending watch waits for 60 s unless a peer's view interrupts it.
    t.Watch.checkPeerView({{1, 0}, {}});
    t.runFor(Milliseconds(450));
    t.Watch.checkPeerView({{1, 0}, {}});
    t.runFor(Milliseconds(400));
    CHECK(t.version() == 7);
  }
}

TEST_CASE("peers with many different views interrupt a watch without changes") {
  Fixture t;
  t.Watch.start();
  t.runFor(Milliseconds(20));
  t.Store.Lists["config"] = {config(7, 12)};
  t.Store.Watches["config"].push_back({Failure::HistoryExpired, {}});
  for (uint64_t i = 0; i < 12; ++i) {
    t.Watch.checkPeerView({{100 + i % 5, 0}, {}});
    t.runFor(Milliseconds(50));
  }
  CHECK(t.version() == 7);
}

TEST_CASE("a configuration is never replaced by an older version") {
  Fixture t;
  t.Store.Watches["config"].push_back({std::nullopt, {config(9, 12)}});
  t.Store.Watches["config"].push_back({std::nullopt, {config(6, 13)}});
  t.Watch.start();
  t.runFor(Milliseconds(400));
  CHECK(t.version() == 9);
}

TEST_CASE("each digest of a peer causes only one full read") {
  Fixture t;
  t.Watch.start();
  t.runFor(Milliseconds(20));
  for (int i = 0; i < 6; ++i) {
    t.Watch.checkPeerView({{1, 0}, t.Watch.view().Servers});
    t.runFor(Milliseconds(300));
  }
  CHECK(t.Store.ListCalls["config"] == 2);
}

// Guards against lost changes, as seen with 59 processes: watches that started
// while the store dropped its history did not receive the preceding change, and
// the store did not end them.
TEST_CASE(
    "a peer with newer objects causes a full read despite a silent watch") {
  Fixture t;
  t.Watch.start();
  t.runFor(Milliseconds(20));
  t.Store.Lists["config"] = {config(7, 12)};
  // Without steps in the script, no watch receives anything.
  for (int i = 0; i < 8; ++i) {
    t.Watch.checkPeerView({{1, 12}, t.Watch.view().Servers});
    t.runFor(Milliseconds(60));
  }
  CHECK(t.version() == 7);
}

// Peers that read a change earlier are ahead while this process waits to read
// changes in a batch.
TEST_CASE("a peer causes no full read while changes are batched") {
  Fixture t;
  t.Store.Watches["config"].push_back({std::nullopt, {config(5, 9)}});
  t.Watch.start();
  t.runFor(Milliseconds(20));
  CHECK(t.version() == 5);
  t.Watch.checkPeerView({{1, 12}, t.Watch.view().Servers});
  // The next watch is in progress; peer views count only from its start.
  t.runFor(Milliseconds(600));
  t.Watch.checkPeerView({{1, 12}, t.Watch.view().Servers});
  t.runFor(Milliseconds(20));
  CHECK(t.Store.ListCalls["config"] == 1);
}

TEST_CASE(
    "a peer that is behind causes a full read only if it stays different") {
  Fixture t;
  t.Watch.start();
  t.runFor(Milliseconds(20));
  for (int i = 0; i < 10; ++i) {
    t.Watch.checkPeerView({{1, 3}, t.Watch.view().Servers});
    t.runFor(Milliseconds(100));
  }
  CHECK(t.Store.ListCalls["config"] == 1);
  // The peer may know of a removal.
  for (int i = 0; i < 10; ++i) {
    t.Watch.checkPeerView({{1, 3}, t.Watch.view().Servers});
    t.runFor(Milliseconds(100));
  }
  CHECK(t.Store.ListCalls["config"] == 2);
}

TEST_CASE("an object that describes no server removes the server") {
  Fixture t;
  t.Store.Lists["servers"] = {{"servers", "a", 3, "model"}};
  t.Store.Watches["servers"].push_back(
      {std::nullopt, {{"servers", "a", 12, ""}}});
  t.Watch.start();
  t.runFor(Milliseconds(300));
  CHECK(t.Servers.ofService("model").empty());
}

namespace {

/// The position of a process that is no watcher, in a fleet so small that
/// substitutes wait little.
constexpr FleetPosition Follower{13, 10};

/// The view of the first watcher, which has just had an answer.
StoreView watcherView(const StoreView &known) {
  StoreView v = known;
  v.Rank = 0;
  v.Configuration.AnswerAge = v.Servers.AnswerAge = Milliseconds(0);
  return v;
}

/// Reports the watcher's view twice a second while the process runs.
void runBesideWatcher(Fixture &t, Milliseconds duration) {
  for (Milliseconds n{0}; n < duration; n += Milliseconds(250)) {
    StoreView v = watcherView(t.Watch.view());
    v.Configuration.Watches = v.Servers.Watches = true;
    t.Watch.checkPeerView(v);
    t.runFor(Milliseconds(250));
  }
}

/// A process of a large fleet that has read the store and hears of a watcher.
struct FollowerFixture : Fixture {
  FollowerFixture() {
    Store.Lists["servers"] = {{"servers", "a", 3, "model"}};
    Watch.setPosition(Follower);
    Watch.checkPeerView(watcherView({}));
    Watch.start();
    runFor(Milliseconds(300));
  }
  size_t servers() const { return Servers.ofService("model").size(); }
};

} // namespace

TEST_CASE("a process that is no watcher makes no calls while watchers report") {
  FollowerFixture t;
  CHECK(t.version() == 4);
  CHECK(t.servers() == 1);
  runBesideWatcher(t, Milliseconds(4'000));
  CHECK(t.Store.ListCalls["config"] == 1);
  CHECK(t.Store.ListCalls["servers"] == 1);
  CHECK(t.Store.WatchCalls == 0);
  CHECK(t.Watch.serversAge() < Milliseconds(500));
}

// All processes of a fleet may start at the same time.
TEST_CASE("a starting process of a large fleet makes two calls") {
  Fixture t;
  t.Watch.expectPosition();
  t.Watch.start();
  t.runFor(Milliseconds(300));
  t.Watch.setPosition(Follower);
  runBesideWatcher(t, Milliseconds(1'500));
  CHECK(t.Store.ListCalls["config"] == 1);
  CHECK(t.Store.ListCalls["servers"] == 1);
  CHECK(t.Store.WatchCalls == 0);
}

TEST_CASE("a starting process that learns no position watches the store") {
  Fixture t;
  t.Watch.expectPosition();
  t.Watch.start();
  t.runFor(Milliseconds(1'100));
  CHECK(t.Store.WatchCalls == 2);
}

TEST_CASE("a process that is no watcher applies the changes of a watcher") {
  FollowerFixture t;
  PublishedChanges changes;
  changes.Changes = {20, {{"", "b", 12, "model"}, {"", "c", 15, "model"}}};
  t.Watch.applyChanges(changes);
  CHECK(t.servers() == 3);
  changes.Changes = {21, {{"", "a", 0, ""}}};
  t.Watch.applyChanges(changes);
  CHECK(t.servers() == 2);
  PublishedChanges configuration;
  configuration.IsConfiguration = true;
  configuration.Changes = {22, {config(9, 22)}};
  t.Watch.applyChanges(configuration);
  CHECK(t.version() == 9);
}

TEST_CASE("changes that overtake each other end in the newest state") {
  FollowerFixture t;
  PublishedChanges removal;
  removal.Changes = {30, {{"", "b", 0, ""}}};
  PublishedChanges creation;
  creation.Changes = {25, {{"", "b", 25, "model"}}};
  t.Watch.applyChanges(removal);
  t.Watch.applyChanges(creation);
  CHECK(t.servers() == 1);
  PublishedChanges later;
  later.Changes = {40, {{"", "b", 40, "model"}}};
  t.Watch.applyChanges(later);
  t.Watch.applyChanges(removal);
  CHECK(t.servers() == 2);
}

// A watcher that has just regained the store reports entries as gone that
// return within seconds.
TEST_CASE("entries that a watcher misses after an outage are kept for a time") {
  FollowerFixture t;
  // No watcher has an answer.
  t.runFor(Milliseconds(1'700));
  t.Store.Lists["servers"] = {};
  PublishedChanges removal;
  removal.Changes = {30, {{"", "a", 0, ""}}};
  removal.MissingGrace = Milliseconds(700);
  t.Watch.applyChanges(removal);
  CHECK(t.servers() == 1);
  t.runFor(Milliseconds(400));
  CHECK(t.servers() == 1);
  t.runFor(Milliseconds(600));
  CHECK(t.servers() == 0);
}

namespace {

const std::set<unsigned> AllWatchers{0, 1, 2, 3, 4, 5};

/// Lets watchers report again and again that they have lost the store, and
/// others that their last answer was given when this began.
void runBesideWatchers(Fixture &t, const std::set<unsigned> &lost,
                       const std::set<unsigned> &waiting,
                       Milliseconds duration) {
  for (Milliseconds age{0}; age < duration; age += Milliseconds(250)) {
    for (unsigned rank : AllWatchers) {
      if (!lost.contains(rank) && !waiting.contains(rank))
        continue;
      StoreView v = watcherView(t.Watch.view());
      v.Rank = rank;
      for (FeedView *feed : {&v.Configuration, &v.Servers}) {
        feed->Watches = true;
        feed->AnswerAge =
            waiting.contains(rank) ? std::make_optional(age) : std::nullopt;
      }
      t.Watch.checkPeerView(v);
    }
    t.runFor(Milliseconds(250));
  }
}

void removeServer(Fixture &t, const std::string &name, uint64_t revision) {
  PublishedChanges removal;
  removal.Changes = {revision, {{"", name, 0, ""}}};
  t.Watch.applyChanges(removal);
}

} // namespace

// The entries that a list lacks after an outage may return as well.
TEST_CASE(
    "a process that is no watcher learns of an outage from the watchers") {
  FollowerFixture t;
  runBesideWatchers(t, AllWatchers, {}, Milliseconds(1'750));
  t.Watch.checkPeerView(watcherView(t.Watch.view()));
  PublishedChanges removal;
  removal.Changes = {30, {{"", "a", 0, ""}}};
  t.Watch.applyChanges(removal);
  CHECK(t.servers() == 1);
  runBesideWatcher(t, Milliseconds(2'750));
  CHECK(t.servers() == 0);
}

// Seen in review case 12: a change ends the watches of all watchers, whose next
// answers come together. The time in between counted as an outage.
TEST_CASE(
    "servers that leave are not kept although no watch ended for a time") {
  FollowerFixture t;
  PublishedChanges found;
  found.Changes = {20, {{"", "b", 20, "model"}}};
  t.Watch.applyChanges(found);
  for (const char *it : {"a", "b"}) {
    runBesideWatchers(t, {}, AllWatchers, Milliseconds(2'000));
    t.Watch.checkPeerView(watcherView(t.Watch.view()));
    removeServer(t, it, 30);
    CHECK(t.Servers.find(it) == nullptr);
  }
}

// Guards against taking the end of the watchers for one of the store.
TEST_CASE("servers that leave are not kept since watchers have died") {
  FollowerFixture t;
  t.runFor(Milliseconds(1'750));
  t.Watch.checkPeerView(watcherView(t.Watch.view()));
  removeServer(t, "a", 30);
  CHECK(t.servers() == 0);
}

// Guards against taking a process that has not read the store yet for one that
// has lost it.
TEST_CASE("servers that leave are not kept since processes have started") {
  FollowerFixture t;
  StoreView starting;
  starting.Configuration.Watches = starting.Servers.Watches = true;
  for (int i = 0; i < 7; ++i) {
    t.Watch.checkPeerView(starting);
    t.runFor(Milliseconds(250));
  }
  t.Watch.checkPeerView(watcherView(t.Watch.view()));
  removeServer(t, "a", 30);
  CHECK(t.servers() == 0);
}

TEST_CASE("an outage seen by some watchers keeps no entry that was missing "
          "before for longer") {
  FollowerFixture t;
  runBesideWatchers(t, AllWatchers, {}, Milliseconds(1'750));
  t.Watch.checkPeerView(watcherView(t.Watch.view()));
  removeServer(t, "a", 30);
  CHECK(t.servers() == 1);
  runBesideWatchers(t, {0}, {1}, Milliseconds(1'750));
  t.Watch.checkPeerView(watcherView(t.Watch.view()));
  runBesideWatcher(t, Milliseconds(1'000));
  CHECK(t.servers() == 0);
}

TEST_CASE("entries are kept until the store has been back for a time, however "
          "often it goes") {
  FollowerFixture t;
  for (int i = 0; i < 2; ++i) {
    runBesideWatchers(t, AllWatchers, {}, Milliseconds(1'750));
    t.Watch.checkPeerView(watcherView(t.Watch.view()));
    removeServer(t, "a", 30);
    runBesideWatcher(t, Milliseconds(1'000));
    CHECK(t.servers() == 1);
  }
  runBesideWatcher(t, Milliseconds(1'750));
  CHECK(t.servers() == 0);
}

// Seen as DRAIN broken on a day on which two of six processes regained the
// store: the others took over their grace period and kept a server that had
// left.
TEST_CASE("the outage of one process does not keep servers at the others") {
  FollowerFixture t;
  PublishedChanges removal;
  removal.Changes = {30, {{"", "a", 0, ""}}};
  removal.MissingGrace = Milliseconds(2'300);
  t.Watch.checkPeerView(watcherView(t.Watch.view()));
  t.Watch.applyChanges(removal);
  CHECK(t.servers() == 0);
}

namespace {

std::vector<Object> manyServers(size_t n) {
  std::vector<Object> out;
  for (size_t i = 0; i < n; ++i)
    out.push_back({"servers", "s" + std::to_string(i), i + 1, "model"});
  return out;
}

Changes removalOf(std::vector<Object> objects) {
  for (Object &it : objects)
    it.Version = 0;
  return {100, std::move(objects)};
}

} // namespace

// Seen in soak seed 1205: a watcher whose call waited through a silence of the
// store received the removal of all expired entries as a normal answer, and the
// whole fleet removed the servers at once.
TEST_CASE("servers whose entries expire together are kept for a time") {
  Fixture t;
  t.Store.Lists["servers"] = manyServers(8);
  t.Store.Watches["servers"].push_back(
      {std::nullopt, removalOf(manyServers(8)).Objects});
  t.Watch.start();
  t.runFor(Milliseconds(200));
  CHECK(t.Servers.ofService("model").size() == 8);
  t.runFor(Milliseconds(1'600));
  CHECK(t.Servers.ofService("model").empty());
}

TEST_CASE("entries that expired in an outage are kept until it has ended") {
  FollowerFixture t;
  PublishedChanges found;
  found.Changes = {20, manyServers(8)};
  t.Watch.applyChanges(found);
  t.Watch.checkPeerView(watcherView(t.Watch.view()));
  PublishedChanges removal;
  removal.Changes = removalOf(manyServers(8));
  t.Watch.applyChanges(removal);
  CHECK(t.servers() == 9);
  // No watcher has an answer meanwhile.
  t.runFor(Milliseconds(1'550));
  t.Watch.checkPeerView(watcherView(t.Watch.view()));
  runBesideWatcher(t, Milliseconds(1'500));
  CHECK(t.servers() == 9);
  found.Changes = {200, manyServers(8)};
  for (Object &it : found.Changes.Objects)
    it.Version += 100;
  t.Watch.applyChanges(found);
  runBesideWatcher(t, Milliseconds(2'000));
  CHECK(t.servers() == 9);
}

namespace {

/// A process that watches the store, which knows server "a".
struct WatcherFixture : Fixture {
  WatcherFixture() { Store.Lists["servers"] = {{"servers", "a", 3, "model"}}; }

  /// The next watch is cut off after this time.
  void cutAfter(Milliseconds t) {
    Store.Watches["servers"].push_back({Failure::Unavailable, {}, t, true});
  }
  size_t servers() const { return Servers.ofService("model").size(); }
};

} // namespace

// Seen in review case 11: a watch that was cut off counted as an outage.
TEST_CASE("a server that leaves is not kept since a watch was cut off") {
  WatcherFixture t;
  t.cutAfter(Milliseconds(100));
  t.Watch.start();
  t.runFor(Milliseconds(50));
  CHECK(t.servers() == 1);
  t.Store.Lists["servers"] = {};
  t.runFor(Milliseconds(350));
  CHECK(t.Store.ListCalls["servers"] == 2);
  CHECK(t.servers() == 0);
}

TEST_CASE("watches that are cut off do not keep a server for longer") {
  WatcherFixture t;
  t.Store.Watches["servers"].push_back(
      {Failure::Unavailable, {}, Milliseconds(100)});
  for (int i = 0; i < 40; ++i)
    t.cutAfter(Milliseconds(200));
  t.Watch.start();
  t.runFor(Milliseconds(50));
  t.Store.Lists["servers"] = {};
  t.runFor(Milliseconds(1'950));
  CHECK(t.servers() == 1);
  t.runFor(Milliseconds(1'000));
  CHECK(t.servers() == 0);
}

TEST_CASE("entries that expired while a watch was waiting in vain are kept for "
          "a time") {
  WatcherFixture t;
  t.cutAfter(Milliseconds(2'200));
  t.Watch.start();
  t.runFor(Milliseconds(50));
  t.Store.Lists["servers"] = {};
  t.runFor(Milliseconds(2'600));
  CHECK(t.Store.ListCalls["servers"] == 2);
  CHECK(t.servers() == 1);

  SECTION("the entry reappears in time") {
    t.runFor(Milliseconds(1'500));
    t.Watch.checkPeerView({{}, {1, 20}});
    t.Store.Lists["servers"] = {{"servers", "a", 20, "model"}};
    t.runFor(Milliseconds(300));
    t.Watch.checkPeerView({{}, {1, 20}});
    t.runFor(Milliseconds(900));
    CHECK(t.servers() == 1);
  }
  SECTION("the entry is still missing") {
    t.runFor(Milliseconds(2'400));
    CHECK(t.servers() == 0);
  }
}

TEST_CASE("entries that expired in an outage that began with cut watches are "
          "kept until the store is back") {
  WatcherFixture t;
  t.cutAfter(Milliseconds(100));
  t.Watch.start();
  t.runFor(Milliseconds(50));
  t.Store.ListsFail = Failure::Unavailable;
  t.runFor(Milliseconds(2'500));
  t.Store.Lists["servers"] = {};
  t.Store.ListsFail = std::nullopt;
  t.runFor(Milliseconds(2'000));
  CHECK(t.servers() == 1);
  t.runFor(Milliseconds(1'300));
  CHECK(t.servers() == 0);
}

// Guards against keeping servers because a fleet reads faster than the store
// allows.
TEST_CASE("a server that leaves is not kept since the store rejects calls") {
  WatcherFixture t;
  t.Store.Watches["servers"].push_back(
      {Failure::RateLimited, {}, Milliseconds(100)});
  t.Watch.setPosition({195, 0});
  t.Watch.start();
  t.runFor(Milliseconds(50));
  t.Store.ListsFail = Failure::RateLimited;
  t.runFor(Milliseconds(400));
  // The others do not take it for a loss of the store.
  CHECK(t.Watch.view().Servers.AnswerAge);
  // Meanwhile this process learns from them.
  PublishedChanges found;
  found.Changes = {20, {{"", "b", 20, "model"}}};
  CHECK(t.Watch.applyChanges(found));
  t.Store.Lists["servers"] = {{"servers", "b", 20, "model"}};
  t.Store.ListsFail = std::nullopt;
  t.runFor(Milliseconds(900));
  CHECK(t.Servers.find("a") == nullptr);
  CHECK(t.servers() == 1);
}

TEST_CASE("a lost datagram of a watcher causes one read") {
  FollowerFixture t;
  t.Store.Lists["config"] = {config(7, 12)};
  for (int i = 0; i < 8; ++i) {
    StoreView v = watcherView(t.Watch.view());
    v.Configuration.Digest = t.version() == 7 ? v.Configuration.Digest : 1;
    v.Configuration.NewestVersion = 12;
    t.Watch.checkPeerView(v);
    t.runFor(Milliseconds(100));
  }
  CHECK(t.version() == 7);
  CHECK(t.Store.ListCalls["config"] == 2);
}

TEST_CASE("a process reads the store itself when the watchers are silent") {
  FollowerFixture t;
  t.Store.Lists["config"] = {config(7, 12)};
  bool applied = false;
  for (int i = 0; i < 20 && !applied; ++i) {
    t.runFor(Milliseconds(250));
    applied = t.version() == 7;
  }
  CHECK(applied);
  CHECK(t.Store.WatchCalls > 0);
}

TEST_CASE("the first watcher waits for a short time after a change") {
  Fixture t;
  t.Store.Watches["servers"].push_back(
      {std::nullopt, {{"servers", "b", 12, "model"}}, Milliseconds(20)});
  t.Store.Watches["servers"].push_back({std::nullopt, {}, Milliseconds(20)});
  t.Watch.setPosition({195, 0});
  t.Watch.start();
  t.runFor(Milliseconds(900));
  const std::vector<Milliseconds> &waits = t.Store.Waits["servers"];
  REQUIRE(waits.size() == 3);
  CHECK(waits[1] <= Milliseconds(300));
  CHECK(waits[2] >= Milliseconds(1'000));
}

TEST_CASE("a watcher sends what it receives to the others") {
  Fixture t;
  t.Store.Lists["servers"] = {{"servers", "a", 3, "model"}};
  t.Store.Watches["servers"].push_back(
      {std::nullopt, {{"servers", "b", 12, "model"}, {"servers", "a", 0, ""}}});
  std::vector<PublishedChanges> sent;
  t.Watch.onChanges([&](const PublishedChanges &it) { sent.push_back(it); });
  t.Watch.setPosition({195, 0});
  t.Watch.start();
  t.runFor(Milliseconds(100));
  REQUIRE(sent.size() == 1);
  CHECK_FALSE(sent[0].IsConfiguration);
  CHECK(sent[0].Changes.Objects.size() == 2);
  // What a full read shows is sent as well.
  t.Store.Lists["servers"] = {{"servers", "c", 15, "model"}};
  t.Store.Watches["servers"].push_back({Failure::HistoryExpired, {}});
  t.runFor(Milliseconds(800));
  REQUIRE(sent.size() == 2);
  CHECK(sent[1].Changes.Objects.size() == 2);
}

// Guards against keys of workspaces in datagrams to the peers.
TEST_CASE("a watcher sends configurations without keys to the others") {
  Fixture t;
  Object changed = config(5, 12);
  changed.Value += " secret";
  t.Store.Watches["config"].push_back({std::nullopt, {changed}});
  std::vector<PublishedChanges> sent;
  t.Watch.onChanges([&](const PublishedChanges &it) { sent.push_back(it); });
  t.Watch.setPosition({195, 0});
  t.Watch.start();
  t.runFor(Milliseconds(100));
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].Changes.Objects.size() == 1);
  CHECK(sent[0].Changes.Objects[0].Value == "5");
  CHECK(t.Watch.routes()->config().Version == 5);
}

namespace {

/// The store of FollowerFixture after its restore.
constexpr uint64_t inNextEra(uint64_t revision) {
  return store::makeVersion(1, revision);
}

} // namespace

TEST_CASE(
    "changes of a restored store count although their revisions are low") {
  FollowerFixture t;
  int restores = 0;
  t.Watch.onRestore([&] { ++restores; });
  PublishedChanges configuration;
  configuration.IsConfiguration = true;
  // The copy holds an older configuration than the one in force.
  configuration.Changes = {inNextEra(3), {config(3, inNextEra(3))}};
  t.Watch.applyChanges(configuration);
  CHECK(t.version() == 4);
  configuration.Changes = {inNextEra(5), {config(6, inNextEra(5))}};
  t.Watch.applyChanges(configuration);
  CHECK(t.version() == 6);
  PublishedChanges servers;
  servers.Changes = {inNextEra(4), {{"", "b", inNextEra(4), "model"}}};
  t.Watch.applyChanges(servers);
  CHECK(t.servers() == 2);
  CHECK(restores == 1);
}

TEST_CASE("changes of an era that has ended are ignored") {
  FollowerFixture t;
  PublishedChanges changes;
  changes.Changes = {inNextEra(4), {{"", "b", inNextEra(4), "model"}}};
  t.Watch.applyChanges(changes);
  changes.Changes = {50, {{"", "c", 50, "model"}, {"", "b", 0, ""}}};
  CHECK_FALSE(t.Watch.applyChanges(changes));
  CHECK(t.servers() == 2);
}

TEST_CASE("servers that a restored store lacks are kept for a time") {
  FollowerFixture t;
  t.Store.Lists["servers"] = {};
  PublishedChanges changes;
  changes.Changes = {inNextEra(2), {{"", "a", 0, ""}}};
  t.Watch.applyChanges(changes);
  runBesideWatcher(t, Milliseconds(2'000));
  CHECK(t.servers() == 1);
  runBesideWatcher(t, Milliseconds(750));
  CHECK(t.servers() == 0);
}

TEST_CASE("a watch that ends with its era is followed by a read") {
  Fixture t;
  t.Watch.start();
  t.runFor(Milliseconds(20));
  CHECK(t.version() == 4);
  t.Store.Revision = inNextEra(3);
  t.Store.Lists["config"] = {config(5, inNextEra(3))};
  t.Store.Watches["config"].push_back({Failure::HistoryExpired, {}});
  t.Watch.checkPeerView({{1, inNextEra(3)}, {}});
  t.runFor(Milliseconds(300));
  t.Watch.checkPeerView({{1, inNextEra(3)}, {}});
  t.runFor(Milliseconds(300));
  CHECK(t.version() == 5);
  // A read that was answered before the restore.
  t.Store.Revision = 40;
  t.Store.Lists["config"] = {config(9, 40)};
  for (int i = 0; i < 4; ++i) {
    t.Watch.checkPeerView({{2, inNextEra(9)}, {}});
    t.runFor(Milliseconds(200));
  }
  CHECK(t.version() == 5);
}

namespace {

/// A process whose server "a" changes again and again, and a peer that knows
/// the same changes, each a report later or earlier, and perhaps server "b".
struct ChangingFixture : Fixture {
  KnownObjects Peer;

  ChangingFixture() {
    Store.Lists["servers"] = {{"servers", "a", 3, "model"}};
    for (uint64_t i = 0; i < 40; ++i)
      Store.Watches["servers"].push_back({std::nullopt,
                                          {{"servers", "a", 20 + i, "model"}},
                                          Milliseconds(150)});
    Peer.update(Store.Lists["servers"][0]);
    Watch.start();
    runFor(Milliseconds(20));
  }

  /// Runs while the peer reports a version that this process had or will have.
  void runBesidePeer(int reports) {
    for (int i = 0; i < reports; ++i) {
      uint64_t known = Watch.view().Servers.NewestVersion;
      Peer.update({"servers", "a", i % 2 == 0 ? known : known + 1, "model"});
      StoreView v = Watch.view();
      v.Servers.Digest = Peer.view().Digest;
      v.Servers.NewestVersion = Peer.view().NewestVersion;
      Watch.checkPeerView(v);
      runFor(Milliseconds(100));
    }
  }
};

} // namespace

TEST_CASE("a dropped change is noticed while other changes keep coming") {
  ChangingFixture t;
  t.Peer.update({"servers", "b", 11, "model"});
  t.Store.Lists["servers"].push_back({"servers", "b", 11, "model"});
  t.runBesidePeer(40);
  CHECK(t.Servers.ofService("model").size() == 2);
}

TEST_CASE("changes that peers know earlier or later cause no read") {
  ChangingFixture t;
  t.runBesidePeer(50);
  CHECK(t.Store.ListCalls["servers"] == 1);
}

TEST_CASE("an odd entry is counted once for each revision and the others "
          "are followed") {
  Fixture t;
  auto skipped = [&](int n) {
    std::string line = R"(sardineford_objects_skipped_total{feed="servers"} )" +
                       std::to_string(n) + "\n";
    return t.Metrics.render().find(line) != std::string::npos;
  };
  t.Store.Lists["servers"] = {{"servers", "odd", 7, ""},
                              {"servers", "a", 8, "model"}};
  t.Watch.start();
  t.runFor(Milliseconds(20));
  CHECK(skipped(1));
  CHECK(t.Servers.ofService("model").size() == 1);
  // All is read again; the entries are the same.
  t.Store.Watches["servers"].push_back({Failure::HistoryExpired, {}});
  t.Store.Watches["servers"].push_back(
      {std::nullopt,
       {{"servers", "odd", 12, ""}, {"servers", "b", 13, "model"}}});
  t.Watch.checkPeerView({{}, {1, 0}});
  t.runFor(Milliseconds(450));
  t.Watch.checkPeerView({{}, {1, 0}});
  t.runFor(Milliseconds(800));
  CHECK(t.Store.ListCalls["servers"] >= 2);
  CHECK(t.Servers.ofService("model").size() == 2);
  CHECK(skipped(2));
}

namespace {

/// Lets the process confirm its servers and returns how long that takes.
Milliseconds confirmServers(Fixture &t, Milliseconds timeout) {
  MonoTime startedAt = MonoClock::now();
  MonoTime endedAt{};
  spawn(t.Io, "confirm", [&]() -> Awaitable<void> {
    co_await t.Watch.confirmServers(timeout);
    endedAt = MonoClock::now();
  });
  t.runFor(timeout + Milliseconds(100));
  REQUIRE(endedAt != MonoTime{});
  return toMilliseconds(endedAt - startedAt);
}

} // namespace

TEST_CASE("servers are confirmed by one read for all that ask together") {
  Fixture t;
  t.Watch.start();
  t.runFor(Milliseconds(300));
  t.Store.Lists["servers"] = {{"servers", "a", 12, "model"}};
  for (int i = 0; i < 10; ++i)
    spawn(t.Io, "confirm", [&]() -> Awaitable<void> {
      co_await t.Watch.confirmServers(Milliseconds(100));
    });
  confirmServers(t, Milliseconds(100));
  CHECK(t.Store.ListCalls["servers"] == 2);
  CHECK(t.Servers.ofService("model").size() == 1);
  CHECK(t.Watch.serversAge() < Milliseconds(300));
}

TEST_CASE("servers are not confirmed by a store that does not answer") {
  Fixture t;
  t.Watch.start();
  t.runFor(Milliseconds(300));
  t.Store.Answers = false;
  CHECK(confirmServers(t, Milliseconds(100)) >= Milliseconds(100));
  CHECK(t.Watch.serversAge() >= Milliseconds(300));
}

TEST_CASE("a process that has lost the store does not wait for servers to be "
          "confirmed") {
  Fixture t;
  t.Store.Watches["servers"].push_back(
      {Failure::Unavailable, {}, Milliseconds(100)});
  t.Watch.start();
  t.runFor(Milliseconds(50));
  t.Store.Answers = false;
  t.runFor(Milliseconds(300));
  CHECK(confirmServers(t, Milliseconds(100)) < Milliseconds(50));
}

TEST_CASE("the servers of a process grow old while its peers know others") {
  FollowerFixture t;
  StoreView peer = watcherView(t.Watch.view());
  peer.Servers.Digest += 1;
  t.Store.Answers = false;
  for (int i = 0; i < 8; ++i) {
    t.Watch.checkPeerView(peer);
    t.runFor(Milliseconds(100));
  }
  CHECK(t.Watch.serversAge() >= Milliseconds(800));
  CHECK(t.Watch.configurationAge() < Milliseconds(300));
}
