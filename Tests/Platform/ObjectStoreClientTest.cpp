#include "platform/ObjectStoreClient.h"

#include "Sardineford/Http/Server.h"
#include "StandIns/Deployment/Deployment.h"

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
