#include "Fleet/MassExpiry.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("a third of all servers missing at once is a mass expiry") {
  MassExpiry e;
  CHECK_FALSE(e.record(10, 30, Start));
  CHECK(e.record(1, 20, Start + Milliseconds(300)));
}

TEST_CASE("servers that go missing one after another are no mass expiry") {
  MassExpiry e;
  MonoTime now = Start;
  for (size_t known = 30; known > 5; --known) {
    CHECK_FALSE(e.record(1, known, now));
    now += Milliseconds(1'500);
  }
}

TEST_CASE("two servers of a small deployment are no mass expiry") {
  MassExpiry e;
  CHECK_FALSE(e.record(2, 4, Start));
}
