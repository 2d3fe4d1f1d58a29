#include "Sardineford/Fleet/PartCache.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

TEST_CASE("the least recently used prompt parts are evicted") {
  PartCache c;
  MonoTime now{std::chrono::seconds(1)};
  c.setCapacity(300);
  c.recordUse(1, 100, now);
  c.recordUse(2, 100, now);
  c.recordUse(3, 100, now);
  c.recordUse(1, 100, now);
  c.recordUse(4, 100, now);
  CHECK(c.contains(1));
  CHECK_FALSE(c.contains(2));
  CHECK(c.contains(3));
  CHECK(c.contains(4));
}
