#include "Sardineford/Fleet/ServerPace.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

constexpr MonoTime Start{std::chrono::seconds(100)};
constexpr PaceTerms Alone{6, 1, Seconds(0.015)};

PaceResult answer(double slowness, unsigned waiting = 0, double ratio = 1) {
  PaceResult out;
  out.Took = Seconds(0.015 * slowness);
  out.Expected = Seconds(0.015);
  out.Load = ServerLoad{1, waiting, 6, ratio};
  return out;
}

/// One server of a service and the processes that send to it. All processes
/// find it the emptiest and offer it all requests of three servers.
struct Simulation {
  unsigned Processes = 60;
  bool IsPaced = true;
  /// Without a pace, processes send everything while the last report shows a
  /// free slot. Such processes let the server idle between two reports also
  /// without a pace, so a test for idling lets them send a third instead.
  bool FollowsReports = true;
  /// Factor of the time of a request while the server is cold, and until when.
  double ColdFactor = 1;
  Milliseconds ColdUntil{0};
  unsigned Slots = 6;
  unsigned QueueLimit = 24;

  unsigned Most = 0;
  unsigned Rejected = 0;
  /// Milliseconds of the last second in which no request ran.
  unsigned IdleMs = 0;
  unsigned NumFull = 0;

  void run(Milliseconds length) {
    constexpr double RequestMs = 15;
    /// Age of what processes know of each other's requests.
    constexpr int ReportMs = 100;
    struct Work {
      size_t Process;
      MonoTime SentAt;
      double LeftMs;
    };
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    PaceTerms terms{Slots, Processes, Seconds(RequestMs / 1'000)};
    std::vector<std::optional<ServerPace>> paces(Processes);
    std::vector<unsigned> inFlight(Processes);
    for (auto &it : paces)
      if (IsPaced)
        it = startPace(terms, draw(random), Start);
    std::vector<Work> queue;
    size_t reported = 0;
    // 0.7 of the capacity of three servers.
    double arrivalsPerMs = 3 * 0.7 * Slots / RequestMs;
    for (Milliseconds at{0}; at < length; ++at) {
      MonoTime now = Start + at;
      if (at.count() % ReportMs == 0)
        reported = queue.size();
      size_t running = std::min<size_t>(queue.size(), Slots);
      if (running == 0 && length - at <= Milliseconds(1'000))
        ++IdleMs;
      for (size_t i = 0; i < running; ++i)
        queue[i].LeftMs -= at < ColdUntil ? 1 / ColdFactor : 1;
      auto record = [&](size_t i, PaceResult result) {
        if (!paces[i])
          return;
        if (recordPaceResult(*paces[i], terms, result, now) != PaceChange::Full)
          return;
        paces[i].reset();
        ++NumFull;
      };
      for (size_t i = 0; i < queue.size();) {
        if (queue[i].LeftMs > 0) {
          ++i;
          continue;
        }
        Work done = queue[i];
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
        --inFlight[done.Process];
        unsigned waiting = queue.size() > Slots
                               ? static_cast<unsigned>(queue.size()) - Slots
                               : 0;
        PaceResult result;
        result.Took = now - done.SentAt;
        result.Expected = terms.RequestTime;
        result.Load = ServerLoad{Slots, waiting, Slots, 1.0};
        record(done.Process, result);
      }
      std::poisson_distribution<int> arrivals(arrivalsPerMs);
      for (int n = arrivals(random); n > 0; --n) {
        size_t i = random() % Processes;
        bool sends = paces[i]         ? maySend(*paces[i], terms, inFlight[i],
                                                static_cast<unsigned>(reported), now)
                     : FollowsReports ? reported < Slots
                                      : draw(random) < 1.0 / 3;
        if (!sends)
          continue;
        if (paces[i])
          recordPacedRequest(*paces[i], terms, now);
        if (queue.size() >= Slots + QueueLimit) {
          ++Rejected;
          PaceResult rejection;
          rejection.Event = PaceEvent::Rejected;
          record(i, rejection);
          continue;
        }
        ++inFlight[i];
        queue.push_back({i, now, RequestMs});
        Most = std::max(Most, static_cast<unsigned>(queue.size()));
      }
    }
  }
};

} // namespace

// Guards against processes that each send one request to a new server at the
// same time.
TEST_CASE("processes that decide alone do not flood a new server") {
  unsigned processes = GENERATE(60U, 350U);
  double coldFactor = GENERATE(1.0, 5.0);
  Simulation s;
  s.Processes = processes;
  s.ColdFactor = coldFactor;
  s.ColdUntil = Milliseconds(1'000);
  CAPTURE(processes, coldFactor);
  SECTION("paced") {
    s.run(Milliseconds(1'000));
    CAPTURE(s.Most, s.NumFull, s.IdleMs);
    CHECK(s.Rejected == 0);
    CHECK(s.Most <= s.Slots + s.QueueLimit);
  }
  SECTION("without a pace the simulated server rejects requests") {
    s.IsPaced = false;
    s.run(Milliseconds(1'000));
    CHECK(s.Rejected > 0);
  }
}

// Guards against a pace that keeps a sound server from being used.
TEST_CASE("a new server is busy within a second while callers wait") {
  unsigned processes = GENERATE(60U, 350U);
  Simulation s;
  s.Processes = processes;
  s.FollowsReports = false;
  s.run(Milliseconds(2'000));
  CAPTURE(processes, s.Most, s.NumFull, s.IdleMs);
  CHECK(s.IdleMs <= 100);
}

// Guards against a pace that only ever grows.
TEST_CASE("overload of a paced server reduces its pace once per request time") {
  ServerPace p = startPace(Alone, 0, Start);
  CHECK(p.Share == 3);
  PaceResult rejected;
  rejected.Event = GENERATE(PaceEvent::Rejected, PaceEvent::Failed);
  CHECK(recordPaceResult(p, Alone, rejected, Start) == PaceChange::Reduced);
  CHECK(recordPaceResult(p, Alone, rejected, Start) == PaceChange::Held);
  CHECK(p.Share == 1.5);
  MonoTime later = Start + Milliseconds(20);
  CHECK(recordPaceResult(p, Alone, answer(1, 6), later) == PaceChange::Reduced);
  for (int i = 2; i < 20; ++i)
    recordPaceResult(p, Alone, rejected, Start + i * Milliseconds(20));
  // It still gets requests and can show that it has recovered.
  CHECK(maySend(p, Alone, 0, 0, Start + Milliseconds(2'000)));
}

// Guards against growth while a server warms up or others fill it.
TEST_CASE("a cold or filled server holds its pace") {
  ServerPace p = startPace(Alone, 0, Start);
  CHECK(recordPaceResult(p, Alone, answer(4), Start) == PaceChange::Held);
  CHECK(recordPaceResult(p, Alone, answer(1, 0, 4), Start) == PaceChange::Held);
  CHECK(recordPaceResult(p, Alone, answer(1, 1), Start) == PaceChange::Held);
  CHECK(p.Share == 3);
  // All servers of the service take as long.
  PaceResult usual = answer(1, 0, 4);
  usual.OthersTimeRatio = 4;
  CHECK(recordPaceResult(p, Alone, usual, Start) == PaceChange::Raised);
}

// Guards against a server that never leaves the pace because it is slow.
TEST_CASE("a server that is permanently slow reaches its full pace") {
  ServerPace p = startPace(Alone, 0, Start);
  int responses = 1;
  while (responses < 100 &&
         recordPaceResult(p, Alone, answer(4), Start) != PaceChange::Full)
    ++responses;
  CHECK(responses == 20);
}

// Guards against full pace for a server that works only for a few requests.
TEST_CASE("a server that fails after ten requests loses its pace") {
  PaceTerms large{64, 1, Seconds(0.015)};
  ServerPace p = startPace(large, 0, Start);
  for (int i = 0; i < 10; ++i)
    CHECK(recordPaceResult(p, large, answer(1), Start) == PaceChange::Raised);
  CHECK(p.Share == 42);
  PaceResult failed;
  failed.Event = PaceEvent::Failed;
  CHECK(recordPaceResult(p, large, failed, Start) == PaceChange::Reduced);
  CHECK(p.Share == 21);
  // A restart forgets what the former incarnation could bear.
  p = startPace(large, 0, Start);
  CHECK(p.Share == 32);
  CHECK(p.GoodResponses == 0);
}

// Guards against a process that sends at once although its share is a fraction.
TEST_CASE("a share below one request leaves a rest between requests") {
  PaceTerms terms{6, 60, Seconds(0.015)};
  ServerPace p = startPace(terms, 0.25, Start);
  CHECK_FALSE(maySend(p, terms, 0, 0, Start + Milliseconds(74)));
  CHECK(maySend(p, terms, 0, 0, Start + Milliseconds(76)));
  recordPacedRequest(p, terms, Start + Milliseconds(76));
  CHECK_FALSE(maySend(p, terms, 0, 0, Start + Milliseconds(375)));
  CHECK_FALSE(maySend(p, terms, 1, 1, Start + Milliseconds(377)));
  CHECK(maySend(p, terms, 0, 0, Start + Milliseconds(377)));
}

// Guards against rejecting requests although servers are there: all are new, or
// the established ones are ejected or run another kind of work.
TEST_CASE("held servers are used where no other server is") {
  PaceCandidate held{true, false, false};
  PaceCandidate ejected{false, true, false};
  PaceCandidate prefill{false, false, true};
  using Flags = std::vector<bool>;
  CHECK(findHeldBack({held, held}) == Flags{false, false});
  CHECK(findHeldBack({held, ejected}) == Flags{false, false});
  CHECK(findHeldBack({held, prefill}) == Flags{false, false});
  CHECK(findHeldBack({held, {}}) == Flags{true, false});
}

// Guards against new servers that get nothing while those of another failure
// domain are full: the share of all processes fills half of their slots.
TEST_CASE("a domain of new servers gets requests beside a full one") {
  PaceTerms terms{6, 60, Seconds(0.015)};
  unsigned sent = 0;
  for (unsigned i = 0; i < terms.Processes; ++i) {
    double draw = (i + 0.5) / terms.Processes;
    ServerPace p = startPace(terms, draw, Start);
    bool isHeld = !maySend(p, terms, 0, 0, Start + Milliseconds(15));
    sent += findHeldBack({{isHeld, false, false}, {}})[0] ? 0 : 1;
  }
  CHECK(sent == 3);
}
