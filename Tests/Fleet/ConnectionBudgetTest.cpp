#include "Sardineford/Fleet/ConnectionBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

struct Fleet {
  unsigned Processes;
  unsigned Servers;
  unsigned MaxConnections;
  unsigned Slots;
};

/// Simulates processes and servers in steps of 5 ms. A request holds its
/// connection for three steps; requests executed at most once need new ones.
class Simulation {
public:
  explicit Simulation(Fleet f) : F(f), Links(size_t{f.Processes} * f.Servers) {
    for (Link &it : Links)
      it.Ends.fill(0);
  }

  void step(unsigned arrivals) {
    ++Step;
    for (Link &it : Links) {
      unsigned &ended = it.Ends[Step % it.Ends.size()];
      it.Used -= ended;
      it.Idle += std::exchange(ended, 0);
    }
    for (unsigned p = 0; p < F.Processes; ++p)
      for (unsigned s = 0; s < F.Servers; ++s) {
        Link &l = link(p, s);
        l.Idle = std::min(l.Idle, part(p, s).Idle);
      }
    for (unsigned i = 0; i < arrivals; ++i)
      Waiting.push_back(
          {static_cast<unsigned>(Random() % F.Processes), Random() % 5 != 0});
    std::erase_if(Waiting,
                  [&](const auto &it) { return send(it.first, it.second); });
    for (unsigned s = 0; s < F.Servers; ++s) {
      size_t open = 0;
      for (unsigned p = 0; p < F.Processes; ++p)
        open += link(p, s).Used + link(p, s).Idle;
      MostOpen = std::max(MostOpen, open);
    }
  }

  size_t MostOpen = 0;
  size_t Opened = 0;
  size_t Served = 0;
  std::vector<std::pair<unsigned, bool>> Waiting;

private:
  struct Link {
    size_t Used = 0;
    size_t Idle = 0;
    std::array<unsigned, 4> Ends{};
  };

  Link &link(unsigned p, unsigned s) { return Links[p * F.Servers + s]; }

  ConnectionPart part(unsigned p, unsigned s) const {
    return decideConnections({F.MaxConnections, F.Processes, p, s, 1});
  }

  bool send(unsigned p, bool mustBeNew) {
    unsigned first = Random() % F.Servers;
    for (unsigned i = 0; i < F.Servers; ++i) {
      unsigned s = (first + i) % F.Servers;
      Link &l = link(p, s);
      ConnectionStep next = decideConnectionStep(l.Used + l.Idle, l.Idle,
                                                 part(p, s).Open, mustBeNew);
      if (next == ConnectionStep::None)
        continue;
      if (next != ConnectionStep::Open)
        --l.Idle;
      if (next != ConnectionStep::Reuse)
        ++Opened;
      ++l.Used;
      ++l.Ends[(Step + 3) % l.Ends.size()];
      ++Served;
      return true;
    }
    return false;
  }

  Fleet F;
  std::vector<Link> Links;
  std::mt19937 Random{7};
  size_t Step = 0;
};

} // namespace

// Guards against resets over the limit and against requests that wait although
// servers have connections.
TEST_CASE("a fleet holds at most the connections that its servers accept") {
  for (Fleet f :
       {Fleet{6, 3, 420, 6}, Fleet{60, 3, 420, 6}, Fleet{68, 3, 470, 6},
        Fleet{350, 15, 420, 6}, Fleet{350, 6, 96, 6}}) {
    INFO(f.Processes << " processes, " << f.MaxConnections);
    Simulation s(f);
    for (int i = 0; i < 400; ++i) {
      bool isBurst = i % 100 == 50;
      s.step(isBurst ? 2 * f.Processes : f.Slots * f.Servers / 6);
      // What bursts leave is sent soon.
      if (i % 100 == 49)
        CHECK(s.Waiting.empty());
    }
    CHECK(s.MostOpen <= f.MaxConnections);
    CHECK(s.Served > 0);
  }
}

// Guards against parts that add up to more than the limit where processes
// estimate it differently, and against processes without any server.
TEST_CASE("parts of a server's connections add up to at most its limit") {
  std::mt19937 random{11};
  for (unsigned processes : {1U, 6U, 60U, 350U})
    for (unsigned limit : {5U, 96U, 420U, 730U}) {
      INFO(processes << " processes, limit " << limit);
      constexpr unsigned Servers = 9;
      std::vector<size_t> ofProcess(processes);
      for (unsigned s = 0; s < Servers; ++s) {
        size_t sum = 0;
        for (unsigned p = 0; p < processes; ++p) {
          double ratio = random() % 2 == 0 ? 1 : 0.6;
          ConnectionPart all = decideConnections({limit, processes, p, s, 1});
          ConnectionPart low =
              decideConnections({limit, processes, p, s, ratio});
          size_t unlimited = limit;
          CHECK(low.Open.value_or(unlimited) <= all.Open.value_or(unlimited));
          sum += low.Open.value_or(0);
          ofProcess[p] += all.Open.value_or(unlimited);
        }
        CHECK(sum <= limit);
      }
      if (limit * 0.9 * Servers >= processes + Servers)
        CHECK(*std::min_element(ofProcess.begin(), ofProcess.end()) > 0);
    }
}

// Guards against a change for deployments without the field.
TEST_CASE("connections without a limit or with an ample one are not limited") {
  CHECK_FALSE(decideConnections({0, 60, 1, 0, 1}).Open);
  CHECK(decideConnections({0, 60, 1, 0, 1}).Idle == 64);
  CHECK_FALSE(decideConnections({730, 2, 1, 0, 1}).Open);
  CHECK(decideConnectionStep(90, 0, std::nullopt, true) ==
        ConnectionStep::Open);
}

// Guards against an estimate that stays at zero or falls with each of many
// requests that see one event.
TEST_CASE("resets lower the estimate of accepted connections for a while") {
  AcceptedConnections a;
  MonoTime now = MonoClock::now();
  CHECK(a.ratio({}, now) == 1);
  for (int i = 0; i < 50; ++i)
    a.recordReset(now);
  CHECK(a.ratio({}, now) == Approx(0.7));
  CHECK(a.hasReset(now));
  for (int i = 0; i < 50; ++i)
    a.recordReset(now += Milliseconds(150));
  CHECK(a.ratio({}, now) >= 0.1);
  CHECK(a.ratio({}, now + std::chrono::seconds(10)) == 1);
  AcceptedConnections b;
  ReportedLoad queue{{6, 24, 6, {}}, now};
  CHECK(b.ratio(queue, now) == 0.5);
  CHECK(b.ratio(queue, now + std::chrono::seconds(2)) == 1);
}
