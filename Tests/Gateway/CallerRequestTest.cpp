#include "Sardineford/Gateway/CallerRequest.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace sardineford;
using namespace sardineford::gateway;

namespace {

CallerRequest makeRequest() {
  CallerRequest r;
  r.Id = "1";
  r.Method = "POST";
  r.Host = "h.example";
  r.Target = "/p/1";
  r.ForwardedHeaders.add("Authorization", "caller");
  r.Body = "body";
  return r;
}

} // namespace

TEST_CASE("repeats of a request have one hash, other requests have others") {
  uint64_t first = hashOfRepeats(makeRequest());
  CallerRequest repeat = makeRequest();
  repeat.Id = "2";
  repeat.RemainingTime = Milliseconds(5);
  repeat.ForwardedHeaders.add("User-Agent", "another");
  CHECK(hashOfRepeats(repeat) == first);
  const std::vector<std::function<void(CallerRequest &)>> changes = {
      [](CallerRequest &r) { r.Method = "GET"; },
      [](CallerRequest &r) { r.Host = "i.example"; },
      [](CallerRequest &r) { r.Target = "/p/2"; },
      [](CallerRequest &r) { r.Body = "other"; },
      [](CallerRequest &r) { r.ForwardedHeaders = {}; },
      [](CallerRequest &r) { r.Workspace = "a"; },
      // The same characters, divided otherwise.
      [](CallerRequest &r) {
        r.Host = "h.example/p";
        r.Target = "/1";
      }};
  for (const auto &change : changes) {
    CallerRequest other = makeRequest();
    change(other);
    CHECK(hashOfRepeats(other) != first);
  }
}

// Guards against a prompt part that one workspace has cached and another is
// credited with.
TEST_CASE("all prompt parts but the first differ between workspaces") {
  auto partsFor = [](const std::string &workspace) {
    CallerRequest r = makeRequest();
    r.Workspace = workspace;
    r.Parts = {{1, 800}, {2, 400}, {3, 100}};
    separateParts(r);
    return std::vector<uint64_t>{r.Parts[0].Id, r.Parts[1].Id, r.Parts[2].Id};
  };
  std::vector<uint64_t> a = partsFor("a");
  std::vector<uint64_t> b = partsFor("b");
  CHECK(partsFor("") == std::vector<uint64_t>{1, 2, 3});
  CHECK(partsFor("a") == a);
  CHECK(a[0] == b[0]);
  CHECK(a[1] != b[1]);
  CHECK(a[2] != b[2]);
  CHECK(a[1] != 2);
}
