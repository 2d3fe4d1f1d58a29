#include "platform/ObjectStoreClient.h"

#include "Sardineford/Http/Server.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/OddEntries.h"
#include "StandIns/Platform/PlatformStore.h"

#include <catch2/catch.hpp>

using namespace sardineford;

namespace {

std::string item(const std::string &name, const std::string &spec) {
  return R"({"metadata":{"name":")" + name +
         R"(","revision":4,"createdRev":2,"finalizers":[]},"spec":)" + spec +
         R"(,"status":null})";
}

/// A store with fixed responses by request target, and a client of it.
struct FixedStore {
  IoContext Io{1};
  http::Endpoint Listen = standins::freeEndpoint();
  std::map<std::string, std::string> Bodies;
  std::vector<std::string> Targets;
  http::Server Server{
      Io, http::ServerOptions{.Listen = Listen},
      [this](http::Request &r, http::ResponseWriter &out) -> Awaitable<void> {
        Targets.push_back(r.Target);
        auto body = Bodies.find(r.Target);
        http::Response response;
        response.Status = body == Bodies.end() ? 500 : 200;
        if (body != Bodies.end())
          response.Body = body->second;
        co_await out.send(std::move(response));
      }};
  http::Client Client{Io};
  platform::ObjectStoreClient Store{Client, Listen};

  void run(std::function<Awaitable<void>()> play) {
    Server.start();
    spawn(Io, "play", [this, play]() -> Awaitable<void> {
      co_await play();
      Io.stop();
    });
    Io.run();
  }
};

std::vector<std::string> namesOf(const std::vector<store::Object> &objects) {
  std::vector<std::string> out;
  out.reserve(objects.size());
  for (const store::Object &it : objects)
    out.push_back(it.Name);
  return out;
}

const std::string Kind = "/sardineford/objects/servers";

} // namespace

// The store closes watches when it drops its history. During a day with 59
// processes, the HTTP client resent closed watches, which then waited for the
// change after the missed one.
TEST_CASE("an interrupted watch fails and is not resent") {
  IoContext io(1);
  http::ServerOptions options;
  options.Listen = standins::freeEndpoint();
  int watches = 0;
  http::Server server(
      io, options,
      [&](http::Request &r, http::ResponseWriter &out) -> Awaitable<void> {
        if (r.Target.find("watch=") == std::string::npos) {
          http::Response list;
          list.Body = R"({"storeRevision":5,"items":[],"hasMore":false})";
          co_await out.send(std::move(list));
          co_return;
        }
        ++watches;
        co_await sleepFor(Milliseconds(50));
        out.abort();
      });
  server.start();
  http::Client client(io);
  platform::ObjectStoreClient store(client, options.Listen);
  bool failed = false;
  spawn(io, "watch", [&]() -> Awaitable<void> {
    // The watch uses the connection that this call leaves open.
    co_await store.list("config");
    try {
      co_await store.watch("config", 5, Milliseconds(500));
    } catch (const store::StoreError &e) {
      failed = e.Reason == store::Failure::Unavailable && e.ConnectionEnded;
    }
    io.stop();
  });
  io.run();
  CHECK(failed);
  CHECK(watches == 1);
}

