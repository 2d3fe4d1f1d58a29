#include "Gateway/StopDecision.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::gateway;

namespace {

StopState stateOf(int stoppingForMs, int timeoutMs, int typicalMs) {
  return {Milliseconds(stoppingForMs), stopAnswerTime(Milliseconds(8'000)),
          Milliseconds(timeoutMs), Milliseconds(typicalMs)};
}

} // namespace

TEST_CASE("a stopping process serves what usually ends in time while a load "
          "balancer sends requests") {
  CHECK_FALSE(stopsBeforeResponse(stateOf(100, 10'000, 1'000)));
  CHECK_FALSE(stopsBeforeResponse(stateOf(2'700, 10'000, 1'000)));
  CHECK_FALSE(stopsBeforeResponse(stateOf(2'700, 600, 5'000)));
  CHECK_FALSE(stopsBeforeResponse(stateOf(2'700, 10'000, 0)));
}

TEST_CASE("a stopping process rejects what usually takes longer than is left") {
  CHECK(stopsBeforeResponse(stateOf(2'700, 10'000, 4'000)));
  CHECK(stopsBeforeResponse(stateOf(3'000, 10'000, 100)));
  CHECK_FALSE(stopsBeforeResponse(stateOf(3'000, 2'000, 100)));
  CHECK(stopsBeforeResponse(stateOf(7'900, 100, 10)));
}

TEST_CASE("nothing is accepted when a short grace time is over") {
  Milliseconds answerTime = stopAnswerTime(Milliseconds(1'000));
  CHECK(answerTime > Milliseconds(0));
  CHECK(answerTime < Milliseconds(1'000));
  CHECK(stopsBeforeResponse(
      {answerTime, answerTime, Milliseconds(100), Milliseconds(0)}));
  CHECK(stopAnswerTime(Milliseconds(100)) == Milliseconds(0));
}
