#include "platform/DutyClient.h"

#include "Sardineford/Http/Server.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::duties;

// Guards against a report whose outcome is mistaken, and against one that is
// sent after the lease has ended.
TEST_CASE("a report carries its token and its status is mapped") {
  IoContext io(1);
  http::ServerOptions options;
  options.Listen = {"127.0.0.1", 0};
  unsigned status = 200;
  std::string seen;
  http::Server server(
      io, options,
      [&](http::Request &r, http::ResponseWriter &out) -> Awaitable<void> {
        seen = r.Method + " " + r.Target + " " +
               r.Fields.find("Duty-Holder").value_or("") + " " +
               r.Fields.find("Fencing-Token").value_or("") + " " + r.Body;
        // Longer than the call waits.
        if (status == 0)
          co_await sleepFor(Milliseconds(600));
        co_await out.send(http::jsonResponse(status == 0 ? 200 : status, "{}"));
      });
  server.start();
  http::Client client(io);
  platform::DutyClient duty(client, {"127.0.0.1", server.port()});
  std::string body = duty.encodeUsage(353445120, {{"fida11", 7}});
  CHECK(body == R"({"window":353445120,"counts":{"fida11":7}})");
  std::vector<std::pair<unsigned, CallResult>> cases = {
      {200, CallResult::Done},
      {409, CallResult::Fenced},
      {429, CallResult::RateLimited},
      {500, CallResult::Failed},
      {0, CallResult::NoAnswer}};
  spawn(io, "calls", [&]() -> Awaitable<void> {
    for (const auto &[answer, result] : cases) {
      status = answer;
      UsageCall call{"front-1", 12, body, Milliseconds(400), {}};
      CHECK(co_await duty.reportUsage(call) == result);
      CHECK(seen == "POST /usage front-1 12 " + body);
    }
    seen.clear();
    UsageCall late{"front-1", 12, body, Milliseconds(400),
                   [] { return false; }};
    CHECK(co_await duty.reportUsage(late) == CallResult::NotSent);
    CHECK(seen.empty());
    io.stop();
  });
  io.run_for(std::chrono::seconds(20));
}
