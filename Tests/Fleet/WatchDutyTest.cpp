#include "Fleet/WatchDuty.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};

WatchDuty duty(unsigned processes, unsigned rank) {
  WatchDuty out;
  out.setPosition({processes, rank});
  return out;
}

} // namespace

TEST_CASE(
    "every process of a small fleet watches the store and sends nothing") {
  for (unsigned i = 0; i < 12; ++i) {
    WatchDuty d = duty(12, i);
    d.recordPeerAnswer(0, Start, Start, 0);
    CHECK(d.mustWatch(Start));
    CHECK_FALSE(d.mustPublish(Start));
  }
}

TEST_CASE("a few processes of a large fleet watch while they have answers") {
  for (unsigned processes : {13U, 60U, 195U, 350U}) {
    unsigned watching = 0;
    unsigned publishing = 0;
    for (unsigned i = 0; i < processes; ++i) {
      WatchDuty d = duty(processes, i);
      for (unsigned rank = 0; rank < 6; ++rank)
        if (rank != i)
          d.recordPeerAnswer(rank, Start, Start, 0.5);
      watching += d.mustWatch(Start) ? 1 : 0;
      publishing += d.mustPublish(Start) ? 1 : 0;
    }
    CHECK(watching == 6);
    CHECK(publishing == 2);
  }
}

TEST_CASE("the next watchers publish when the first have lost the store") {
  WatchDuty d = duty(195, 3);
  d.recordPeerAnswer(0, Start, Start, 0);
  d.recordPeerAnswer(1, Start, Start, 0);
  CHECK_FALSE(d.mustPublish(Start));
  d.recordPeerAnswer(2, Start, Start + Milliseconds(1'300), 0);
  CHECK(d.mustPublish(Start + Milliseconds(1'300)));
}

// The watchers are gone, and the store may be down: the fleet must find out
// soon, without a burst of calls.
TEST_CASE("the substitutes of a fleet are spread over time") {
  constexpr unsigned Processes = 350;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> share(0, 1);
  std::vector<WatchDuty> fleet;
  for (unsigned i = 6; i < Processes; ++i) {
    fleet.push_back(duty(Processes, i));
    fleet.back().recordPeerAnswer(0, Start, Start, share(random));
  }
  auto substitutes = [&](Milliseconds after) {
    return std::count_if(fleet.begin(), fleet.end(), [&](const WatchDuty &it) {
      return it.mustWatch(Start + after);
    });
  };
  CHECK(substitutes(Milliseconds(1'900)) == 0);
  CHECK(substitutes(Milliseconds(2'700)) > 0);
  // About ten more in each second.
  CHECK(substitutes(Milliseconds(4'000)) < 40);
}

TEST_CASE("a substitute stops when a process before it has an answer") {
  WatchDuty d = duty(195, 50);
  MonoTime late = Start + std::chrono::seconds(60);
  d.recordPeerAnswer(0, Start, Start, 0);
  CHECK(d.mustWatch(late));
  // Two substitutes must not stop for each other.
  d.recordPeerAnswer(70, late, late, 0);
  CHECK(d.mustWatch(late));
  d.recordPeerAnswer(20, late, late, 0);
  CHECK_FALSE(d.mustWatch(late));
}

TEST_CASE("a process that knows no watcher watches the store") {
  CHECK(duty(195, 100).mustWatch(Start));
}

TEST_CASE("a substitute watches and publishes when all watchers are dead") {
  WatchDuty d = duty(195, 100);
  for (unsigned rank = 0; rank < 6; ++rank) {
    d.recordWatcher(rank, Start, 0);
    d.recordPeerAnswer(rank, Start, Start, 0);
  }
  CHECK_FALSE(d.mustWatch(Start + Milliseconds(700)));
  CHECK(d.mustWatch(Start + Milliseconds(900)));
  CHECK(d.mustPublish(Start + Milliseconds(900)));
}

TEST_CASE("watchers that have lost the store are not taken for dead") {
  WatchDuty d = duty(195, 100);
  d.recordPeerAnswer(0, Start, Start, 0);
  for (int i = 0; i < 4; ++i)
    d.recordWatcher(0, Start + Milliseconds(500) * i, 0);
  CHECK_FALSE(d.mustWatch(Start + Milliseconds(1'900)));
}
