#include "Sardineford/Retry/Silence.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using retry::decideOnSilence;
using retry::SilenceDecision;

namespace {

constexpr Milliseconds Patience{900};

SilenceDecision decide(Milliseconds silence, bool mayRetry,
                       Milliseconds remaining = Milliseconds(5'000)) {
  return decideOnSilence({silence, Patience, remaining, mayRetry});
}

} // namespace

TEST_CASE("a silent server is given its time before a further attempt") {
  SilenceDecision d = decide(Milliseconds(300), true);
  CHECK_FALSE(d.TryElsewhere);
  CHECK(d.Wait == Milliseconds(600));
}

TEST_CASE("a request at a silent server is attempted elsewhere") {
  CHECK(decide(Patience, true).TryElsewhere);
}

TEST_CASE("a request that cannot be attempted elsewhere waits on") {
  SilenceDecision d = decide(Milliseconds(3'000), false);
  CHECK_FALSE(d.TryElsewhere);
  CHECK(d.Wait > Milliseconds(0));
  CHECK(d.Wait < Patience);
}

TEST_CASE("a wait ends with the time of the request") {
  CHECK(decide(Milliseconds(0), true, Milliseconds(50)).Wait ==
        Milliseconds(50));
  CHECK(decide(Milliseconds(0), true, Milliseconds(-5)).Wait ==
        Milliseconds(1));
}
