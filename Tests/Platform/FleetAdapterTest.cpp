#include "platform/FleetAdapter.h"

#include "StandIns/Platform/OddEntries.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::platform;

namespace {

store::Object server(std::string value) {
  return {"servers", "i-1", 7, std::move(value)};
}

const std::string ValidServer =
    R"({"service":"m","address":"10.0.0.1:80","zone":"z","slots":8,)"
    R"("state":"ready","stage":"prefill","born":1700000000001,"sequence":3,)"
    R"("version":"v1.1"})";

std::string withReplaced(const std::string &from, const std::string &to) {
  std::string out = ValidServer;
  return out.replace(out.find(from), from.size(), to);
}

} // namespace

TEST_CASE("FleetAdapter decodes the entry of a backend server") {
  auto e = FleetAdapter().decodeServer(server(ValidServer));
  REQUIRE(e);
  CHECK(e->Id == "i-1");
  CHECK(e->Role == routing::EngineRole::Prefill);
  CHECK(e->StartedMs == 1700000000001);
  CHECK(e->SoftwareVersion == "v1.1");
  CHECK_FALSE(e->Draining);
}

TEST_CASE("FleetAdapter skips invalid entries of backend servers") {
  FleetAdapter a;
  CHECK_FALSE(a.decodeServer(server("not json")));
  CHECK_FALSE(a.decodeServer(server("[]")));
  CHECK_FALSE(a.decodeServer(server("null")));
  CHECK_FALSE(a.decodeServer(server("{}")));
  CHECK_FALSE(a.decodeServer(server(withReplaced("\"ready\"", "\"resting\""))));
  CHECK_FALSE(a.decodeServer(server(withReplaced("\"ready\"", "5"))));
  CHECK_FALSE(a.decodeServer(server(withReplaced("\"v1.1\"", "1"))));
  CHECK_FALSE(a.decodeServer(server(withReplaced("10.0.0.1:80", "nowhere"))));
  CHECK_FALSE(
      a.decodeServer(server(withReplaced("1700000000001", "\"soon\""))));
  CHECK_FALSE(a.decodeServer(server(withReplaced("1700000000001", "1.5"))));
}

TEST_CASE("FleetAdapter decodes a configuration and skips an invalid one") {
  store::Object o{
      "config", "main", 5,
      R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
      R"("pathPrefix":"/p/","kind":"streaming","timeoutMs":8000,)"
      R"("targetLatencyMs":300,"priority":1,"trafficSplit":)"
      R"([{"service":"a","weight":90},{"service":"b","weight":10}],)"
      R"("maxAttempts":2,"resumable":true,"gapAimMs":300}],)"
      R"("services":[{"name":"a","healthPath":"/h","maxConnections":96}],)"
      R"("limits":{"idleTimeoutMs":15000}})"};
  auto c = FleetAdapter().decodeConfiguration(o);
  REQUIRE(c);
  CHECK(c->Version == 7);
  REQUIRE(c->Routes.size() == 1);
  CHECK(c->Routes[0].Kind == fleet::RequestKind::Stream);
  CHECK(c->Routes[0].mayRepeat());
  CHECK(c->Routes[0].Targets.size() == 2);
  // 8 event gaps of 300 ms are longer than 2 s and longer than 4 times the
  // target latency.
  CHECK(fleet::estimatedCallerTimeout(c->Routes[0]) == Milliseconds(2'400));
  CHECK(c->Limits.IdleTimeout == Milliseconds(15'000));
  CHECK(c->Services.at("a").MaxConnections == 96);
  o.Value = R"({"version":8})";
  CHECK_FALSE(FleetAdapter().decodeConfiguration(o));
}

TEST_CASE("an odd entry names no backend server to use") {
  FleetAdapter a;
  for (const std::string &it : standins::oddServerEntries()) {
    INFO(it.substr(0, 200));
    CHECK_FALSE(a.decodeServer(server(it)));
  }
  for (const char *name : {"", "i 1", "i-1\r\nX: 1", "i\t", "\xff"}) {
    store::Object o = server(ValidServer);
    o.Name = name;
    CHECK_FALSE(a.decodeServer(o));
  }
}

TEST_CASE("unusual but legal entries of backend servers are used") {
  FleetAdapter a;
  std::string nested = std::string(20, '[') + std::string(20, ']');
  for (const std::string &it :
       {withReplaced(",", " ,\n\t"), withReplaced("\"m\"", "\"\\u006d\""),
        withReplaced("{", R"({"x":{"y":[1,{}]},"note":")"
                          "\\\\\\\"}"
                          R"(",)"),
        withReplaced("{", R"({"big":1e308,"bigger":18446744073709551615,)"),
        withReplaced("{", R"({"nested":)" + nested + ","),
        withReplaced(":8,", ":8.0,"), withReplaced(":8,", ":8e0,")}) {
    INFO(it);
    auto e = a.decodeServer(server(it));
    REQUIRE(e);
    CHECK(e->Service == "m");
    CHECK(e->Slots == 8);
    CHECK(e->StartedMs == 1700000000001);
    CHECK(http::toString(e->Address) == "10.0.0.1:80");
  }
}

TEST_CASE("numbers of a configuration that are too large are cut") {
  store::Object o{
      "config", "main", 5,
      R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",)"
      R"("kind":"safe","service":"a","timeoutMs":1e300,"maxAttempts":1e20,)"
      R"("targetLatencyMs":-1e300}],"services":[{"name":"a",)"
      R"("engine":{"kvCapacity":1e300}}],)"
      R"("limits":{"maxHeaderBytes":1e300,"maxBodyBytes":-4}})"};
  auto c = FleetAdapter().decodeConfiguration(o);
  REQUIRE(c);
  CHECK(c->Routes[0].Timeout > std::chrono::hours(1));
  CHECK(c->Routes[0].Timeout <= std::chrono::hours(24 * 366));
  CHECK(c->Routes[0].Objective == Milliseconds(0));
  CHECK(c->Routes[0].MaxAttempts >= 1'000);
  CHECK(c->Services["a"].Engine->KvCacheTokens >= 1'000'000'000);
  CHECK(c->Limits.MaxHeaderBytes >= size_t{1} << 20U);
  CHECK(c->Limits.MaxHeaderBytes <= UINT32_MAX);
  CHECK(c->Limits.MaxBodyBytes == 0);
}
