#include "Sardineford/Store/StoreCall.h"

#include "Sardineford/Http/Server.h"
#include "StandIns/Deployment/Deployment.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::store;

namespace {

/// Makes one call to a server that responds with the given status. Returns the
/// reason of the failure, or nothing if the call succeeds.
std::optional<Failure> failureOf(unsigned status, const std::string &method,
                                 CallCounts &counts) {
  IoContext io(1);
  http::ServerOptions options;
  options.Listen = standins::freeEndpoint();
  http::Server server(
      io, options,
      [&](http::Request &, http::ResponseWriter &out) -> Awaitable<void> {
        http::Response r;
        r.Status = status;
        co_await out.send(std::move(r));
      });
  server.start();
  http::Client client(io);
  std::optional<Failure> out;
  spawn(io, "call", [&]() -> Awaitable<void> {
    http::Request r;
    r.Method = method;
    r.Target = "/x";
    try {
      co_await callStore(client, options.Listen, std::move(r), {}, counts);
    } catch (const StoreError &e) {
      out = e.Reason;
    }
    io.stop();
  });
  io.run();
  return out;
}

} // namespace

TEST_CASE("the status and the method determine the reason of a store failure") {
  CallCounts counts;
  CHECK_FALSE(failureOf(200, "GET", counts));
  CHECK_FALSE(failureOf(404, "PUT", counts));
  CHECK(failureOf(409, "PUT", counts) == Failure::VersionConflict);
  CHECK(failureOf(410, "GET", counts) == Failure::HistoryExpired);
  CHECK(counts.Failures == 0);
  CHECK(failureOf(429, "PUT", counts) == Failure::RateLimited);
  CHECK(failureOf(503, "PUT", counts) == Failure::Unavailable);
  CHECK(failureOf(500, "GET", counts) == Failure::Unavailable);
  // A write that failed inside the store may have taken effect.
  CHECK(failureOf(500, "PUT", counts) == Failure::Ambiguous);
  CHECK(counts.Failures == 4);
}

TEST_CASE("a write that was never sent is reported as having no effect") {
  IoContext io(1);
  http::Client client(io);
  CallCounts counts;
  std::optional<Failure> reason;
  spawn(io, "call", [&]() -> Awaitable<void> {
    http::Request r;
    r.Method = "PUT";
    try {
      co_await callStore(client, standins::freeEndpoint(), std::move(r), {},
                         counts);
    } catch (const StoreError &e) {
      reason = e.Reason;
    }
    io.stop();
  });
  io.run();
  CHECK(reason == Failure::Unavailable);
  CHECK(counts.Failures == 1);
}
