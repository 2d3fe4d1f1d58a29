#include "Sardineford/Peers/LoadView.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sardineford;
using namespace sardineford::peers;

namespace {

PeerReport report(const std::string &node, const std::string &incarnation,
                  uint64_t sequence, unsigned requests) {
  return {node, incarnation, sequence, {{"e", {{0, 100, 0}, requests}}}};
}

} // namespace

TEST_CASE("only the newest report of a peer counts") {
  LoadView v;
  MonoTime now{std::chrono::seconds(1)};
  CHECK(v.update(report("a", "1", 2, 5), now));
  CHECK_FALSE(v.update(report("a", "1", 1, 9), now));
  CHECK(v.update(report("b", "1", 1, 3), now));
  CHECK(v.total("e").Requests == 8);
  // The sequence of a restarted peer starts again.
  CHECK(v.update(report("a", "2", 1, 1), now));
  CHECK(v.total("e").Requests == 4);
}

TEST_CASE("the work of a silent peer is removed") {
  LoadView v;
  MonoTime now{std::chrono::seconds(1)};
  v.update(report("a", "1", 1, 5), now);
  v.removeStale(now + std::chrono::seconds(3));
  CHECK(v.total("e") == fleet::WorkInFlight{});
  CHECK(v.peers() == 0);
}

TEST_CASE("totals match the reports exactly, and changed servers are listed") {
  LoadView v;
  MonoTime now{std::chrono::seconds(1)};
  v.update({"a", "1", 1, {{"e", {{1, 100, 7}, 2}}, {"f", {{0, 5, 0}, 1}}}},
           now);
  v.update({"b", "1", 1, {{"e", {{0, 11, 0}, 1}}}}, now);
  CHECK(v.takeChanged().size() == 3);
  CHECK(v.takeChanged().empty());
  v.update({"a", "1", 2, {{"e", {{0, 50, 0}, 1}}}}, now);
  CHECK(v.total("e") == fleet::WorkInFlight{{0, 61, 0}, 2});
  CHECK(v.total("f") == fleet::WorkInFlight{});
  std::vector<std::string> changed = v.takeChanged();
  CHECK(std::count(changed.begin(), changed.end(), "f") == 1);
}