// A restored store gives the revisions out again.
TEST_CASE("versions and watches do not confuse a restored store with before") {
  IoContext io(1);
  http::Endpoint listen = standins::freeEndpoint();
  standins::PlatformStore server(io, listen, Milliseconds(60'000));
  server.start();
  http::Client client(io);
  platform::ObjectStoreClient store(client, listen);
  auto restore = [&]() -> Awaitable<void> {
    http::Request r;
    r.Method = "POST";
    r.Target = "/admin";
    r.Body = R"({"restore_ms":10})";
    co_await client.call(listen, std::move(r));
  };
  uint64_t before = 0;
  uint64_t after = 0;
  std::optional<store::Failure> watchFailure;
  std::optional<store::Failure> putFailure;
  spawn(io, "restore", [&]() -> Awaitable<void> {
    uint64_t first = co_await store.put("config", "main", R"({"n":1})", 0);
    co_await sleepFor(Milliseconds(300));
    before = co_await store.put("config", "main", R"({"n":2})", first);
    co_await restore();
    try {
      co_await store.watch("config", before, Milliseconds(200));
    } catch (const store::StoreError &e) {
      watchFailure = e.Reason;
    }
    try {
      // The same revision stands for another content now.
      co_await store.put("config", "main", R"({"n":4})", before);
    } catch (const store::StoreError &e) {
      putFailure = e.Reason;
    }
    store::ObjectList list = co_await store.list("config");
    after = co_await store.put("config", "main", R"({"n":3})",
                               list.Objects.at(0).Version);
    io.stop();
  });
  io.run();
  CHECK(after > before);
  CHECK(watchFailure == store::Failure::HistoryExpired);
  CHECK(putFailure == store::Failure::VersionConflict);
}

TEST_CASE("one odd entry does not hide the other entries of a list") {
  for (const std::string &odd : standins::oddServerEntries()) {
    INFO(odd.substr(0, 200));
    FixedStore t;
    t.Bodies[Kind] = R"({"items":[)" + item("a", R"({"n":1})") + "," +
                     item("b", odd) + "," + item("c", odd) +
                     R"(],"hasMore":true,"storeRevision":9})";
    t.Bodies[Kind + "?after=c"] = R"({"items":[)" + item("d", odd) + "," +
                                  item("e", R"({"n":2})") +
                                  R"(],"hasMore":false,"storeRevision":10})";
    std::optional<store::ObjectList> list;
    t.run([&]() -> Awaitable<void> {
      try {
        list = co_await t.Store.list("servers");
      } catch (const store::StoreError &e) {
        UNSCOPED_INFO(e.what());
      }
    });
    CHECK(list);
    if (!list)
      continue;
    CHECK(list->Revision == 9);
    CHECK(namesOf(list->Objects) ==
          std::vector<std::string>{"a", "b", "c", "d", "e"});
    CHECK(list->Objects.front().Value == R"({"n":1})");
    CHECK(list->Objects.back().Value == R"({"n":2})");
  }
}

TEST_CASE("one odd entry does not hide the other changes of a watch") {
  for (const std::string &odd : standins::oddServerEntries()) {
    INFO(odd.substr(0, 200));
    FixedStore t;
    t.Bodies[Kind + "?watch=4&waitMs=100"] =
        R"({"events":[{"deleted":false,"object":)" + item("a", R"({"n":1})") +
        R"(},{"object":)" + item("b", odd) +
        R"(,"deleted":false},{"deleted":true,"object":)" + item("c", odd) +
        R"(}],"storeRevision":12})";
    std::optional<store::Changes> changes;
    t.run([&]() -> Awaitable<void> {
      try {
        changes = co_await t.Store.watch("servers", 4, Milliseconds(100));
      } catch (const store::StoreError &e) {
        UNSCOPED_INFO(e.what());
      }
    });
    CHECK(changes);
    if (!changes)
      continue;
    CHECK(changes->Revision == 12);
    CHECK(namesOf(changes->Objects) == std::vector<std::string>{"a", "b", "c"});
    CHECK(changes->Objects[0].Value == R"({"n":1})");
    CHECK(changes->Objects[1].Version == 4);
    CHECK(changes->Objects[2].Version == 0);
  }
}

TEST_CASE("entries with odd metadata do not hide the others") {
  const std::vector<std::string> unnamed = {
      R"({"spec":{}})",
      R"({"metadata":7})",
      R"({"metadata":{"name":5,"revision":4}})",
      R"({"metadata":{"name":"x"}})",
      R"({"metadata":{"name":"x","revision":-1}})",
      R"({"metadata":{"name":"x","revision":1e300}})",
      "[]",
      "null"};
  for (const std::string &odd : unnamed) {
    INFO(odd);
    FixedStore t;
    std::string items = odd;
    items += "," + item("a", "{}");
    items += "," + odd;
    t.Bodies[Kind] =
        R"({"items":[)" + items + R"(],"hasMore":true,"storeRevision":9})";
    std::string next = R"({"items":[)" + odd + "," + item("z", "{}") +
                       R"(],"hasMore":false,"storeRevision":9})";
    t.Bodies[Kind + "?after=a"] = next;
    t.Bodies[Kind + "?after=x"] = next;
    std::vector<std::string> names;
    t.run([&]() -> Awaitable<void> {
      try {
        names = namesOf((co_await t.Store.list("servers")).Objects);
      } catch (const store::StoreError &e) {
        UNSCOPED_INFO(e.what());
      }
    });
    CHECK(names == std::vector<std::string>{"a", "z"});
  }
}

TEST_CASE("names of entries are encoded in the store's paths") {
  FixedStore t;
  std::string odd = "i/1?watch=2&a b%\u00e9";
  std::string inPath = "i%2F1%3Fwatch%3D2%26a%20b%25%C3%A9";
  t.Bodies[Kind] = R"({"items":[)" + item(odd, "{}") +
                   R"(],"hasMore":true,"storeRevision":9})";
  t.Bodies[Kind + "?after=" + inPath] =
      R"({"items":[],"hasMore":false,"storeRevision":9})";
  t.Bodies[Kind + "/" + inPath] = item(odd, "{}");
  bool found = false;
  t.run([&]() -> Awaitable<void> {
    try {
      store::ObjectList list = co_await t.Store.list("servers");
      found = (co_await t.Store.get("servers", list.Objects.at(0).Name))
                  .has_value();
    } catch (const store::StoreError &e) {
      UNSCOPED_INFO(e.what());
    }
  });
  CHECK(found);
  CHECK(t.Targets.size() == 3);
}
