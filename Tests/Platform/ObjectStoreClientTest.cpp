#include "platform/ObjectStoreClient.h"

#include "Sardineford/Http/Server.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformStore.h"

#include <catch2/catch.hpp>

using namespace sardineford;

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
      failed = e.Reason == store::Failure::Unavailable;
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
