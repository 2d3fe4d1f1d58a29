#include "Sardineford/Gateway/AttemptRecord.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sardineford::gateway;

TEST_CASE("a final answer promises 'not run' only where that is true") {
  AttemptRecord r;
  CHECK(finalStatus(r, GiveUpCause::NoServer) == 503);
  r.close(r.open("a"), SendOutcome::NotRun);
  r.close(r.open("b"), SendOutcome::NeverSent);
  CHECK(finalStatus(r, GiveUpCause::TimedOut) == 503);
  r.close(r.open("c"), SendOutcome::Unknown);
  CHECK(finalStatus(r, GiveUpCause::Failed) == 502);
  CHECK(finalStatus(r, GiveUpCause::TimedOut) == 504);
}

TEST_CASE("an open send counts as one that may have run") {
  AttemptRecord r;
  r.open("a");
  CHECK_FALSE(r.hasNotRun());
}

TEST_CASE("no order of outcomes hides a send that may have run") {
  rc::check([](const std::vector<int> &outcomes) {
    AttemptRecord r;
    bool mayHaveRun = false;
    for (int it : outcomes) {
      auto o = static_cast<SendOutcome>(std::abs(it % 4));
      mayHaveRun |= o == SendOutcome::Unknown || o == SendOutcome::Answered;
      r.close(r.open("s"), o);
    }
    RC_ASSERT((finalStatus(r, GiveUpCause::Failed) == 503) == !mayHaveRun);
  });
}
