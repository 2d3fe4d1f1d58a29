#include "Sardineford/Fleet/LoadAverage.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

// Guards against all processes following one report at the same time.
TEST_CASE("one report of a load changes the average little") {
  LoadAverage a;
  MonoTime now = MonoClock::now();
  CHECK(a.weight(now) == 0);
  a.add({6, 24, 6, 4.0}, now);
  CHECK(a.weight(now) <= 0.2);
  CHECK(a.timeRatio() < 2);
  for (int i = 0; i < 40; ++i)
    a.add({3, 0, 6, 1.0}, now += Milliseconds(200));
  CHECK(a.work() == Approx(3).margin(0.1));
  CHECK(a.weight(now) > 0.4);
  a.add({6, 24, 6, 40.0}, now += Milliseconds(200));
  CHECK(a.work() < 10);
  CHECK(a.timeRatio() < 1.7);
  CHECK(a.weight(now + std::chrono::seconds(10)) < 0.01);
}
