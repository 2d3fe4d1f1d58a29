#include "Load/Caller.h"
#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Deployment/Objects.h"
#include "StandIns/Engine/Text.h"
#include "StandIns/Proof/FaultRun.h"
#include "Timeline/Collect.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <set>

using namespace sardineford;
using namespace sardineford::standins;
namespace json = boost::json;

namespace {

constexpr Milliseconds CallTimeout{10'000};

DeploymentOptions smallDeployment(const std::string &folder) {
  writeScaledObjects(std::string(SARDINEFORD_EXAMPLES) +
                         "/nilebridge/objects.json",
                     folder + "/objects.json", 10, {});
  DeploymentOptions o;
  o.Programs = SARDINEFORD_PROGRAMS;
  o.Folder = folder + "/run";
  o.ObjectsFile = folder + "/objects.json";
  o.Engines = {{"scribe-llm", 3}};
  o.Services = {{"filing-api", 1}};
  o.TimeScale = 10;
  o.Settings["shutdown.balancer_wait_ms"] = "100";
  return o;
}

http::Request post(const std::string &target, const std::string &body) {
  http::Request r;
  r.Method = "POST";
  r.Target = target;
  r.Fields.add("X-Workspace", "notary-cairo");
  r.Body = body;
  return r;
}

/// Sends a request that must be rejected and returns the problem document.
json::object expectRejection(const http::Endpoint &entry, http::Request request,
                             unsigned status) {
  http::Response r = callBlocking(entry, std::move(request), CallTimeout);
  CHECK(r.Status == status);
  json::object body = json::parse(r.Body).as_object();
  CHECK(body.at("run").as_string() == "no");
  CHECK_FALSE(body.at("remedy").as_string().empty());
  return body;
}

void runSchedule(const ExampleDeployment &example, FaultSchedule schedule,
                 uint64_t seed) {
  FaultRunOptions o;
  o.Programs = SARDINEFORD_PROGRAMS;
  o.Examples = SARDINEFORD_EXAMPLES;
  o.Folder = makeTemporaryFolder();
  o.Example = example;
  o.Seed = seed;
  o.Schedule = std::move(schedule);
  FaultRunResult r = runFaults(o);
  INFO("folder " << o.Folder << ", schedule " << describe(r.Schedule));
  REQUIRE(r.Failure.empty());
  for (const Violation &it : r.Violations)
    FAIL_CHECK(toString(it.Violated) << ": " << it.Message);
  CHECK(r.Counts.Complete > 0);
  CHECK(r.Counts.OnceExecuted > 0);
  std::filesystem::remove_all(o.Folder);
}

} // namespace

TEST_CASE("invalid requests are rejected with a remedy and not executed",
          "[process]") {
  std::string folder = makeTemporaryFolder();
  Deployment d(smallDeployment(folder));
  d.start();
  http::Endpoint entry = d.httpEndpoint("entry-0");
  expectRejection(entry, post("/v1/completions", "{"), 400);
  expectRejection(entry, post("/v1/completions", R"({"model":"scribe"})"), 400);
  expectRejection(
      entry, post("/v1/completions", R"({"model":"none","prompt":"x"})"), 404);
  expectRejection(entry,
                  post("/v1/completions",
                       R"({"model":"scribe","prompt":"x","max_tokens":-1})"),
                  400);
  expectRejection(entry, post("/v1/none", "{}"), 404);
  expectRejection(entry, post("/services/filing-api/filings", "{}"), 400);
  expectRejection(entry, post("/services/none/x", "{}"), 404);
  http::Request noWorkspace = post("/v1/completions", "{}");
  noWorkspace.Fields.Fields.clear();
  expectRejection(entry, noWorkspace, 404);
  http::Request badDeadline = post("/v1/completions", "{}");
  badDeadline.Fields.add("X-Deadline-Ms", "soon");
  expectRejection(entry, badDeadline, 400);
  http::Request tooLarge = post("/v1/completions", "");
  tooLarge.Body.assign(size_t{5} * 1024 * 1024, 'x');
  CHECK(callBlocking(entry, tooLarge, CallTimeout).Status != 200);
  http::Request impossible =
      post("/v1/completions",
           R"({"model":"scribe","prompt":"x","max_tokens":1000})");
  impossible.Fields.add("X-Deadline-Ms", "20");
  json::object tooLate = expectRejection(entry, impossible, 503);
  CHECK(tooLate.at("retry_after_ms").to_number<int64_t>() > 0);
  d.stop();
  std::filesystem::remove_all(folder);
}

TEST_CASE("a broken stream is resumed at another entry", "[process]") {
  std::string folder = makeTemporaryFolder();
  Deployment d(smallDeployment(folder));
  d.start();
  IoContext io(1);
  http::Client client(io);
  load::CompletionCall call;
  call.RequestId = "long";
  call.Workspace = "notary-cairo";
  call.Model = "scribe";
  call.Prompt = "a long deed";
  call.MaxTokens = 600;
  load::CallResult first;
  load::CallResult second;
  spawn(io, "call", [&]() -> Awaitable<void> {
    first =
        co_await load::callCompletion(client, d.httpEndpoint("entry-0"), call);
    call.ResumeToken = first.ResumeToken;
    call.Delivered = first.Tokens;
    second =
        co_await load::callCompletion(client, d.httpEndpoint("entry-1"), call);
  });
  spawn(io, "kill", [&]() -> Awaitable<void> {
    co_await sleepFor(Milliseconds(400));
    d.process("entry-0").kill();
  });
  io.run();
  CHECK(first.Outcome == load::CallOutcome::Disconnected);
  CHECK(first.Tokens > 0);
  CHECK(second.Outcome == load::CallOutcome::Complete);
  CHECK(first.Text + second.Text ==
        expectedCompletion(call.Model, call.Prompt, call.MaxTokens));
  d.stop();
  std::filesystem::remove_all(folder);
}

TEST_CASE("a repeated request is answered from the stored response",
          "[process]") {
  std::string folder = makeTemporaryFolder();
  Deployment d(smallDeployment(folder));
  d.start();
  http::Request request = post("/services/filing-api/filings", "{\"a\":1}");
  request.Fields.add("Idempotency-Key", "key-1");
  http::Response first =
      callBlocking(d.httpEndpoint("entry-0"), request, CallTimeout);
  http::Response again =
      callBlocking(d.httpEndpoint("entry-1"), request, CallTimeout);
  CHECK(first.Status == 200);
  CHECK(again.Body == first.Body);
  CHECK(again.Fields.find("X-Replayed") == "true");
  // The same key with a different body is rejected.
  request.Body = "{\"a\":2}";
  CHECK(callBlocking(d.httpEndpoint("entry-1"), request, CallTimeout).Status ==
        422);
  SECTION("without the store only a first attempt is reported as not run") {
    d.setStore(R"({"down":true})");
    http::Request other = post("/services/filing-api/filings", "{}");
    other.Fields.add("Idempotency-Key", "key-2");
    http::Response r =
        callBlocking(d.httpEndpoint("entry-0"), other, CallTimeout);
    CHECK(r.Body.find("\"run\":\"unknown\"") != std::string::npos);
    CHECK(r.Fields.find("Retry-After"));
    other.Fields.add("X-First-Attempt", "true");
    r = callBlocking(d.httpEndpoint("entry-0"), other, CallTimeout);
    CHECK(r.Status == 503);
    CHECK(r.Body.find("\"run\":\"no\"") != std::string::npos);
    d.setStore(R"({"down":false})");
  }
  d.stop();
  std::filesystem::remove_all(folder);
}

TEST_CASE("the time line contains all processes and lists unreachable ones",
          "[process]") {
  std::string folder = makeTemporaryFolder();
  Deployment d(smallDeployment(folder));
  d.start();
  callBlocking(d.httpEndpoint("entry-0"),
               post("/v1/completions",
                    R"({"model":"scribe","prompt":"x","max_tokens":8})"),
               CallTimeout);
  std::vector<http::Endpoint> all = {
      d.httpEndpoint("entry-0"), d.httpEndpoint("entry-1"),
      d.httpEndpoint("controller-0"), freeEndpoint()};
  timeline::Collection c = timeline::collect(all, {});
  CHECK(c.Unreachable.size() == 1);
  std::set<std::string> seen;
  for (const timeline::CollectedEvent &it : c.Events)
    seen.insert(it.Process);
  CHECK(seen.size() == 3);
  CHECK(timeline::toText(c).find("request-done") != std::string::npos);
  CHECK(timeline::toSvg(c).find("</svg>") != std::string::npos);
  d.stop();
  std::filesystem::remove_all(folder);
}

TEST_CASE("invariants hold while the lease holder of a pool is killed",
          "[process]") {
  runSchedule(
      nilebridge(),
      {{FaultKind::KillHolder, 0, Milliseconds(500), Milliseconds(1'500)}}, 1);
}

TEST_CASE("invariants hold when an order of a former lease holder arrives late",
          "[process]") {
  runSchedule(
      trinacria(),
      {{FaultKind::LateOrder, 0, Milliseconds(500), Milliseconds(1'500)}}, 2);
}

TEST_CASE(
    "invariants hold while the store loses replies and an entry is paused",
    "[process]") {
  runSchedule(
      nilebridge(),
      {{FaultKind::StoreLosesReplies, 0, Milliseconds(300),
        Milliseconds(1'500)},
       {FaultKind::PauseEntry, 1, Milliseconds(700), Milliseconds(1'500)}},
      3);
}

TEST_CASE("invariants hold with stale reports and a disconnected controller",
          "[process]") {
  runSchedule(
      trinacria(),
      {{FaultKind::StaleReports, 1, Milliseconds(200), Milliseconds(2'500)},
       {FaultKind::CutController, 1, Milliseconds(400), Milliseconds(2'000)}},
      4);
}

TEST_CASE("invariants hold while an engine leaves and an entry is stopped",
          "[process]") {
  runSchedule(
      nilebridge(),
      {{FaultKind::EngineLeaves, 2, Milliseconds(300), Milliseconds(2'500)},
       {FaultKind::StopEntry, 0, Milliseconds(600), Milliseconds(1'200)}},
      5);
}

TEST_CASE(
    "invariants hold while an engine is silent, a service dies and the store "
    "is down",
    "[process]") {
  runSchedule(
      trinacria(),
      {{FaultKind::SilenceEngine, 0, Milliseconds(300), Milliseconds(1'500)},
       {FaultKind::KillService, 0, Milliseconds(500), Milliseconds(1'000)},
       {FaultKind::StoreDown, 0, Milliseconds(900), Milliseconds(1'200)}},
      6);
}
