#include "Peers/PeerSet.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::peers;

namespace {

http::Endpoint at(uint16_t port) { return {"10.0.0.1", port}; }

} // namespace

TEST_CASE("a listed process is told until it is heard, then regularly") {
  PeerSet s(at(1));
  MonoTime now{std::chrono::seconds(100)};
  s.noteListed(at(1), now);
  s.noteListed(at(2), now);
  PeerSet::Sends first = s.next(now);
  CHECK(first.Near.empty());
  CHECK(first.Silent == std::vector<http::Endpoint>{at(2)});
  CHECK(s.next(now + Milliseconds(100)).Silent.empty());
  CHECK(s.next(now + Milliseconds(600)).Silent.size() == 1);
  s.noteHeard(at(2), now + Milliseconds(700));
  PeerSet::Sends then = s.next(now + Milliseconds(800));
  CHECK(then.Near == std::vector<http::Endpoint>{at(2)});
  CHECK(then.Silent.empty());
  CHECK(s.isNear(at(2)));
}

// Processes that count different ones to their groups may not hear one another:
// they ask before they give one another up.
TEST_CASE("a process is asked before it is left out") {
  PeerSet s(at(1));
  MonoTime now{std::chrono::seconds(100)};
  s.noteHeard(at(2), now);
  CHECK(s.next(now + Milliseconds(800)).Silent.empty());
  PeerSet::Sends asked = s.next(now + Milliseconds(1'000));
  CHECK(asked.Silent.size() == 1);
  CHECK(asked.Near.size() == 1);
  CHECK(s.next(now + Milliseconds(2'100)).Near.empty());
}

// A process that was frozen or cut off for some seconds, and so has heard
// nobody, must not wait for the next reading of the list.
TEST_CASE("silent processes are told now and then, the seldomer the longer") {
  PeerSet s(at(1));
  MonoTime start{std::chrono::seconds(100)};
  s.noteHeard(at(2), start);
  int probes = 0;
  for (Milliseconds t{0}; t < Milliseconds(20'000); t += Milliseconds(100))
    probes += static_cast<int>(s.next(start + t).Silent.size());
  CHECK(probes > 5);
  CHECK(probes < 25);
  s.noteHeard(at(2), start + Milliseconds(20'000));
  CHECK(s.next(start + Milliseconds(20'100)).Near.size() == 1);
  CHECK(s.next(start + Milliseconds(90'000)).Silent.empty());
  CHECK(s.empty());
}

TEST_CASE("many processes are told through groups") {
  PeerSet s(at(1));
  MonoTime now{std::chrono::seconds(100)};
  for (uint16_t i = 2; i <= 58; ++i)
    s.noteHeard(at(i), now);
  PeerSet::Sends to = s.next(now);
  CHECK(to.Near.size() + to.Far.size() < 18);
  CHECK(to.Far.size() >= 7);
}
