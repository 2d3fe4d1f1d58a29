#include "platform/ObjectStoreClient.h"

#include "Sardineford/Http/Server.h"
#include "StandIns/Deployment/Deployment.h"

#include <catch2/catch.hpp>

using namespace sardineford;

// The store cuts watches when it drops its history. A day of 59 processes: the
// client sent them again by itself, and they waited for the change after the
// one that they had missed.
TEST_CASE("a watch that is cut is told to have failed, and not sent again") {
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
    // The watch goes out on the connection that this call leaves open.
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
