#include "Sardineford/Gateway/AttemptRecord.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sardineford::gateway;

TEST_CASE("a final answer promises 'not run' only where that is true") {
  AttemptRecord r;
  CHECK(finalStatus(r, FailureCause::NoServer) == 503);
  r.setOutcome(r.add("a"), AttemptOutcome::NotExecuted);
  r.setOutcome(r.add("b"), AttemptOutcome::NeverSent);
  CHECK(finalStatus(r, FailureCause::TimedOut) == 503);
  r.setOutcome(r.add("c"), AttemptOutcome::Unknown);
  CHECK(finalStatus(r, FailureCause::Failed) == 502);
  CHECK(finalStatus(r, FailureCause::TimedOut) == 504);
}

TEST_CASE("an open send counts as one that may have run") {
  AttemptRecord r;
  r.add("a");
  CHECK_FALSE(r.noneExecuted());
}

TEST_CASE("no order of outcomes hides a send that may have run") {
  rc::check([](const std::vector<int> &outcomes) {
    AttemptRecord r;
    bool mayHaveRun = false;
    for (int it : outcomes) {
      auto o = static_cast<AttemptOutcome>(std::abs(it % 4));
      mayHaveRun |=
          o == AttemptOutcome::Unknown || o == AttemptOutcome::Answered;
      r.setOutcome(r.add("s"), o);
    }
    RC_ASSERT((finalStatus(r, FailureCause::Failed) == 503) == !mayHaveRun);
  });
}
