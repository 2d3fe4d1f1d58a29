#include "Fleet/PeerComparison.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;
using Difference = PeerComparison::Difference;

namespace {

constexpr FeedView Own{7, 20};
constexpr FeedView Newer{8, 21};
constexpr FeedView Behind{9, 19};
constexpr MonoTime Start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("a peer that knows newer objects counts after a moment, once") {
  PeerComparison c;
  CHECK(c.compare(Own, Own, Start) == Difference::None);
  CHECK(c.compare(Own, Newer, Start) == Difference::None);
  CHECK(c.compare(Own, Newer, Start + Milliseconds(200)) == Difference::None);
  CHECK(c.compare(Own, Newer, Start + Milliseconds(260)) == Difference::Newer);
  for (Milliseconds t{300}; t < Milliseconds(5'000); t += Milliseconds(100))
    CHECK(c.compare(Own, Newer, Start + t) == Difference::None);
}

TEST_CASE("a peer that is behind counts only when that lasts") {
  PeerComparison c;
  CHECK(c.compare(Own, Behind, Start) == Difference::None);
  CHECK(c.compare(Own, Behind, Start + Milliseconds(1'400)) ==
        Difference::None);
  CHECK(c.compare(Own, Behind, Start + Milliseconds(1'500)) ==
        Difference::Lasting);
}

TEST_CASE("peers that know many different things count from the first") {
  PeerComparison c;
  for (uint64_t i = 0; i < 5; ++i)
    CHECK(c.compare(Own, {100 + i, 0}, Start + Milliseconds(50 * i)) ==
          Difference::None);
  CHECK(c.compare(Own, {105, 0}, Start + Milliseconds(250)) ==
        Difference::Newer);
}

TEST_CASE("a difference counts from the begin of a watch") {
  PeerComparison c;
  c.compare(Own, Newer, Start);
  c.restart();
  CHECK(c.compare(Own, Newer, Start + Milliseconds(400)) == Difference::None);
}
