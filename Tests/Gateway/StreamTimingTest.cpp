#include "Gateway/StreamTiming.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::gateway;

TEST_CASE("the missed objective of a stream is named") {
  StreamTiming objective{Milliseconds(300), Milliseconds(150)};
  CHECK(missedObjective({Milliseconds(300), Milliseconds(150)}, objective)
            .empty());
  CHECK(missedObjective({Milliseconds(301), Milliseconds(10)}, objective) ==
        "first_event");
  CHECK(missedObjective({Milliseconds(100), Milliseconds(151)}, objective) ==
        "pause");
  // A late first event makes a stream late however short its pauses are.
  CHECK(missedObjective({Milliseconds(301), Milliseconds(151)}, objective) ==
        "first_event");
}

TEST_CASE("a route without an objective for pauses misses none") {
  CHECK(missedObjective({Milliseconds(100), Milliseconds(9'000)},
                        {Milliseconds(300), Milliseconds(0)})
            .empty());
}
