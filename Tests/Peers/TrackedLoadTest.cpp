#include "Peers/TrackedLoad.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::peers;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};

fleet::WorkInFlight work(unsigned requests, double tokens = 0) {
  return {{0, tokens, 0}, requests};
}

} // namespace

TEST_CASE("the work of all processes but the asking one is summed") {
  TrackedLoad load;
  load.update({"a", "1", 1}, "engine", work(2, 100), Start);
  load.update({"b", "1", 1}, "engine", work(3, 50), Start);
  load.update({"b", "1", 1}, "other", work(9), Start);
  CHECK(load.totalWithout("engine", "c") == work(5, 150));
  CHECK(load.totalWithout("engine", "a") == work(3, 50));
  CHECK(load.totalWithout("unknown", "a") == work(0));
}

TEST_CASE("a share that arrives late does not replace a newer one") {
  TrackedLoad load;
  load.update({"a", "1", 5}, "engine", work(0), Start);
  load.update({"a", "1", 4}, "engine", work(7), Start);
  CHECK(load.totalWithout("engine", "b") == work(0));
  load.update({"a", "2", 1}, "engine", work(1), Start);
  CHECK(load.totalWithout("engine", "b") == work(1));
  load.update({"a", "1", 6}, "engine", work(8), Start);
  CHECK(load.totalWithout("engine", "b") == work(1));
}

TEST_CASE("the share of a process that has gone is dropped") {
  TrackedLoad load;
  load.update({"a", "1", 1}, "engine", work(2), Start);
  load.update({"b", "1", 1}, "engine", work(1), Start);
  load.update({"b", "1", 2}, "engine", work(1), Start + Milliseconds(1'400));
  load.removeStale(Start + Milliseconds(1'600));
  CHECK(load.totalWithout("engine", "c") == work(1));
  load.removeStale(Start + Milliseconds(9'000));
  CHECK(load.servers() == 0);
}
