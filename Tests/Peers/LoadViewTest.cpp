#include "Sardineford/Peers/LoadView.h"

#include <catch2/catch.hpp>

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
  CHECK(v.take(report("a", "1", 2, 5), now));
  CHECK_FALSE(v.take(report("a", "1", 1, 9), now));
  CHECK(v.take(report("b", "1", 1, 3), now));
  CHECK(v.total().at("e").Requests == 8);
  // A restarted peer counts from the start again.
  CHECK(v.take(report("a", "2", 1, 1), now));
  CHECK(v.total().at("e").Requests == 4);
}

TEST_CASE("the work of a silent peer is forgotten") {
  LoadView v;
  MonoTime now{std::chrono::seconds(1)};
  v.take(report("a", "1", 1, 5), now);
  v.forget(now + std::chrono::seconds(3));
  CHECK(v.total().empty());
  CHECK(v.peers() == 0);
}
