#include "platform/TrafficAdapter.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::platform;

namespace {

http::Request callerRequest() {
  http::Request r;
  r.Method = "POST";
  r.Target = "/p/1?x=y";
  r.Body = "body";
  r.Fields.add("Host", "h.example");
  r.Fields.add("Request-Id", "9c41d07be2a35f68");
  r.Fields.add("Deadline-Ms", "2500");
  r.Fields.add("Model", "m");
  r.Fields.add("Token-Counts", "1460,80");
  r.Fields.add("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  return r;
}

} // namespace

TEST_CASE("a caller request is decoded and forwarded unchanged") {
  TrafficAdapter a;
  gateway::CallerRequest r = a.decodeRequest(callerRequest());
  CHECK(r.Id == "9c41d07be2a35f68");
  CHECK(r.RemainingTime == Milliseconds(2'500));
  CHECK(r.PromptTokens == 1'460);
  CHECK(r.MaxOutputTokens == 80);
  REQUIRE(r.Parts.size() == 3);
  CHECK(r.Parts[0].Id == 0x5c1e07a2);
  CHECK(r.Parts[2].Tokens == 250);

  gateway::AttemptOptions o;
  o.ServerId = "i-1";
  o.RemainingTime = Milliseconds(1'200);
  http::Request out = a.makeAttemptRequest(r, o);
  CHECK(out.Method == "POST");
  CHECK(out.Target == "/p/1?x=y");
  CHECK(out.Body == "body");
  CHECK(out.Fields.find("Host") == "h.example");
  CHECK(out.Fields.find("Deadline-Ms") == "1200");
  CHECK(out.Fields.find("Expect-Instance") == "i-1");
  CHECK(out.Fields.find("Prompt-Prefix") ==
        "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
}

TEST_CASE(
    "headers that only the system sets are removed from caller requests") {
  TrafficAdapter a;
  http::Request in = callerRequest();
  for (const char *it : {"Kv-Hold", "kv-source", "KV-BACKUP", "Pin-Ms", "Stage",
                         "Expect-Instance", "Request-Priority", "Kv-Fetch"})
    in.Fields.add(it, "1");
  gateway::AttemptOptions o;
  o.ServerId = "i-1";
  http::Request out = a.makeAttemptRequest(a.decodeRequest(std::move(in)), o);
  for (const char *it : {"Kv-Hold", "Kv-Source", "Kv-Backup", "Pin-Ms", "Stage",
                         "Request-Priority", "Kv-Fetch"})
    CHECK_FALSE(out.Fields.find(it));
  CHECK(out.Fields.find("Expect-Instance") == "i-1");
}

TEST_CASE("a request that takes up a stream names the attempt that began it") {
  TrafficAdapter a;
  CHECK(a.decodeRequest(callerRequest()).StreamId == "9c41d07be2a35f68");
  http::Request in = callerRequest();
  in.Fields.add("Resumes", "da6a6aaaad9c973d");
  in.Fields.add("Last-Event-Id", "12");
  gateway::CallerRequest r = a.decodeRequest(std::move(in));
  CHECK(r.Id == "9c41d07be2a35f68");
  CHECK(r.StreamId == "da6a6aaaad9c973d");
  CHECK(r.ResumeAfter == 12U);
  CHECK(a.makeAttemptRequest(r, {}).Fields.find("Resumes") ==
        "da6a6aaaad9c973d");
}

TEST_CASE("connection headers are not forwarded") {
  TrafficAdapter a;
  http::Request in = callerRequest();
  in.Fields.add("Connection", "close, X-Own");
  in.Fields.add("X-Own", "1");
  in.Fields.add("Keep-Alive", "timeout=5");
  in.Fields.add("X-Kept", "1");
  http::Request out = a.makeAttemptRequest(a.decodeRequest(std::move(in)), {});
  CHECK_FALSE(out.Fields.find("Connection"));
  CHECK_FALSE(out.Fields.find("X-Own"));
  CHECK_FALSE(out.Fields.find("Keep-Alive"));
  CHECK(out.Fields.find("X-Kept") == "1");
}

TEST_CASE("a prefilled prompt is identified by engine and handle") {
  TrafficAdapter a;
  auto handle =
      a.decodeHandle({"10.1.64.9", 8080},
                     R"({"kvHandleId":"3fa0","tokens":1460,"version":1})");
  REQUIRE(handle);
  gateway::AttemptOptions o;
  o.PrefilledPrompt = handle;
  o.ResumeAfter = 12;
  http::Request out = a.makeAttemptRequest(a.decodeRequest(callerRequest()), o);
  CHECK(out.Fields.find("Kv-Source") == "10.1.64.9:8080/3fa0");
  CHECK(out.Fields.find("Last-Event-Id") == "12");
  CHECK_FALSE(a.decodeHandle({"10.1.64.9", 8080}, "{}"));
  CHECK_FALSE(a.decodeHandle({"10.1.64.9", 8080}, "garbage"));
}

TEST_CASE("a response counts as not executed only if the server reports it") {
  TrafficAdapter a;
  http::Response r;
  r.Status = 503;
  CHECK_FALSE(a.decodeHead(r).NotExecuted);
  r.Fields.add("Not-Executed", "1");
  CHECK(a.decodeHead(r).NotExecuted);
  http::Response other;
  other.Status = 421;
  other.Fields.add("Instance-Id", "i-2");
  CHECK(a.decodeHead(other).NotExecuted);
  CHECK(a.decodeHead(other).RespondingServer == "i-2");
}

TEST_CASE("an error response has a Retry-After header") {
  http::Response r =
      TrafficAdapter().makeErrorResponse(503, {}, "full", Milliseconds(1'250));
  CHECK(r.Status == 503);
  CHECK(r.Fields.find("Retry-After") == "1.250");
}

TEST_CASE("the limit that a server names is read and not passed on") {
  TrafficAdapter a;
  auto limitOf = [&](const char *text) {
    http::Response r;
    r.Fields.add("Server-Limit", text);
    CHECK_FALSE(a.makeCallerResponse(r).Fields.find("Server-Limit"));
    return a.decodeHead(r).RequestLimit;
  };
  CHECK(limitOf("2.5") == 2.5);
  CHECK(limitOf("0") == 0.0);
  for (const char *it : {"", "x", "-1", "nan", "inf", "1e999", "2,5"})
    CHECK_FALSE(limitOf(it));
  CHECK_FALSE(a.decodeHead(http::Response{}).RequestLimit);
}

TEST_CASE("a leaving server is recognized by its responses") {
  TrafficAdapter a;
  auto saysLeaving = [&](const char *text) {
    http::Response r;
    r.Fields.add("Server-Leaving", text);
    CHECK_FALSE(a.makeCallerResponse(r).Fields.find("Server-Leaving"));
    return a.decodeHead(r).Leaving;
  };
  CHECK(saysLeaving("1"));
  for (const char *it : {"", "0", "no", "2", "1x"})
    CHECK_FALSE(saysLeaving(it));
  CHECK_FALSE(a.decodeHead(http::Response{}).Leaving);
}

TEST_CASE("only a time of a rejection closes its server") {
  TrafficAdapter a;
  auto timeOf = [&](unsigned status, const char *text) {
    http::Response r;
    r.Status = status;
    r.Fields.add("Retry-After", text);
    return a.decodeHead(r).RetryAfter;
  };
  CHECK(timeOf(503, "2") == Milliseconds(2'000));
  CHECK(timeOf(503, "0.25") == Milliseconds(250));
  CHECK(timeOf(503, "1e300") == std::chrono::hours(24));
  for (const char *it : {"", "x", "-1", "0", "nan", "inf", "1e999", "2,5",
                         "Fri, 04 Dec 2026 16:00:00 GMT"})
    CHECK_FALSE(timeOf(503, it));
  for (unsigned status : {200, 429, 500})
    CHECK_FALSE(timeOf(status, "2"));
}

TEST_CASE("numbers in headers of callers are read with a range") {
  TrafficAdapter a;
  auto withHeader = [](const char *name, const char *value) {
    http::Request r;
    r.Fields.add(name, value);
    return r;
  };
  auto time = [&](const char *text) {
    return a.decodeRequest(withHeader("Deadline-Ms", text)).RemainingTime;
  };
  CHECK(time("2500.5") == Milliseconds(2'500));
  for (const char *it : {"1e300", "9223372036854775808", "1e18"}) {
    INFO(it);
    CHECK(time(it) >= std::chrono::hours(1));
    CHECK(time(it) <= std::chrono::hours(24 * 366));
  }
  for (const char *it : {"nan", "-nan", "inf", "-1", "x"}) {
    INFO(it);
    CHECK_THROWS_AS(time(it), Error);
  }
  gateway::CallerRequest r = a.decodeRequest(
      withHeader("Token-Counts", "18446744073709551615,18446744073709551615"));
  CHECK(r.PromptTokens <= UINT32_MAX);
  CHECK(r.MaxOutputTokens <= UINT32_MAX);
  CHECK(r.PromptTokens > 0);
  r = a.decodeRequest(withHeader("Prompt-Prefix", "5c:18446744073709551615"));
  REQUIRE(r.Parts.size() == 1);
  CHECK(r.Parts[0].Tokens <= UINT32_MAX);
}

TEST_CASE("a load that cannot be read is no report of a server") {
  TrafficAdapter a;
  auto load = [&](const char *text) {
    http::Response r;
    r.Fields.add("Server-Load", text);
    return a.decodeHead(r).Load;
  };
  std::optional<fleet::ServerLoad> three = load("3,0,8");
  REQUIRE(three);
  CHECK(three->Running == 3);
  CHECK(three->Slots == 8);
  CHECK_FALSE(three->TimeRatio);
  std::optional<fleet::ServerLoad> four = load("3, 1, 8, 250");
  REQUIRE(four);
  CHECK(four->Waiting == 1);
  CHECK(four->TimeRatio == 2.5);
  for (const char *it : {"", "3,0", "x,0,8", "-1,0,8", "99999999999,0,8"}) {
    INFO(it);
    CHECK_FALSE(load(it));
  }
  for (const char *it : {"3,0,8,nan", "3,0,8,-1", "3,0,8,x", "3,0,8,inf"}) {
    INFO(it);
    REQUIRE(load(it));
    CHECK_FALSE(load(it)->TimeRatio);
  }
}

TEST_CASE("the handle of a prefilled prompt is one header value") {
  TrafficAdapter a;
  http::Endpoint engine{"10.1.64.9", 8080};
  CHECK_FALSE(a.decodeHandle(engine, R"({"kvHandleId":"3f\r\nX: 1"})"));
  CHECK_FALSE(a.decodeHandle(engine, R"({"kvHandleId":""})"));
  CHECK_FALSE(a.decodeHandle(engine, R"({"kvHandleId":"3f 1"})"));
}
