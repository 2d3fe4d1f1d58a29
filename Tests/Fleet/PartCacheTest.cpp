#include "Sardineford/Fleet/PartCache.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

TEST_CASE("the least recently used parts yield") {
  PartCache c;
  MonoTime now{std::chrono::seconds(1)};
  c.setCapacity(300);
  c.use(1, 100, now);
  c.use(2, 100, now);
  c.use(3, 100, now);
  c.use(1, 100, now);
  c.use(4, 100, now);
  CHECK(c.holds(1));
  CHECK_FALSE(c.holds(2));
  CHECK(c.holds(3));
  CHECK(c.holds(4));
}
