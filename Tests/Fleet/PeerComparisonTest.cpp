#include "Fleet/PeerComparison.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;
using Difference = PeerComparison::Difference;

namespace {

constexpr FeedView Local{7, 20};
constexpr FeedView Newer{8, 21};
constexpr FeedView Behind{9, 19};
constexpr MonoTime Start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("a peer with newer objects is reported once, after a delay") {
  PeerComparison c;
  CHECK(c.compare(Local, Local, Start) == Difference::None);
  CHECK(c.compare(Local, Newer, Start) == Difference::None);
  CHECK(c.compare(Local, Newer, Start + Milliseconds(200)) == Difference::None);
  CHECK(c.compare(Local, Newer, Start + Milliseconds(260)) ==
        Difference::Newer);
  for (Milliseconds t{300}; t < Milliseconds(5'000); t += Milliseconds(100))
    CHECK(c.compare(Local, Newer, Start + t) == Difference::None);
}

TEST_CASE("a peer that is behind is reported only if the difference lasts") {
  PeerComparison c;
  CHECK(c.compare(Local, Behind, Start) == Difference::None);
  CHECK(c.compare(Local, Behind, Start + Milliseconds(1'400)) ==
        Difference::None);
  CHECK(c.compare(Local, Behind, Start + Milliseconds(1'500)) ==
        Difference::Persistent);
}

TEST_CASE("the delay starts at the first of many different peer views") {
  PeerComparison c;
  for (uint64_t i = 0; i < 5; ++i)
    CHECK(c.compare(Local, {100 + i, 0}, Start + Milliseconds(50 * i)) ==
          Difference::None);
  CHECK(c.compare(Local, {105, 0}, Start + Milliseconds(250)) ==
        Difference::Newer);
}

TEST_CASE("differences count only from the start of a watch") {
  PeerComparison c;
  c.compare(Local, Newer, Start);
  c.reset();
  CHECK(c.compare(Local, Newer, Start + Milliseconds(400)) == Difference::None);
}
