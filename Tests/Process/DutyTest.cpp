#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformDeployment.h"

#include "Sardineford/Http/Server.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace sardineford;
using namespace sardineford::standins;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr const char *Key = "42q492cqf75rjvz48wua";
/// Until a process holds the lease and may call: at the first start the object
/// of the lease is new, and its content is not trusted.
constexpr std::chrono::seconds FirstReportTime{15};
constexpr Milliseconds CallInterval{20};

} // namespace

// Guards against parts that do not work together: requests of a workspace at
// three processes are reported by one of them, with no second report of a
// window, also after the holder has been stopped.
TEST_CASE("usage of all processes is reported over the stop of the holder",
          "[process]") {
  IoContext io(1);
  std::map<int64_t, std::string> reports;
  std::vector<std::pair<uint64_t, std::string>> holders;
  int conflicts = 0;
  http::ServerOptions options;
  options.Listen = {"127.0.0.1", 0};
  http::Server platform(
      io, options,
      [&](http::Request &r, http::ResponseWriter &out) -> Awaitable<void> {
        int64_t window =
            boost::json::parse(r.Body).at("window").to_number<int64_t>();
        conflicts += reports.emplace(window, r.Body).first->second != r.Body;
        holders.emplace_back(
            std::stoull(r.Fields.find("Fencing-Token").value()),
            r.Fields.find("Duty-Holder").value());
        co_await out.send(http::jsonResponse(200, "{}"));
      });
  platform.start();
  PlatformDeployment deployment(
      io, {.Programs = SARDINEFORD_PROGRAMS,
           .Folder = makeTemporaryFolder(),
           .Daemons = 3,
           .PlainServers = 2,
           .PrefillEngines = 0,
           .DecodeEngines = 1,
           .DutyEndpoint = "127.0.0.1:" + std::to_string(platform.port()),
           .WorkspaceKey = Key});
  http::Client client(io);
  uint64_t served = 0;
  bool ready = false;
  auto callFor = [&](std::chrono::seconds time) -> Awaitable<void> {
    MonoTime end = MonoClock::now() + time;
    for (size_t i = 0; MonoClock::now() < end; ++i) {
      DeployedDaemon &d = deployment.Daemons[i % 3];
      if (!d.ChildProcess->running())
        continue;
      http::Request r;
      r.Target = std::string(RepeatableRoute) + "1";
      r.Fields.add("Host", DeploymentHost);
      r.Fields.add("Key", Key);
      r.Fields.add("Request-Id", "call-" + std::to_string(served + i));
      r.Fields.add("Deadline-Ms", "4000");
      try {
        http::Response response =
            co_await client.call(d.HttpListen, std::move(r));
        served += response.Status == 200 ? 1 : 0;
      } catch (const http::TransportError &) {
        // The process is stopping.
      }
      co_await sleepFor(CallInterval);
    }
  };
  spawn(io, "case", [&]() -> Awaitable<void> {
    ready = co_await deployment.bringUp(StartTime);
    co_await callFor(FirstReportTime);
    if (!holders.empty())
      for (size_t i = 0; i < 3; ++i)
        if (holders.back().second == "node-" + std::to_string(i))
          deployment.Daemons[i].ChildProcess->terminate();
    co_await callFor(FirstReportTime);
    co_await sleepFor(std::chrono::seconds(6));
    io.stop();
  });
  io.run_for(std::chrono::seconds(90));
  REQUIRE(ready);
  REQUIRE(holders.size() > 10);
  CHECK(conflicts == 0);
  CHECK(std::is_sorted(holders.begin(), holders.end()));
  CHECK(holders.front().second != holders.back().second);
  uint64_t reported = 0;
  for (const auto &[window, body] : reports) {
    boost::json::value counts = boost::json::parse(body).at("counts");
    if (const boost::json::value *n =
            counts.as_object().if_contains(WorkspaceName))
      reported += n->to_number<uint64_t>();
  }
  int64_t span = reports.rbegin()->first - reports.begin()->first + 1;
  CHECK(static_cast<size_t>(span) == reports.size());
  INFO(served << " served, " << reported << " reported");
  CHECK(reported <= served);
  // The requests of the first seconds are in windows that no process saw whole.
  CHECK(reported > served * 3 / 4);
}
