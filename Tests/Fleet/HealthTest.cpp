#include "Sardineford/Fleet/Health.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

TEST_CASE("an unreachable server is left out, and tried again later") {
  PassiveHealth h;
  MonoTime now{std::chrono::seconds(1)};
  h.recordFailure(FailureKind::Unreachable, now);
  CHECK(h.isEjected(now + Milliseconds(100)));
  CHECK_FALSE(h.isEjected(now + std::chrono::seconds(1)));
  h.recordSuccess(now);
  CHECK_FALSE(h.isEjected(now + Milliseconds(100)));
}

TEST_CASE("failures by a server's own word lower its share only") {
  PassiveHealth h;
  MonoTime now{std::chrono::seconds(1)};
  for (int i = 0; i < 20; ++i)
    h.recordFailure(FailureKind::ServerError, now);
  CHECK_FALSE(h.isEjected(now));
  CHECK(h.failureRatio() > 0.9);
}
