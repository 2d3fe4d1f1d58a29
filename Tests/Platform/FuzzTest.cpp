#include "Gateway/EventSplitter.h"
#include "StandIns/Platform/OddEntries.h"
#include "platform/FleetAdapter.h"
#include "platform/StoreResponse.h"
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
    R"("state":"ready","stage":"prefill","born":1700000000001,"sequence":3,)"
    R"("version":"v1"})";

/// Returns a text with balanced brackets and quotes: an odd entry, or a string
/// of any bytes, a number of any digits, or lists of any depth.
std::string balancedText() {
  const std::vector<std::string> &odd = standins::oddServerEntries();
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    return *rc::gen::elementOf(odd);
  case 1: {
    std::string text = *rc::gen::container<std::string>(
        rc::gen::suchThat(rc::gen::arbitrary<char>(),
                          [](char c) { return c != '"' && c != '\\'; }));
    return '"' + text + '"';
  }
  case 2:
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("0123456789.eE+-"))));
  default: {
    auto depth = static_cast<size_t>(*rc::gen::inRange(1, 2'000));
    return std::string(depth, '[') + std::string(depth, ']');
  }
  }
}

std::string itemText(size_t n, const std::string &spec) {
  return R"({"metadata":{"name":"i-)" + std::to_string(n) + R"(","revision":)" +
         std::to_string(100 + n) + R"(},"spec":)" + spec + R"(,"status":null})";
}

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

TEST_CASE("a changed object of a page leaves all others as they are") {
  rc::check([&] {
    auto size = static_cast<size_t>(*rc::gen::inRange(1, 8));
    auto changed =
        static_cast<size_t>(*rc::gen::inRange(0, static_cast<int>(size)));
    bool changesItem = *rc::gen::arbitrary<bool>();
    std::string items;
    for (size_t i = 0; i < size; ++i) {
      std::string item = itemText(i, Server);
      if (i == changed)
        item = changesItem ? balancedText() : itemText(i, balancedText());
      items += (i == 0 ? "" : ",") + item;
    }
    StoreResponse page = decodeList(
        R"({"items":[)" + items + R"(],"hasMore":false,"storeRevision":900})");
    RC_ASSERT(page.Revision == 900U);
    std::vector<StoredObject> others;
    for (StoredObject &it : page.Objects)
      if (it.Name != "i-" + std::to_string(changed))
        others.push_back(std::move(it));
    RC_ASSERT(others.size() == size - 1);
    size_t n = 0;
    for (const StoredObject &it : others) {
      n += n == changed ? 1 : 0;
      RC_ASSERT(it.Name == "i-" + std::to_string(n));
      RC_ASSERT(it.Revision == 100 + n);
      RC_ASSERT(it.Spec == Server);
      ++n;
    }
  });
}

TEST_CASE("malformed pages of the store do not crash the process") {
  std::string page = R"({"items":[)" + itemText(1, Server) + "," +
                     itemText(2, Server) +
                     R"(],"hasMore":true,"storeRevision":900})";
  std::string event = R"({"events":[{"deleted":false,"object":)" +
                      itemText(1, Server) + R"(}],"storeRevision":901})";
  rc::check([&] {
    try {
      decodeList(mutate(page));
    } catch (const std::invalid_argument &) {
      RC_TAG("list rejected");
    }
    try {
      decodeChanges(mutate(event));
    } catch (const std::invalid_argument &) {
      RC_TAG("changes rejected");
    }
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
