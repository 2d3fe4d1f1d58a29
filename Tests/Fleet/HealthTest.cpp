#include "Sardineford/Fleet/Health.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

TEST_CASE("an unreachable server is left out, and tried again later") {
  Health h;
  MonoTime now{std::chrono::seconds(1)};
  h.failed(FailureKind::Unreachable, now);
  CHECK(h.isHeldOff(now + Milliseconds(100)));
  CHECK_FALSE(h.isHeldOff(now + std::chrono::seconds(1)));
  h.succeeded(now);
  CHECK_FALSE(h.isHeldOff(now + Milliseconds(100)));
}

TEST_CASE("failures by a server's own word lower its share only") {
  Health h;
  MonoTime now{std::chrono::seconds(1)};
  for (int i = 0; i < 20; ++i)
    h.failed(FailureKind::ServerError, now);
  CHECK_FALSE(h.isHeldOff(now));
  CHECK(h.failureShare() > 0.9);
}
