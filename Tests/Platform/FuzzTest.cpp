#include "Gateway/EventSplitter.h"
#include "platform/FleetAdapter.h"
#include "platform/TrafficAdapter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sardineford;
using namespace sardineford::platform;

namespace {

/// Returns a valid text with random bytes changed, removed or duplicated.
std::string mutate(std::string text) {
  int n = *rc::gen::inRange(1, 8);
  for (int i = 0; i < n && !text.empty(); ++i) {
    auto offset = static_cast<size_t>(
        *rc::gen::inRange(0, static_cast<int>(text.size())));
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      text[offset] = static_cast<char>(*rc::gen::inRange(0, 256));
      break;
    case 1:
      text.erase(offset, 1 + offset / 3);
      break;
    default:
      text.insert(offset, text.substr(offset, 20));
    }
  }
  return text;
}

const std::string Server =
    R"({"service":"m","address":"10.0.0.1:80","zone":"z","slots":8,)"
    R"("state":"ready","stage":"prefill","born":1700000000001,"sequence":3})";

const std::string Config =
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",)"
    R"("kind":"streaming","timeoutMs":8000,"service":"a","maxAttempts":2}],)"
    R"("services":[{"name":"a","engine":{"slots":64}}],"limits":{}})";

} // namespace

TEST_CASE("malformed objects of the store do not crash the process") {
  FleetAdapter a;
  rc::check([&] {
    a.decodeServer({"servers", "i", 1, mutate(Server)});
    a.decodeConfiguration({"config", "main", 1, mutate(Config)});
  });
}

TEST_CASE("malformed headers of a caller do not crash the process") {
  TrafficAdapter a;
  rc::check([&] {
    http::Request r;
    r.Fields.add("Token-Counts", mutate("1460,80"));
    r.Fields.add("Prompt-Prefix", mutate("5c1e07a2:800,91bd3f06:410"));
    r.Fields.add("Last-Event-Id", mutate("12"));
    r.Fields.add("Connection", mutate("close, X-A"));
    r.Fields.add("Deadline-Ms", mutate("2500"));
    try {
      a.decodeRequest(std::move(r));
    } catch (const Error &e) {
      RC_ASSERT(e.Kind == ErrorKind::BadRequest);
    }
  });
}

TEST_CASE("malformed responses of a backend server do not crash the process") {
  TrafficAdapter a;
  rc::check([&] {
    a.decodeHandle({"h", 1}, mutate(R"({"kvHandleId":"3f","tokens":14})"));
    http::Response r;
    r.Fields.add("Server-Load", mutate("3,0,8"));
    a.decodeHead(r);
    gateway::EventSplitter s;
    std::string stream = mutate("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    std::string out = s.push(stream);
    RC_ASSERT(out.size() + s.pending() == stream.size());
  });
}
