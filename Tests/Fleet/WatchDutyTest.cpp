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

namespace {

/// A process that is no watcher, whose watchers had an answer at the start.
WatchDuty follower(unsigned processes) {
  WatchDuty out = duty(processes, 10);
  for (unsigned rank = 0; rank < 6; ++rank)
    out.recordPeerAnswer(rank, Start, Start, 0);
  return out;
}

constexpr Milliseconds Silence{1'700};

} // namespace

TEST_CASE("watchers whose watches wait say nothing of an outage") {
  for (unsigned processes : {13U, 60U, 195U}) {
    WatchDuty d = follower(processes);
    for (unsigned rank = 0; rank < 6; ++rank)
      d.recordPeerAnswer(rank, Start, Start + Silence, 0);
    CHECK(d.storeAbsence(Start + Silence) == StoreAbsence::None);
    // Nor do those that report no more.
    CHECK(d.storeAbsence(Start + std::chrono::seconds(5)) ==
          StoreAbsence::None);
  }
}

TEST_CASE("an outage is certain once all watchers that report have lost the "
          "store") {
  for (unsigned processes : {13U, 60U, 195U}) {
    WatchDuty d = follower(processes);
    // The watchers of ranks 4 and 5 are dead.
    for (unsigned rank = 0; rank < 4; ++rank)
      d.recordLoss(rank, Start + Silence);
    CHECK(d.storeAbsence(Start + Silence) == StoreAbsence::Certain);
    // A substitute that has not called the store yet knows nothing of it.
    d.recordPeerAnswer(20, Start - std::chrono::seconds(60), Start + Silence,
                       0);
    CHECK(d.storeAbsence(Start + Silence) == StoreAbsence::Certain);
    d.recordPeerAnswer(0, Start + Silence, Start + Silence, 0);
    CHECK(d.storeAbsence(Start + Silence) == StoreAbsence::None);
  }
}

TEST_CASE("an outage is not certain while a watcher has not lost the store") {
  WatchDuty d = follower(60);
  for (unsigned rank = 0; rank < 5; ++rank)
    d.recordLoss(rank, Start + Silence);
  d.recordPeerAnswer(5, Start, Start + Silence, 0);
  CHECK(d.storeAbsence(Start + Silence) == StoreAbsence::Possible);
  // While others have answers, the store is not away.
  d.recordPeerAnswer(5, Start + Silence, Start + Silence, 0);
  d.recordLoss(0, Start + Silence + Milliseconds(100));
  CHECK(d.storeAbsence(Start + Silence + Milliseconds(200)) ==
        StoreAbsence::None);
}

TEST_CASE("the watches that a change has ended together end one after another "
          "from then on") {
  for (unsigned processes : {13U, 60U, 195U}) {
    double last = 0;
    for (unsigned rank = 0; rank < 6; ++rank) {
      double part = duty(processes, rank).firstWatchPart();
      CHECK(part - last == Approx(1.0 / 6));
      last = part;
    }
  }
  // Among few processes, each relies on its own calls.
  for (unsigned processes : {6U, 12U})
    CHECK(duty(processes, 0).firstWatchPart() == 1);
}
