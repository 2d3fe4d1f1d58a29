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
