#include "Sardineford/Fleet/Health.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

TEST_CASE("an unreachable server is ejected for a limited time") {
  PassiveHealth h;
  MonoTime now{std::chrono::seconds(1)};
  h.recordFailure(FailureKind::Unreachable, now);
  CHECK(h.isEjected(now + Milliseconds(100)));
  CHECK_FALSE(h.isEjected(now + std::chrono::seconds(1)));
  h.recordSuccess(now);
  CHECK_FALSE(h.isEjected(now + Milliseconds(100)));
}

TEST_CASE("failures that a server reports do not eject the server") {
  PassiveHealth h;
  MonoTime now{std::chrono::seconds(1)};
  for (int i = 0; i < 20; ++i)
    h.recordFailure(FailureKind::ServerError, now);
  CHECK_FALSE(h.isEjected(now));
  CHECK(h.failureRatio() > 0.9);
}
