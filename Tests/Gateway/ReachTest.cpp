#include "Sardineford/Gateway/Reach.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::gateway;

namespace {

const MonoTime Start{std::chrono::seconds(100)};

MonoTime at(int ms) { return Start + Milliseconds(ms); }

} // namespace

TEST_CASE("a process is cut off if several servers fail and none responds") {
  ServiceReach r;
  r.recordContact("a", at(0));
  r.recordUnreachable("a", at(10));
  CHECK_FALSE(r.isCutOff());
  r.recordUnreachable("b", at(20));
  CHECK(r.isCutOff());
  r.recordContact("c", at(30));
  CHECK_FALSE(r.isCutOff());
  CHECK(r.unreachableServers() == 2);
}

TEST_CASE("a process is cut off when its kept connections end after its new "
          "ones have failed") {
  ServiceReach r;
  r.recordUnreachable("a", at(10));
  r.recordUnreachable("b", at(20));
  r.recordContact("c", at(500));
  CHECK_FALSE(r.isCutOff());
  r.recordUnreachable("a", at(600));
  CHECK_FALSE(r.isCutOff());
  r.recordUnreachable("b", at(700));
  CHECK(r.isCutOff());
}

TEST_CASE("one silent or crashed server is no cut") {
  ServiceReach r;
  for (int i = 0; i < 20; ++i)
    r.recordUnreachable("a", at(i));
  CHECK_FALSE(r.isCutOff());
  r.recordUnreachable("b", at(30));
  r.removeUnknown([](const std::string &it) { return it != "b"; });
  CHECK_FALSE(r.isCutOff());
}

TEST_CASE("a request is passed on once, and only if no server can have "
          "executed it") {
  PassOnState s;
  CHECK_FALSE(shouldPassOn(s));
  s.IsCutOff = true;
  CHECK(shouldPassOn(s));
  s.NoneExecuted = false;
  CHECK_FALSE(shouldPassOn(s));
  s.NoneExecuted = true;
  s.WasTried = true;
  CHECK_FALSE(shouldPassOn(s));
  s.WasTried = false;
  s.IsPassedOn = true;
  CHECK_FALSE(shouldPassOn(s));
}

TEST_CASE("a request that no new connection can carry is passed on while kept "
          "ones live on") {
  PassOnState s;
  s.UnreachableServers = 3;
  s.UnsentAttempts = 3;
  CHECK_FALSE(shouldPassOn(s));
  s.IsLastChance = true;
  CHECK(shouldPassOn(s));
  s.UnreachableServers = 1;
  CHECK_FALSE(shouldPassOn(s));
}
