#include "Sardineford/Admission/SizeFairness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace sardineford::admission;

namespace {

/// A workspace, how many requests it sends in each round, and whether it sends
/// them before the others.
struct Sender {
  std::string Name;
  double PerRound = 1;
  bool SendsFirst = false;
};

struct Served {
  double Sent = 0;
  double Done = 0;

  double ratio() const { return Sent > 0 ? Done / Sent : 1; }
};

struct Outcome {
  Served All;
  std::map<std::string, Served> ByName;
  /// Requests that were rejected in favour of other workspaces.
  double Yielded = 0;

  /// Returns the lowest ratio of a workspace to that of all requests.
  double lowest() const {
    double out = 1;
    for (const auto &[name, it] : ByName)
      out = std::min(out, it.ratio() / All.ratio());
    return out;
  }
};

/// Simulates a server that executes `capacity` requests in a round.
Outcome simulate(const std::vector<Sender> &senders, size_t capacity,
                 bool isFair) {
  constexpr int Rounds = 2'000;
  // Averages are formed after these.
  constexpr int WarmUp = 200;
  SizeFairness f;
  Outcome out;
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> chance(0, 1);
  for (int round = 0; round < Rounds; ++round) {
    std::vector<const Sender *> order;
    for (const Sender &it : senders) {
      std::poisson_distribution<int> n(it.PerRound);
      order.insert(order.end(), static_cast<size_t>(n(random)), &it);
    }
    std::shuffle(order.begin(), order.end(), random);
    std::stable_partition(order.begin(), order.end(),
                          [](const Sender *it) { return it->SendsFirst; });
    size_t used = 0;
    for (const Sender *it : order) {
      bool yields = isFair && chance(random) < f.yieldRatio(it->Name);
      bool served = !yields && used < capacity;
      used += served ? 1 : 0;
      if (!yields)
        f.recordCapacity(served);
      f.record(1, served, it->Name);
      if (round < WarmUp)
        continue;
      out.Yielded += yields ? 1 : 0;
      for (Served *s : {&out.All, &out.ByName[it->Name]}) {
        ++s->Sent;
        s->Done += served ? 1 : 0;
      }
    }
  }
  return out;
}

std::vector<Sender> sendersWith(Sender extra, unsigned others, double each) {
  std::vector<Sender> out = {std::move(extra)};
  for (unsigned i = 0; i < others; ++i)
    out.push_back({"w" + std::to_string(i), each});
  return out;
}

} // namespace

// Guards against a workspace that takes the capacity of all others by its
// number of requests.
TEST_CASE(
    "small workspaces are served beside one that sends 20 times as much") {
  for (size_t capacity : {25, 45, 60}) {
    INFO("capacity " << capacity);
    std::vector<Sender> senders = sendersWith({"large", 20, true}, 50, 1);
    Outcome o = simulate(senders, capacity, true);
    INFO("all " << o.All.ratio() << ", large " << o.ByName["large"].ratio());
    CHECK(o.lowest() >= 0.5);
    // The large one yields first.
    CHECK(o.ByName["large"].ratio() < o.All.ratio());
  }
  // The load is one that starves the small ones without the mechanism.
  CHECK(simulate(sendersWith({"large", 20, true}, 50, 1), 25, false).lowest() <
        0.5);
}

// The opposite: guards against rejections of a large workspace while there is
// capacity, and against one that is served hardly at all because it is large.
TEST_CASE("a large workspace yields only while capacity does not suffice") {
  Outcome o = simulate(sendersWith({"large", 20}, 50, 1), 140, true);
  CHECK(o.Yielded == 0);
  CHECK(o.All.ratio() == 1);
  // Without another workspace there is nobody to yield to.
  CHECK(simulate({{"large", 20, false}}, 10, true).Yielded == 0);
  // Equal workspaces yield hardly at all.
  Outcome equal = simulate(sendersWith({"w", 1}, 50, 1), 25, true);
  CHECK(equal.Yielded < 0.1 * equal.All.Sent);
  CHECK(equal.lowest() >= 0.5);
  // One small workspace among large ones.
  Outcome small = simulate(sendersWith({"small", 0.2}, 50, 4), 100, true);
  CHECK(small.lowest() >= 0.5);
}

// Guards against penalties that outlast the shortage.
TEST_CASE("a workspace does not yield once capacity suffices again") {
  SizeFairness f;
  for (int i = 0; i < 400; ++i) {
    bool isLarge = i % 4 != 0;
    bool served = (i / 4) % 2 == 0;
    f.recordCapacity(served);
    f.record(1, served, isLarge ? "large" : "small" + std::to_string(i % 3));
  }
  CHECK(f.yieldRatio("large") > 0.2);
  CHECK(f.yieldRatio("small0") == 0);
  CHECK(f.yieldRatio("unknown") == 0);
  for (int i = 0; i < 200; ++i)
    f.recordCapacity(true);
  CHECK(f.yieldRatio("large") == 0);
}

// Guards against a state that grows with the names of the workspaces, and that
// forgets the one that uses the most.
TEST_CASE("the number of tracked workspaces is bounded") {
  SizeFairness f;
  for (int i = 0; i < 31'000; ++i) {
    f.recordCapacity(false);
    f.record(1, true, i % 3 == 0 ? "large" : "w" + std::to_string(i));
  }
  CHECK(f.trackedWorkspaces() <= SizeFairness::MaxWorkspaces);
  CHECK(f.yieldRatio("large") > 0);
}
